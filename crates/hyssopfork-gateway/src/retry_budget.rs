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
const USABLE_RATIO: f64 = 0.8;

/// Length of the buckets that a window is counted in.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: clock::Instant,
    requests: u32,
    retries: u32,
}

/// The budget of one pool in one process.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
}

/// What bounds a budget.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Sends beyond the first for each request.
    pub retry_ratio: f64,
    /// Sends beyond the first besides, for this process.
    pub retry_extra: f64,
    /// The window.
    pub window: Duration,
}

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, now: clock::Instant, policy: Policy) {
        self.current_bucket(now, policy).requests += 1;
    }

    /// Whether work may be sent again now; counts it when it may.
    pub fn try_retry(&mut self, now: clock::Instant, policy: Policy) -> bool {
        self.current_bucket(now, policy);
        let first: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let again: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let most = (f64::from(first) * policy.retry_ratio + policy.retry_extra) * USABLE_RATIO;
        let may = f64::from(again) + 1.0 <= most;
        if may {
            self.current_bucket(now, policy).retries += 1;
        }
        may
    }

    fn current_bucket(&mut self, now: clock::Instant, policy: Policy) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|it| now.since(it.start) > policy.window + BUCKET_LENGTH)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| now.since(it.start) >= BUCKET_LENGTH) {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
