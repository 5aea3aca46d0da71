//! What the policy is compared with: a plain proxy that sends round robin, first come first
//! served, without limits or queue, and tries a failed request again at once on the next upstream,
//! three times in all, whatever it is.

use crate::entry::{self, Effect, Reply};
use hyssopfork_wire::name;
use std::collections::{BTreeSet, HashMap};

/// Tries of a request in all.
const TRIES: u32 = 3;

/// An entry of the plain proxy.
#[derive(Clone, Debug)]
pub struct Entry {
    index: usize,
    zones: Vec<name::Zone>,
    out: BTreeSet<name::Zone>,
    turn: usize,
    count: u64,
    attempts: HashMap<u64, (usize, u32)>,
}

impl Entry {
    /// An entry that knows `zones`, the zone of each upstream.
    pub fn new(index: usize, zones: &[name::Zone]) -> Entry {
        Entry {
            index,
            zones: zones.to_vec(),
            out: BTreeSet::new(),
            turn: index,
            count: 0,
            attempts: HashMap::new(),
        }
    }

    /// A request arrives.
    pub fn arrive(&mut self, request: usize) -> Vec<Effect> {
        vec![self.send(request, 1)]
    }

    /// An agent replies.
    pub fn reply(&mut self, attempt: u64, reply: Reply) -> Vec<Effect> {
        match reply {
            Reply::Loaded(_) | Reply::Begun => Vec::new(),
            Reply::Ended => {
                self.attempts.remove(&attempt);
                Vec::new()
            }
            Reply::Refused(_) | Reply::Failed => self.failed(attempt),
        }
    }

    /// A zone is taken out or brought back.
    pub fn zone(&mut self, zone: &name::Zone, out: bool) {
        if out {
            self.out.insert(zone.clone());
        } else {
            self.out.remove(zone);
        }
    }

    fn failed(&mut self, attempt: u64) -> Vec<Effect> {
        match self.attempts.remove(&attempt) {
            Some((request, tries)) if tries < TRIES => vec![self.send(request, tries + 1)],
            Some((request, _)) => vec![Effect::Fail(request)],
            None => Vec::new(),
        }
    }

    fn send(&mut self, request: usize, tries: u32) -> Effect {
        let count = self.zones.len();
        let mut turns = (0..count).map(|step| (self.turn + step) % count);
        let open = turns.find(|index| !self.out.contains(&self.zones[*index]));
        let upstream = open.unwrap_or(self.turn % count);
        self.turn = upstream + 1;
        self.count += 1;
        let attempt = entry::attempt(self.index, self.count);
        self.attempts.insert(attempt, (request, tries));
        Effect::Send { request, attempt, upstream }
    }
}
