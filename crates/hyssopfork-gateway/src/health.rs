//! Outlier ejection and connection backoff of an upstream.
//!
//! An upstream may fail half of its requests at once while its health check succeeds, or accept
//! requests and never respond. One that fails at once always has the fewest requests, so that
//! without ejection it would attract those of all. Failures therefore count in an exponentially
//! weighted ratio. Above `MAX_FAILURE_RATIO`, the upstream is used only if no other is available,
//! until the ratio has decayed. An upstream that can't be reached is not used for a backoff that
//! doubles with each failed connection.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Weight of the newest result in the failure ratio: two failures in a row eject an upstream,
/// isolated ones in ten don't.
const NEWEST_RESULT_WEIGHT: f64 = 0.25;

/// Failure ratio above which an upstream is an outlier.
const MAX_FAILURE_RATIO: f64 = 0.35;

/// Time in which the failure ratio halves, so that an ejected upstream is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Backoff after the first failed connection.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_ratio: f64,
    updated_at: clock::Instant,
    /// Failed connections in a row.
    failed_connections: u32,
    backoff_until: clock::Instant,
    responded_at: Option<clock::Instant>,
}

impl Health {
    /// Records a success.
    pub fn on_success(&mut self, now: clock::Instant) {
        self.record(now, 0.0);
        self.failed_connections = 0;
        self.backoff_until = now;
        self.responded_at = Some(now);
    }

    /// Records a failed response or a lost connection.
    pub fn on_failure(&mut self, now: clock::Instant) {
        self.record(now, 1.0);
    }

    /// Records a failed connection and starts the backoff.
    pub fn on_unreachable(&mut self, now: clock::Instant) {
        self.record(now, 1.0);
        let backoff =
            INITIAL_BACKOFF.saturating_mul(1 << self.failed_connections.min(8)).min(MAX_BACKOFF);
        self.failed_connections += 1;
        self.backoff_until = now + backoff;
    }

    /// Whether its failure ratio is so high that healthy upstreams are preferred.
    pub fn is_outlier(&self, now: clock::Instant) -> bool {
        self.decayed_ratio(now) > MAX_FAILURE_RATIO
    }

    /// Whether the backoff after a failed connection is still running.
    pub fn is_backing_off(&self, now: clock::Instant) -> bool {
        now < self.backoff_until
    }

    /// Whether the upstream has responded successfully within `span`.
    pub fn has_responded_within(&self, now: clock::Instant, span: Duration) -> bool {
        self.responded_at.is_some_and(|time| now.since(time) < span)
    }

    fn decayed_ratio(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.failure_ratio * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, now: clock::Instant, failure: f64) {
        let ratio = self.decayed_ratio(now);
        self.failure_ratio = ratio + (failure - ratio) * NEWEST_RESULT_WEIGHT;
        self.updated_at = now;
    }
}
