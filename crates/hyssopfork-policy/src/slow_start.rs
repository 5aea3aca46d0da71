//! Cold start: how much work an upstream may bear while it warms up.
//!
//! *Pattern.* An upstream that has just started (or restarted without a word) has empty caches,
//! unbuilt graphs and unmapped memory: it bears a little load, slowly, and falls over under full
//! load. It never gets warm if it is tipped over each time.
//!
//! *Without it.* Thirty instances that return together take their full share at once, all time
//! out, are restarted, and do so again.
//!
//! *Rule.* A limit on concurrent work that grows only by work that the upstream completed, from
//! [`INITIAL`] to full. Time alone never grows it. The upstream is cold again on a new
//! incarnation, on a run of failures, or when work takes as long as on a cold one.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Concurrent work that any cold upstream is trusted with: the least that makes progress and
/// still completes when one request hangs.
pub const INITIAL_LIMIT: u32 = 2;

/// Pieces of work that must complete before the limit grows at all. Each that completes shows that
/// it was borne among at most [`INITIAL`], not that one more would be: an engine builds what it
/// needs for a size of batch at its first use, and that is when it falls over. Two rounds at the
/// first limit show that it bears that much. Four were tried: in the scenario of silent cold turns
/// they cost 0.1 % of the answers and tipped nothing less over.
pub const HOLD_COMPLETIONS: u32 = 2 * INITIAL_LIMIT;

/// Growth of the limit with each completed piece of work. At 0.5 the limit grows by half each time
/// that as much work as the limit has completed, so a wrong step overshoots what the upstream has
/// shown by at most half.
pub const LIMIT_GROWTH: f64 = 0.5;

/// Work in a row that fails before the upstream counts as cold again: one or two failures are the
/// request's fault more often than the upstream's.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Time for each unit of cost, as a multiple of the warm one, that counts as cold. Batching to the
/// full alone slows a warm engine by 2 to 3; a cold one is slower by 10 and more.
pub const COLD_LATENCY_FACTOR: f64 = 5.0;

/// Slow pieces of work in a row before the upstream counts as cold again.
pub const CONSECUTIVE_SLOW: u32 = 4;

/// Samples over which the warm pace is averaged.
const LATENCY_SPAN: f64 = 256.0;

/// Samples of warm pace needed before slowness is judged.
const MIN_LATENCY_SAMPLES: f64 = 16.0;

/// What a piece of work that ended says of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was completed.
    Completed,
    /// The upstream failed it or did not answer.
    Failed,
    /// It ended for a reason that says nothing of the upstream (cancelled, caller gone).
    Neutral,
}

/// Limit of one upstream.
#[derive(Clone, Debug)]
pub struct SlowStart {
    full_limit: u32,
    limit: f64,
    completed: u32,
    incarnation: Option<String>,
    consecutive_failures: u32,
    consecutive_slow: u32,
    warm_latency: ewma::Ewma,
    cold_since: clock::Instant,
}

impl SlowStart {
    /// A cold upstream that bears `full` pieces of work at once when warm.
    pub fn new(now: clock::Instant, full_limit: u32) -> SlowStart {
        let full_limit = full_limit.max(1);
        SlowStart {
            full_limit,
            limit: f64::from(INITIAL_LIMIT.min(full_limit)),
            completed: 0,
            incarnation: None,
            consecutive_failures: 0,
            consecutive_slow: 0,
            warm_latency: ewma::Ewma::new(LATENCY_SPAN),
            cold_since: now,
        }
    }

    /// Pieces of work that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit is full.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.full_limit
    }

    /// When the upstream last turned cold.
    pub fn cold_since(&self) -> clock::Instant {
        self.cold_since
    }

    /// Takes another figure for what the upstream bears when warm.
    pub fn set_full_limit(&mut self, full_limit: u32) {
        self.full_limit = full_limit.max(1);
        self.limit = self.limit.min(f64::from(self.full_limit));
    }

    /// Back to cold, whatever the reason.
    pub fn reset(&mut self, now: clock::Instant) {
        self.limit = f64::from(INITIAL_LIMIT.min(self.full_limit));
        self.completed = 0;
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
        self.cold_since = now;
    }

    /// Takes the incarnation that the back end reports: another than the last means a new process,
    /// which is cold. Returns whether it turned cold.
    pub fn on_incarnation(&mut self, now: clock::Instant, incarnation: &str) -> bool {
        let changed = self.incarnation.as_deref().is_some_and(|last| last != incarnation);
        self.incarnation = Some(incarnation.to_owned());
        if changed {
            self.reset(now);
        }
        changed
    }

    /// Takes in the end of a piece of work that cost `cost` and began at `begun`. Returns whether
    /// the upstream turned cold by it.
    ///
    /// Work that began before the upstream last turned cold says nothing of how it bears load now.
    pub fn on_request_ended(
        &mut self,
        now: clock::Instant,
        started_at: clock::Instant,
        cost: u32,
        outcome: Outcome,
    ) -> bool {
        if started_at < self.cold_since {
            return false;
        }
        match outcome {
            Outcome::Neutral => false,
            Outcome::Failed => self.on_failure(now),
            Outcome::Completed => self.on_completion(now, now.since(started_at), cost),
        }
    }

    fn on_failure(&mut self, now: clock::Instant) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < CONSECUTIVE_FAILURES {
            return false;
        }
        self.reset(now);
        true
    }

    fn on_completion(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) -> bool {
        self.consecutive_failures = 0;
        let latency = elapsed.as_secs_f64() / f64::from(cost.max(1));
        if self.is_slow(latency) {
            self.consecutive_slow += 1;
            if self.consecutive_slow < CONSECUTIVE_SLOW {
                return false;
            }
            self.reset(now);
            return true;
        }
        self.consecutive_slow = 0;
        if self.is_warm() {
            self.warm_latency.add(latency);
        }
        self.completed = self.completed.saturating_add(1);
        if self.completed > HOLD_COMPLETIONS {
            self.limit = (self.limit + LIMIT_GROWTH).min(f64::from(self.full_limit));
        }
        false
    }

    fn is_slow(&self, latency: f64) -> bool {
        let is_measured = self.is_warm() && self.warm_latency.sample_count() >= MIN_LATENCY_SAMPLES;
        is_measured
            && self.warm_latency.mean().is_some_and(|warm| latency > warm * COLD_LATENCY_FACTOR)
    }
}
