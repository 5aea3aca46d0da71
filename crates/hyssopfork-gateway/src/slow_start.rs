//! Rate limit of an upstream that has just started, divided among the entries.
//!
//! Invariant: the parts of all entries add up to no more than the rate. With more entries than
//! requests a second, some of them send nothing: one each would be too many.

use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// The span that the rate is counted over.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests in [`SPAN`] that the entry at `rank` of `entries` may send where `rate` may come of all.
pub fn entry_share(rate: f64, rank: usize, entries: usize) -> usize {
    let units = rate.max(0.0).floor() as usize;
    let entries = entries.max(1);
    units / entries + usize::from(rank < units % entries)
}

/// Sends to one upstream in the last second.
#[derive(Clone, Debug, Default)]
pub struct Sends {
    times: VecDeque<clock::Instant>,
}

impl Sends {
    /// Notes a send.
    pub fn record(&mut self, now: clock::Instant) {
        self.evict(now);
        self.times.push_back(now);
    }

    /// Whether another send stays within this entry's `part`.
    pub fn has_room(&self, now: clock::Instant, share: usize) -> bool {
        let recent = self.times.iter().filter(|sent| now.since(**sent) < WINDOW).count();
        recent < share
    }

    fn evict(&mut self, now: clock::Instant) {
        while self.times.front().is_some_and(|sent| now.since(*sent) >= WINDOW) {
            self.times.pop_front();
        }
    }
}
