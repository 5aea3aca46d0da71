//! Queue for requests that have no serving upstream yet.

use super::Core;
use crate::{action, arrival, choice, notice};
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Longest wait at a process that holds no current declaration. Clients whose streams broke retry
/// shortly after all processes were killed, and most of them only once.
const NO_DECLARATION_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest wait while no upstream of the pool and model serves: a lost group is replaced within it.
const NO_UPSTREAM_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Part of a request's remaining time that it waits at most.
const QUEUE_TIMEOUT_DIVISOR: u32 = 4;

/// Most requests in the queue. More would fill the upstreams once these are back, and be rejected late.
const MAX_QUEUED_REQUESTS: usize = 128;

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

    /// Whether the request leaves the queue just now.
    pub(super) fn is_trying(&self, number: u64) -> bool {
        self.trying == Some(number)
    }
}

impl Core {
    /// Holds an arrival until the declaration is known; gives it back when too many are held.
    pub(super) fn hold_arrival(
        &mut self,
        number: u64,
        arrival: arrival::Arrival,
    ) -> Option<arrival::Arrival> {
        if self.holds.held.len() >= MAX_QUEUED_REQUESTS {
            return Some(arrival);
        }
        let left = arrival
            .patience
            .map_or(NO_DECLARATION_QUEUE_TIMEOUT, |patience| patience / QUEUE_TIMEOUT_DIVISOR);
        let time = NO_DECLARATION_QUEUE_TIMEOUT.min(left);
        let identifier = arrival.identifier.clone();
        self.hold(number, time, Some(Box::new(arrival)));
        self.note(notice::Notice::Held { identifier, time });
        None
    }

    /// Queues a request without a serving upstream, once; whether it is queued.
    pub(super) fn hold_request(&mut self, number: u64) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return false };
        if request.held || request.forwarded || self.holds.held.len() >= MAX_QUEUED_REQUESTS {
            return false;
        }
        let time = NO_UPSTREAM_QUEUE_TIMEOUT.min(now.until(request.limit) / QUEUE_TIMEOUT_DIVISOR);
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
                None if self.has_room(number) => self.start(number, false),
                arrival => drop(self.holds.held.insert(number, Hold { arrival, ..hold })),
            }
        }
        self.holds.trying = None;
    }

    /// Rejects a request whose wait has ended.
    pub(super) fn on_queue_timeout(&mut self, number: u64) {
        let Some(hold) = self.holds.held.remove(&number) else { return };
        match hold.arrival {
            Some(arrival) => self.refuse_unready(number, arrival.identifier),
            None => self.start(number, false),
        }
    }

    /// Whether a queued request can be sent now. After a restart the groups appear one after the other,
    /// and the first of them has no room for all that wait.
    fn has_room(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return true };
        let bounds = self.bounds(request);
        let chosen = choice::choose(self.now, &self.targets, self.want(request, false), bounds);
        matches!(chosen, choice::Choice::Take(_))
    }
}

/// The arrival after it has spent so much of its time.
fn spent(arrival: arrival::Arrival, time: Duration) -> arrival::Arrival {
    let patience = arrival.patience.map(|patience| patience.saturating_sub(time));
    arrival::Arrival { patience, ..arrival }
}
