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
const SAMPLE: f64 = 0.25;

/// Share of failures above which an upstream is sick.
const SICK: f64 = 0.35;

/// Time after which half of the share has faded, so that a sick upstream is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// First time for which an upstream that can't be reached is left alone.
const BACKOFF: Duration = Duration::from_millis(300);

/// Longest such time.
const BACKOFF_LIMIT: Duration = Duration::from_secs(4);

/// Health of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    at: clock::Instant,
    /// Failures to reach it, in a row.
    missed: u32,
    away_until: clock::Instant,
    answered: Option<clock::Instant>,
}

impl Health {
    /// It answered.
    pub fn succeeded(&mut self, now: clock::Instant) {
        self.sample(now, 0.0);
        self.missed = 0;
        self.away_until = now;
        self.answered = Some(now);
    }

    /// It failed, or broke off.
    pub fn failed(&mut self, now: clock::Instant) {
        self.sample(now, 1.0);
    }

    /// It can't be reached.
    pub fn unreachable(&mut self, now: clock::Instant) {
        self.sample(now, 1.0);
        let away = BACKOFF.saturating_mul(1 << self.missed.min(8)).min(BACKOFF_LIMIT);
        self.missed += 1;
        self.away_until = now + away;
    }

    /// Whether it fails so often that others go first.
    pub fn is_sick(&self, now: clock::Instant) -> bool {
        self.share(now) > SICK
    }

    /// Whether it could not be reached just now.
    pub fn is_away(&self, now: clock::Instant) -> bool {
        now < self.away_until
    }

    /// Whether it answered within `span`.
    pub fn answered_within(&self, now: clock::Instant, span: Duration) -> bool {
        self.answered.is_some_and(|answered| now.since(answered) < span)
    }

    fn share(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn sample(&mut self, now: clock::Instant, failure: f64) {
        let share = self.share(now);
        self.failures = share + (failure - share) * SAMPLE;
        self.at = now;
    }
}
