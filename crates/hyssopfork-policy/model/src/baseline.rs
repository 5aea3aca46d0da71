//! The baseline of the comparison: a plain proxy that sends round robin, first come, first served,
//! without limits or a queue, and retries a failed request immediately on the next upstream, up to
//! three attempts, whether it is repeatable or not.

use crate::entry::{self, Effect, Reply};
use hyssopfork_wire::name;
use std::collections::{BTreeSet, HashMap};

/// Attempts of a request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// An entry process of the plain proxy.
#[derive(Clone, Debug)]
pub struct Entry {
    index: usize,
    zones: Vec<name::Zone>,
    evacuated_zones: BTreeSet<name::Zone>,
    next_upstream: usize,
    attempt_count: u64,
    attempts: HashMap<u64, (usize, u32)>,
}

impl Entry {
    /// An entry process that knows `zones`, the zone of each upstream.
    pub fn new(index: usize, zones: &[name::Zone]) -> Entry {
        Entry {
            index,
            zones: zones.to_vec(),
            evacuated_zones: BTreeSet::new(),
            next_upstream: index,
            attempt_count: 0,
            attempts: HashMap::new(),
        }
    }

    /// Handles the arrival of a request.
    pub fn on_arrival(&mut self, request: usize) -> Vec<Effect> {
        vec![self.send(request, 1)]
    }

    /// Handles a reply of an agent.
    pub fn on_reply(&mut self, attempt: u64, reply: Reply) -> Vec<Effect> {
        match reply {
            Reply::LoadReport(_) | Reply::Started => Vec::new(),
            Reply::Completed => {
                self.attempts.remove(&attempt);
                Vec::new()
            }
            Reply::Rejected(_) | Reply::Failed => self.on_failure(attempt),
        }
    }

    /// Sets whether a zone is evacuated.
    pub fn set_zone_evacuated(&mut self, zone: &name::Zone, evacuated: bool) {
        if evacuated {
            self.evacuated_zones.insert(zone.clone());
        } else {
            self.evacuated_zones.remove(zone);
        }
    }

    fn on_failure(&mut self, attempt: u64) -> Vec<Effect> {
        match self.attempts.remove(&attempt) {
            Some((request, attempt_number)) if attempt_number < MAX_ATTEMPTS => {
                vec![self.send(request, attempt_number + 1)]
            }
            Some((request, _)) => vec![Effect::Fail(request)],
            None => Vec::new(),
        }
    }

    fn send(&mut self, request: usize, attempt_number: u32) -> Effect {
        let count = self.zones.len();
        let mut indices = (0..count).map(|step| (self.next_upstream + step) % count);
        let serving = indices.find(|index| !self.evacuated_zones.contains(&self.zones[*index]));
        let upstream = serving.unwrap_or(self.next_upstream % count);
        self.next_upstream = upstream + 1;
        self.attempt_count += 1;
        let attempt = entry::attempt_id(self.index, self.attempt_count);
        self.attempts.insert(attempt, (request, attempt_number));
        Effect::Send { request, attempt, upstream }
    }
}
