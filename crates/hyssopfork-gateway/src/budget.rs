//! How often work may be sent again, over all processes.
//!
//! *Pattern.* Upstreams fail or vanish with dozens of streams each; each is sent again, at the
//! moment with the least room for it.
//!
//! *Without it.* Sends beyond the first add to an overload that they come from.
//!
//! *Rule.* In each window, sends beyond the first stay below a share of the requests and an extra
//! that all processes divide evenly. Requests fall on processes unevenly, so the share is counted
//! on a process's own; no process can spend what another did not use.

use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the budget that is used: windows of whoever counts begin at other moments than ours, and
/// a process that is new is counted by the others only after a moment.
const USED: f64 = 0.8;

/// Length of the buckets that a window is counted in.
const BUCKET: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: clock::Instant,
    first: u32,
    again: u32,
}

/// The budget of one pool in one process.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

/// What bounds a budget.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Sends beyond the first besides, for this process.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl Budget {
    /// Counts a request.
    pub fn first(&mut self, now: clock::Instant, bound: Bound) {
        self.bucket(now, bound).first += 1;
    }

    /// Whether work may be sent again now; counts it when it may.
    pub fn again(&mut self, now: clock::Instant, bound: Bound) -> bool {
        self.bucket(now, bound);
        let first: u32 = self.buckets.iter().map(|bucket| bucket.first).sum();
        let again: u32 = self.buckets.iter().map(|bucket| bucket.again).sum();
        let most = (f64::from(first) * bound.ratio + bound.extra) * USED;
        let may = f64::from(again) + 1.0 <= most;
        if may {
            self.bucket(now, bound).again += 1;
        }
        may
    }

    fn bucket(&mut self, now: clock::Instant, bound: Bound) -> &mut Bucket {
        while self.buckets.front().is_some_and(|it| now.since(it.start) > bound.window + BUCKET) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| now.since(it.start) >= BUCKET) {
            self.buckets.push_back(Bucket { start: now, first: 0, again: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
