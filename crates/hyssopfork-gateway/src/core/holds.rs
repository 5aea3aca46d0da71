//! Requests that are held until somebody is there to serve them.

use super::{Core, serve};
use crate::{action, arrival, choice, notice};
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Time for which a process that has just started holds requests: it knows the fleet within a second.
///
/// *Pattern.* All processes are killed at once. Callers whose streams broke off come back a moment
/// later, to processes that know no declaration yet, and most come back once only.
/// *Without it.* They are refused for good while every engine is idle.
const STARTING: Duration = Duration::from_millis(1_200);

/// Time for which a request is held while nobody of its pool and model serves. A lost group is
/// replaced within a second, and most callers come back once only.
const NOBODY: Duration = Duration::from_millis(1_000);

/// Part of a request's time left for which it is held at most.
const PART_OF_LEFT: u32 = 4;

/// Requests that are held at once. Beyond that, those who are held fill the upstreams when these are
/// back, and more would be refused late.
const MOST: usize = 128;

/// Requests that are held, by number.
#[derive(Debug, Default)]
pub(super) struct Holds {
    held: BTreeMap<u64, Hold>,
    /// The request that is tried again just now. Its conversation waits already: told to wait once
    /// more, it would miss the decision that follows.
    trying: Option<u64>,
}

#[derive(Debug)]
struct Hold {
    since: clock::Instant,
    /// What arrived, where no declaration has said yet what it is.
    arrival: Option<Box<arrival::Arrival>>,
}

impl Holds {
    pub(super) fn release(&mut self, number: u64) {
        self.held.remove(&number);
    }
}

impl Core {
    /// Holds an arrival until the declaration is known; gives it back when too many are held.
    pub(super) fn hold_arrival(
        &mut self,
        number: u64,
        arrival: arrival::Arrival,
    ) -> Option<arrival::Arrival> {
        if self.holds.held.len() >= MOST {
            return Some(arrival);
        }
        let left = arrival.patience.map_or(STARTING, |patience| patience / PART_OF_LEFT);
        let time = STARTING.min(left);
        let identifier = arrival.identifier.clone();
        self.hold(number, time, Some(Box::new(arrival)));
        self.note(notice::Notice::Held { identifier, time });
        None
    }

    /// Holds a request that nobody serves now, once; whether it is held.
    pub(super) fn hold_request(&mut self, number: u64) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return false };
        if request.held || request.forwarded || self.holds.held.len() >= MOST {
            return false;
        }
        let time = NOBODY.min(now.until(request.limit) / PART_OF_LEFT);
        let identifier = request.identifier.clone();
        request.held = true;
        self.hold(number, time, None);
        self.note(notice::Notice::Held { identifier, time });
        true
    }

    fn hold(&mut self, number: u64, time: Duration, arrival: Option<Box<arrival::Arrival>>) {
        self.holds.held.insert(number, Hold { since: self.now, arrival });
        if self.holds.trying != Some(number) {
            self.decide(number, action::Decision::Hold(time));
        }
    }

    /// Tries again for those who are held: the fleet's view has changed.
    pub(super) fn try_held(&mut self) {
        for (number, hold) in mem::take(&mut self.holds.held) {
            self.holds.trying = Some(number);
            match hold.arrival {
                Some(arrival) if self.table.is_some() => {
                    self.arrived(number, spent(*arrival, self.now.since(hold.since)));
                }
                None if self.is_served(number) => self.start(number, false),
                arrival => drop(self.holds.held.insert(number, Hold { arrival, ..hold })),
            }
        }
        self.holds.trying = None;
    }

    /// The time for which the request is held is over.
    pub(super) fn waited(&mut self, number: u64) {
        let Some(hold) = self.holds.held.remove(&number) else { return };
        match hold.arrival {
            Some(arrival) => self.refuse_unready(number, arrival.identifier),
            None => self.end(number, action::Reason::NoUpstream, serve::NOBODY_RETRY),
        }
    }

    fn is_served(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return true };
        let bounds = self.bounds(&request.pool);
        let chosen = choice::choose(self.now, &self.targets, self.want(request, false), bounds);
        chosen != choice::Choice::Nobody
    }
}

/// The arrival after it has spent so much of its time.
fn spent(arrival: arrival::Arrival, time: Duration) -> arrival::Arrival {
    let patience = arrival.patience.map(|patience| patience.saturating_sub(time));
    arrival::Arrival { patience, ..arrival }
}
