//! Queue for requests that have no serving upstream yet.

use super::Core;
use crate::{action, arrival, notice, selection};
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
pub(super) struct Queue {
    entries: BTreeMap<u64, Entry>,
    /// The request that is tried again just now. Its conversation waits already: told to wait once
    /// more, it would miss the decision that follows.
    retrying: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    since: clock::Instant,
    /// What arrived, where no declaration has said yet what it is.
    arrival: Option<Box<arrival::Arrival>>,
}

impl Queue {
    pub(super) fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// Whether the request leaves the queue just now.
    pub(super) fn is_retrying(&self, number: u64) -> bool {
        self.retrying == Some(number)
    }
}

impl Core {
    /// Holds an arrival until the declaration is known; gives it back when too many are held.
    pub(super) fn enqueue_arrival(
        &mut self,
        number: u64,
        arrival: arrival::Arrival,
    ) -> Option<arrival::Arrival> {
        if self.queue.entries.len() >= MAX_QUEUED_REQUESTS {
            return Some(arrival);
        }
        let left = arrival
            .timeout
            .map_or(NO_DECLARATION_QUEUE_TIMEOUT, |patience| patience / QUEUE_TIMEOUT_DIVISOR);
        let time = NO_DECLARATION_QUEUE_TIMEOUT.min(left);
        let identifier = arrival.identifier.clone();
        self.enqueue(number, time, Some(Box::new(arrival)));
        self.log(notice::Notice::Held { identifier, time });
        None
    }

    /// Queues a request without a serving upstream, once; whether it is queued.
    pub(super) fn enqueue_request(&mut self, number: u64) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return false };
        if request.was_queued
            || request.head_forwarded
            || self.queue.entries.len() >= MAX_QUEUED_REQUESTS
        {
            return false;
        }
        let time =
            NO_UPSTREAM_QUEUE_TIMEOUT.min(now.until(request.deadline) / QUEUE_TIMEOUT_DIVISOR);
        let identifier = request.identifier.clone();
        request.was_queued = true;
        self.enqueue(number, time, None);
        self.log(notice::Notice::Held { identifier, time });
        true
    }

    fn enqueue(&mut self, number: u64, time: Duration, arrival: Option<Box<arrival::Arrival>>) {
        self.queue.entries.insert(number, Entry { since: self.now, arrival });
        if self.queue.retrying != Some(number) {
            self.decide(number, action::Decision::Queue(time));
        }
    }

    /// Tries again for those who are held: the fleet's view has changed.
    pub(super) fn retry_queued(&mut self) {
        for (number, hold) in mem::take(&mut self.queue.entries) {
            self.queue.retrying = Some(number);
            match hold.arrival {
                Some(arrival) if self.table.is_some() => {
                    self.on_arrival(number, after_waiting(*arrival, self.now.since(hold.since)));
                }
                None if self.has_room(number) => self.dispatch(number, false),
                arrival => drop(self.queue.entries.insert(number, Entry { arrival, ..hold })),
            }
        }
        self.queue.retrying = None;
    }

    /// Rejects a request whose wait has ended.
    pub(super) fn on_queue_timeout(&mut self, number: u64) {
        let Some(hold) = self.queue.entries.remove(&number) else { return };
        match hold.arrival {
            Some(arrival) => self.reject_not_ready(number, arrival.identifier),
            None => self.dispatch(number, false),
        }
    }

    /// Whether a queued request can be sent now. After a restart the groups appear one after the other,
    /// and the first of them has no room for all that wait.
    fn has_room(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return true };
        let bounds = self.constraints(request);
        let chosen = selection::select(self.now, &self.targets, self.query(request, false), bounds);
        matches!(chosen, selection::Selection::Selected(_))
    }
}

/// The arrival after it has spent so much of its time.
fn after_waiting(arrival: arrival::Arrival, time: Duration) -> arrival::Arrival {
    let patience = arrival.timeout.map(|patience| patience.saturating_sub(time));
    arrival::Arrival { timeout: patience, ..arrival }
}
