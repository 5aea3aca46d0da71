//! Slow start: rate limit of an upstream that has just started, divided among the entries.
//!
//! Invariant: the shares of all entries add up to no more than the rate. With more entries than
//! requests per second, some entries send nothing, since one request each would exceed the rate. The
//! share of a process that has just started accrues, as in [`fleet_limit`].

use crate::fleet_limit;
use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Window that the rate is counted over.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Requests within `WINDOW` that the entry at `rank` of `entries` may send if all of them may
/// send `rate`.
pub fn entry_share(rate: f64, rank: usize, entries: usize) -> usize {
    let requests = rate.max(0.0).floor() as usize;
    let entries = entries.max(1);
    requests / entries + usize::from(rank < requests % entries)
}

/// Recent requests to one upstream.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    times: VecDeque<clock::Instant>,
}

impl Sends {
    /// Records a request.
    pub fn record(&mut self, now: clock::Instant) {
        self.evict(now);
        self.times.push_back(now);
    }

    /// Whether another request stays within this entry's `share`, if its process started at
    /// `started_at`.
    pub fn has_room(&self, now: clock::Instant, share: usize, started_at: clock::Instant) -> bool {
        let accrued = fleet_limit::accrued_units(share, started_at, now, WINDOW);
        let recent = self.times.iter().filter(|time| now.since(**time) < WINDOW).count();
        recent < accrued
    }

    fn evict(&mut self, now: clock::Instant) {
        while self.times.front().is_some_and(|time| now.since(*time) >= WINDOW) {
            self.times.pop_front();
        }
    }
}
