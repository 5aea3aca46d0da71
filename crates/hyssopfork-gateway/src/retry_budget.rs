//! Retry budget over all processes.
//!
//! When upstreams fail, each loses dozens of streams, which are retried at the moment with the
//! least spare capacity; without a budget the retries amplify the overload that causes them. In
//! each window, the retries stay below a share of the requests plus an extra that is divided evenly
//! among the processes. Requests are spread unevenly over processes, so each process counts the
//! share of its own requests only; no process can spend what another leaves unused.

use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the budget that is used: windows of other observers begin at other moments, and the
/// other processes count a new process only after a delay.
const USABLE_RATIO: f64 = 0.8;

/// Length of the buckets that a window is divided into.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Shortest interval between two logged denials.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: clock::Instant,
    requests: u32,
    retries: u32,
}

/// Retry budget of one pool in one process.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: VecDeque<Bucket>,
    granted: u64,
    denied: u64,
    logged_at: Option<clock::Instant>,
}

/// What a budget has counted and allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// First attempts within the window.
    pub requests: u32,
    /// Retries within the window.
    pub retries: u32,
    /// Most retries within the window.
    pub limit: f64,
    /// Retries that were granted since the process started.
    pub granted: u64,
    /// Retries that were denied since the process started.
    pub denied: u64,
}

/// Limits of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries per request.
    pub retry_ratio: f64,
    /// Additional retries of this process.
    pub retry_extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Budget {
    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: clock::Instant, policy: Policy) {
        self.current_bucket(now, policy).requests += 1;
    }

    /// Returns whether a retry is within the budget, and counts it if so.
    pub fn try_retry(&mut self, now: clock::Instant, policy: Policy) -> bool {
        self.current_bucket(now, policy);
        let usage = self.usage(policy);
        let is_allowed = f64::from(usage.retries) + 1.0 <= usage.limit;
        if is_allowed {
            self.granted += 1;
            self.current_bucket(now, policy).retries += 1;
        } else {
            self.denied += 1;
        }
        is_allowed
    }

    /// What has been counted up to the last request or retry.
    pub fn usage(&self, policy: Policy) -> Usage {
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let limit = (f64::from(requests) * policy.retry_ratio + policy.retry_extra) * USABLE_RATIO;
        Usage { requests, retries, limit, granted: self.granted, denied: self.denied }
    }

    /// Whether a denial is to be logged, at most once per [`LOG_INTERVAL`].
    pub fn should_log_denial(&mut self, now: clock::Instant) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
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
