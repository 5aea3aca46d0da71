//! Retry budget over all entries.
//!
//! When upstreams fail, each loses dozens of streams, which are retried at the moment with the
//! least spare capacity; without a budget the retries amplify the overload that causes them. In
//! each window, the retries of all entries stay below a share of the requests plus an extra.
//!
//! Requests are spread unevenly over entries, so each entry counts the share of its own requests only.
//! Most of that share is spent as it is earned, from a bucket that starts empty: how often processes
//! start makes no difference to it. The rest, and the entry's share of the extra, are what a
//! window may hold at once, for the streams of a lost upstream.
//!
//! Invariant: an entry spends at most [`EARNED_RATIO`] of the share of its requests since it started,
//! a bucket of at most [`MAX_BURST`], and per window [`BURST_RATIO`] of the share of the requests in
//! it and its share of half of the extra that the buckets leave. The sum for all entries stays within the
//! budget even if each of them is replaced, and its requests go to others, once it has spent all of it.

use crate::fleet_limit;
use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::time::Duration;

/// Part of the share of the requests that is spent as it is earned.
const EARNED_RATIO: f64 = 0.8;

/// Part of the share of the requests that the window may hold at once. With [`EARNED_RATIO`], twice
/// this part is 1: the requests of an entry that is lost are counted by another one again.
const BURST_RATIO: f64 = 0.1;

/// Part of the extra that a window may hold at once, of what the buckets leave: a process that replaces
/// another one accrues its share again within the window.
const EXTRA_RATIO: f64 = 0.5;

/// Part of the extra that the buckets of all entries hold together, where that is at least one retry
/// each.
const BUCKET_EXTRA_RATIO: f64 = 0.2;

/// Lower and upper bound of the retries that a bucket may hold.
const MIN_BURST: f64 = 1.0;
const MAX_BURST: f64 = 4.0;

/// Part of what the window may hold at once that is left to retries of high priority.
const RESERVED_RATIO: f64 = 0.5;

/// Length of the intervals that a window is divided into.
const INTERVAL_LENGTH: Duration = Duration::from_millis(500);

/// Shortest interval between two logged denials.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Interval {
    start: clock::Instant,
    requests: u32,
    /// Retries from the bucket.
    earned_retries: u32,
    /// Retries that count against what the window may hold at once.
    burst_retries: u32,
}

/// Priority of a retry over others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// The upstream was lost or did not accept the request, which is likely to succeed elsewhere, or the
    /// request is among the most urgent.
    High,
    /// The upstream ran the request and failed; another one may fail as well.
    Low,
}

/// A retry that was granted and has not been sent yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// From the bucket.
    Earned,
    /// From what the window may hold at once.
    Burst,
}

/// Limits of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries per request.
    pub retry_ratio: f64,
    /// Additional retries of all entries.
    pub retry_extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of entries that the extra is divided among.
    pub entries: usize,
    /// Rank of this entry among them. If there are more of them than the extra has retries, those of
    /// the last ranks have an empty bucket.
    pub rank: usize,
    /// Part of this entry's share of the extra that has accrued, from 0 to 1.
    pub accrued: f64,
}

impl Policy {
    /// Limits that are divided among `members`.
    pub fn new(
        retry_ratio: f64,
        retry_extra: f64,
        window: Duration,
        members: &fleet_limit::Members,
        rank: usize,
        now: clock::Instant,
    ) -> Policy {
        let (entries, accrued) = (members.divisor(now, window), members.accrued(now, window));
        Policy { retry_ratio, retry_extra, window, entries, rank, accrued }
    }

    /// Most retries that the bucket may hold.
    pub fn max_tokens(self) -> f64 {
        if self.rank as f64 + MIN_BURST > self.retry_extra {
            return 0.0;
        }
        let share = self.retry_extra / self.entries as f64;
        (share * BUCKET_EXTRA_RATIO).clamp(MIN_BURST, MAX_BURST)
    }

    /// Most retries from the extra that a window may hold at once.
    pub fn extra_share(self) -> f64 {
        let entries = self.entries as f64;
        let share = self.retry_extra / entries;
        let bucket = (share * BUCKET_EXTRA_RATIO).clamp(MIN_BURST, MAX_BURST);
        (share - bucket).max(0.0) * EXTRA_RATIO
    }
}

/// What a budget has counted and allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// First attempts within the window.
    pub requests: u32,
    /// Retries within the window, with those that are granted and not sent yet.
    pub retries: u32,
    /// Most retries within the window, if no further request arrives.
    pub limit: f64,
    /// Retries that were granted since the process started.
    pub granted: u64,
    /// Retries that were denied since the process started.
    pub denied: u64,
}

/// Retry budget of one pool in one process.
#[derive(Clone, Debug)]
pub struct Budget {
    started_at: clock::Instant,
    intervals: VecDeque<Interval>,
    /// Content of the bucket: retries that were earned and not granted.
    tokens: f64,
    /// Grants that are neither used nor returned.
    pending_earned: u32,
    pending_burst: u32,
    granted: u64,
    denied: u64,
    logged_at: Option<clock::Instant>,
}

