//! Queue for requests that have no serving upstream yet.

use super::Core;
use crate::{action, arrival, notice, selection};
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Longest wait at a process without a current declaration. Clients whose streams were aborted
/// retry shortly after all processes have been killed, and most of them only once.
const NO_DECLARATION_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Longest wait while no upstream of the pool and model serves: a lost group is replaced within it.
const NO_UPSTREAM_QUEUE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Divisor of a request's remaining time: it waits at most that long.
const QUEUE_TIMEOUT_DIVISOR: u32 = 4;

/// Most requests in the queue. More would fill the upstreams once these are available again, and be
/// rejected late.
const MAX_QUEUED_REQUESTS: usize = 128;

/// Queued requests, by number.
#[derive(Debug, Default)]
pub(super) struct Queue {
    entries: BTreeMap<u64, Entry>,
    /// The request whose dispatch is being retried. Its connection is waiting already: a second
    /// decision to wait would make it miss the decision that follows.
    retrying: Option<u64>,
}

/// A queued request.
#[derive(Debug)]
struct Entry {
    since: clock::Instant,
    /// The arrival, if no declaration was available to match it.
    arrival: Option<Box<arrival::Arrival>>,
}

impl Queue {
    pub(super) fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
    }

    /// Whether the dispatch of the request is being retried.
    pub(super) fn is_retrying(&self, number: u64) -> bool {
        self.retrying == Some(number)
    }
}

impl Core {
    /// Queues an arrival until the declaration is known; returns it if the queue is full.
    pub(super) fn enqueue_arrival(
        &mut self,
        number: u64,
        arrival: arrival::Arrival,
    ) -> Option<arrival::Arrival> {
        if self.queue.entries.len() >= MAX_QUEUED_REQUESTS {
            return Some(arrival);
        }
        let max_timeout = arrival
            .timeout
            .map_or(NO_DECLARATION_QUEUE_TIMEOUT, |timeout| timeout / QUEUE_TIMEOUT_DIVISOR);
        let timeout = NO_DECLARATION_QUEUE_TIMEOUT.min(max_timeout);
        let identifier = arrival.identifier.clone();
        self.enqueue(number, timeout, Some(Box::new(arrival)));
        self.log(notice::Notice::Held { identifier, timeout });
        None
    }

    /// Queues a request without a serving upstream, once; returns whether it was queued.
    pub(super) fn enqueue_request(&mut self, number: u64) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return false };
        if request.was_queued
            || request.head_forwarded
            || self.queue.entries.len() >= MAX_QUEUED_REQUESTS
        {
            return false;
        }
        let timeout =
            NO_UPSTREAM_QUEUE_TIMEOUT.min(now.until(request.deadline) / QUEUE_TIMEOUT_DIVISOR);
        let identifier = request.identifier.clone();
        request.was_queued = true;
        self.enqueue(number, timeout, None);
        self.log(notice::Notice::Held { identifier, timeout });
        true
    }

    fn enqueue(&mut self, number: u64, timeout: Duration, arrival: Option<Box<arrival::Arrival>>) {
        self.queue.entries.insert(number, Entry { since: self.now, arrival });
        if self.queue.retrying != Some(number) {
            self.decide(number, action::Decision::Queue(timeout));
        }
    }

    /// Retries the queued requests after a change of the fleet's view.
    pub(super) fn retry_queued(&mut self) {
        for (number, entry) in mem::take(&mut self.queue.entries) {
            self.queue.retrying = Some(number);
            match entry.arrival {
                Some(arrival) if self.table.is_some() => {
                    self.on_arrival(number, after_waiting(*arrival, self.now.since(entry.since)));
                }
                None if self.has_room(number) => self.dispatch(number, false),
                arrival => drop(self.queue.entries.insert(number, Entry { arrival, ..entry })),
            }
        }
        self.queue.retrying = None;
    }

    /// Handles the end of a request's wait.
    pub(super) fn on_queue_timeout(&mut self, number: u64) {
        if self.is_waiting_for_upstream(number) {
            return self.retry_interrupted(number);
        }
        if self.scheduling.contains(number) {
            return self.on_place_timeout(number);
        }
        let Some(entry) = self.queue.entries.remove(&number) else { return };
        match entry.arrival {
            Some(arrival) => {
                let after = self.now.since(entry.since);
                self.reject_not_ready(number, arrival.identifier, after);
            }
            None => self.dispatch(number, false),
        }
    }

    /// Whether a queued request can be sent now. After a restart the groups appear one after the
    /// other, and the first of them doesn't have capacity for all queued requests.
    fn has_room(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return true };
        let constraints = self.constraints(request);
        let selected =
            selection::select(self.now, &self.targets, self.query(request, false), constraints);
        matches!(selected, selection::Selection::Selected(_))
    }
}

/// The arrival after `time` of its timeout has passed.
fn after_waiting(arrival: arrival::Arrival, time: Duration) -> arrival::Arrival {
    let timeout = arrival.timeout.map(|timeout| timeout.saturating_sub(time));
    arrival::Arrival { timeout, ..arrival }
}
