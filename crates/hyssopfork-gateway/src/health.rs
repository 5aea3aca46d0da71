//! Whether an upstream answers.
//!
//! *Pattern.* An upstream fails half of what it gets, at once and with its health check good, or
//! takes requests and answers nothing.
//!
//! *Without it.* One that fails at once is always the emptiest, and draws the work of all.
//!
//! *Rule.* Failures count as a moving share; above [`SICK`] the upstream is used only when no other
//! is left, until the share has faded. One that can't be reached is left alone for a while that
//! doubles.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Weight of the newest answer in the share of failures: two failures in a row make an upstream
/// sick, single ones in ten don't.
const NEWEST_RESULT_WEIGHT: f64 = 0.25;

/// Share of failures above which an upstream is sick.
const MAX_FAILURE_RATIO: f64 = 0.35;

/// Time after which half of the share has faded, so that a sick upstream is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// First time for which an upstream that can't be reached is left alone.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest such time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_ratio: f64,
    updated_at: clock::Instant,
    /// Failures to reach it, in a row.
    failed_connections: u32,
    backoff_until: clock::Instant,
    responded_at: Option<clock::Instant>,
}

impl Health {
    /// It answered.
    pub fn on_success(&mut self, now: clock::Instant) {
        self.record(now, 0.0);
        self.failed_connections = 0;
        self.backoff_until = now;
        self.responded_at = Some(now);
    }

    /// It failed, or broke off.
    pub fn on_failure(&mut self, now: clock::Instant) {
        self.record(now, 1.0);
    }

    /// It can't be reached.
    pub fn on_unreachable(&mut self, now: clock::Instant) {
        self.record(now, 1.0);
        let away =
            INITIAL_BACKOFF.saturating_mul(1 << self.failed_connections.min(8)).min(MAX_BACKOFF);
        self.failed_connections += 1;
        self.backoff_until = now + away;
    }

    /// Whether it fails so often that others go first.
    pub fn is_outlier(&self, now: clock::Instant) -> bool {
        self.faded_ratio(now) > MAX_FAILURE_RATIO
    }

    /// Whether it could not be reached just now.
    pub fn is_backing_off(&self, now: clock::Instant) -> bool {
        now < self.backoff_until
    }

    /// Whether it answered within `span`.
    pub fn has_responded_within(&self, now: clock::Instant, span: Duration) -> bool {
        self.responded_at.is_some_and(|answered| now.since(answered) < span)
    }

    fn faded_ratio(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.failure_ratio * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record(&mut self, now: clock::Instant, failure: f64) {
        let share = self.faded_ratio(now);
        self.failure_ratio = share + (failure - share) * NEWEST_RESULT_WEIGHT;
        self.updated_at = now;
    }
}
