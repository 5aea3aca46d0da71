//! Slow start: limits the concurrent requests of a cold upstream while it warms up.
//!
//! An upstream that has just started, or restarted unannounced, has empty caches, unbuilt graphs
//! and unmapped memory: it is slow, and crashes under full load. It never gets warm if it crashes
//! each time. Without a limit, thirty instances that return together take their full share at once,
//! all time out, are restarted, and do so again.
//!
//! The concurrency limit grows from [`INITIAL_LIMIT`] to full only with requests that the upstream
//! completed; time alone never raises it. The upstream is cold again on a new incarnation, after
//! consecutive failures, or if requests take as long as on a cold one.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Concurrent requests of any cold upstream: the fewest that make progress and still complete if
/// one request hangs.
pub const INITIAL_LIMIT: u32 = 2;

/// Completed requests before the limit starts to grow. A completed request shows that the upstream
/// handles [`INITIAL_LIMIT`] at once, not that it handles one more: an engine builds what a batch
/// size needs at its first use, and that is when it crashes. Two rounds at the initial limit are
/// enough: four rounds cost 0.1 % of the responses when upstreams are replaced unannounced, and
/// prevent no further crash.
pub const HOLD_COMPLETIONS: u32 = 2 * INITIAL_LIMIT;

/// Growth of the limit with each completed request. At 0.5 the limit grows by half while as many
/// requests as the limit complete, so it exceeds what the upstream has shown to handle by at most
/// half.
pub const LIMIT_GROWTH: f64 = 0.5;

/// Consecutive failures after which the upstream counts as cold: one or two failures are more often
/// the request's fault than the upstream's.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Time per token, as a multiple of the warm average, that counts as cold. A full batch alone slows
/// a warm engine by 2 to 3; a cold one is slower by 10 and more.
pub const COLD_LATENCY_FACTOR: f64 = 5.0;

/// Consecutive slow requests after which the upstream counts as cold.
pub const CONSECUTIVE_SLOW: u32 = 4;

/// Samples over which the warm latency is averaged.
const LATENCY_SPAN: f64 = 256.0;

/// Samples of the warm latency needed before requests are compared with it.
const MIN_LATENCY_SAMPLES: f64 = 16.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was completed.
    Completed,
    /// The upstream failed it or did not respond.
    Failed,
    /// It ended for a reason unrelated to the upstream (cancelled, client disconnected).
    Neutral,
}

/// Concurrency limit of one upstream.
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
    /// A cold upstream that handles `full_limit` concurrent requests when warm.
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

    /// Requests that may run at once now.
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

    /// Changes the limit of the warm upstream.
    pub fn set_full_limit(&mut self, full_limit: u32) {
        self.full_limit = full_limit.max(1);
        self.limit = self.limit.min(f64::from(self.full_limit));
    }

    /// Resets the upstream to cold.
    pub fn reset(&mut self, now: clock::Instant) {
        self.limit = f64::from(INITIAL_LIMIT.min(self.full_limit));
        self.completed = 0;
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
        self.cold_since = now;
    }

    /// Records the incarnation that the back end reports: a different one means a new process,
    /// which is cold. Returns whether the upstream turned cold.
    pub fn on_incarnation(&mut self, now: clock::Instant, incarnation: &str) -> bool {
        let changed = self.incarnation.as_deref().is_some_and(|last| last != incarnation);
        self.incarnation = Some(incarnation.to_owned());
        if changed {
            self.reset(now);
        }
        changed
    }

    /// Records the end of a request of `cost` that started at `started_at`. Returns whether the
    /// upstream turned cold by it.
    ///
    /// A request that started before the upstream last turned cold is ignored: it shows nothing
    /// about the present process.
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