impl Budget {
    /// Creates the budget of a process that started at `started_at`.
    pub fn new(started_at: clock::Instant) -> Budget {
        Budget {
            started_at,
            intervals: VecDeque::new(),
            tokens: 0.0,
            pending_earned: 0,
            pending_burst: 0,
            granted: 0,
            denied: 0,
            logged_at: None,
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: clock::Instant, policy: Policy) {
        self.current_interval(now, policy).requests += 1;
        self.add_tokens(policy.retry_ratio * EARNED_RATIO, policy);
    }

    /// Grants a retry if it is within the budget.
    pub fn try_grant(
        &mut self,
        now: clock::Instant,
        policy: Policy,
        priority: Priority,
    ) -> Option<Grant> {
        self.current_interval(now, policy);
        self.add_tokens(0.0, policy);
        let grant = if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.pending_earned += 1;
            Some(Grant::Earned)
        } else if self.has_burst(now, policy, priority) {
            self.pending_burst += 1;
            Some(Grant::Burst)
        } else {
            None
        };
        match grant {
            Some(_) => self.granted += 1,
            None => self.denied += 1,
        }
        grant
    }

    /// Counts a granted retry, which is sent now.
    pub fn use_grant(&mut self, now: clock::Instant, policy: Policy, grant: Grant) {
        match grant {
            Grant::Earned => {
                self.pending_earned = self.pending_earned.saturating_sub(1);
                self.current_interval(now, policy).earned_retries += 1;
            }
            Grant::Burst => {
                self.pending_burst = self.pending_burst.saturating_sub(1);
                self.current_interval(now, policy).burst_retries += 1;
            }
        }
    }

    /// Takes back a grant that is not used.
    pub fn return_grant(&mut self, policy: Policy, grant: Grant) {
        match grant {
            Grant::Earned => {
                self.pending_earned = self.pending_earned.saturating_sub(1);
                self.add_tokens(1.0, policy);
            }
            Grant::Burst => self.pending_burst = self.pending_burst.saturating_sub(1),
        }
    }

    /// What has been counted and is allowed at `now`.
    pub fn usage(&self, now: clock::Instant, policy: Policy) -> Usage {
        let intervals = self.intervals_within(now, policy.window + INTERVAL_LENGTH);
        let (requests, earned) = intervals.fold((0, 0), |(requests, earned), interval| {
            (requests + interval.requests, earned + interval.earned_retries)
        });
        let burst = self.burst_retries(now, policy);
        let earned = earned + self.pending_earned;
        let limit = f64::from(earned) + self.tokens + self.max_burst(now, policy).max(burst.into());
        let (granted, denied) = (self.granted, self.denied);
        Usage { requests, retries: earned + burst, limit, granted, denied }
    }

    /// Whether a denial is to be logged, at most once per [`LOG_INTERVAL`].
    pub fn should_log_denial(&mut self, now: clock::Instant) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if is_due {
            self.logged_at = Some(now);
        }
        is_due
    }

    /// Whether the window may hold another retry at once.
    fn has_burst(&self, now: clock::Instant, policy: Policy, priority: Priority) -> bool {
        let max_burst = self.max_burst(now, policy);
        let usable = match priority {
            Priority::High => max_burst,
            Priority::Low => max_burst * (1.0 - RESERVED_RATIO),
        };
        f64::from(self.burst_retries(now, policy)) + 1.0 <= usable
    }

    /// Most retries that the window may hold at once.
    fn max_burst(&self, now: clock::Instant, policy: Policy) -> f64 {
        // A process that started within the window doesn't know what an earlier one on its machine
        // has spent.
        let is_whole = now.since(self.started_at) >= policy.window;
        let window = policy.window.saturating_sub(INTERVAL_LENGTH);
        let requests: u32 =
            self.intervals_within(now, window).map(|interval| interval.requests).sum();
        let of_requests =
            if is_whole { f64::from(requests) * policy.retry_ratio * BURST_RATIO } else { 0.0 };
        of_requests + policy.extra_share() * policy.accrued
    }

    /// Retries within the window that count against what it may hold at once.
    fn burst_retries(&self, now: clock::Instant, policy: Policy) -> u32 {
        let intervals = self.intervals_within(now, policy.window + INTERVAL_LENGTH);
        self.pending_burst + intervals.map(|interval| interval.burst_retries).sum::<u32>()
    }

    /// Intervals that began at most `age` before `now`.
    fn intervals_within(
        &self,
        now: clock::Instant,
        age: Duration,
    ) -> impl Iterator<Item = &Interval> {
        self.intervals.iter().filter(move |interval| now.since(interval.start) <= age)
    }

    fn add_tokens(&mut self, tokens: f64, policy: Policy) {
        let max_tokens = policy.max_tokens() - f64::from(self.pending_earned);
        self.tokens = (self.tokens + tokens).min(max_tokens.max(0.0));
    }

    fn current_interval(&mut self, now: clock::Instant, policy: Policy) -> &mut Interval {
        while self
            .intervals
            .front()
            .is_some_and(|it| now.since(it.start) > policy.window + INTERVAL_LENGTH)
        {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|it| now.since(it.start) >= INTERVAL_LENGTH) {
            self.intervals.push_back(Interval {
                start: now,
                requests: 0,
                earned_retries: 0,
                burst_retries: 0,
            });
        }
        self.intervals.back_mut().expect("an interval was just added")
    }
}
