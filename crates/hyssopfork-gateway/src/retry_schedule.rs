//! Schedule of `Retry-After` times.
//!
//! After the loss of a group or during a burst, hundreds of requests are rejected within a second
//! or two. Clients retry when they are told to, and most of them only once. If all were given the
//! same short time, they would return together, find the upstreams as full as before and be
//! rejected for good. Each rejection therefore reserves the next free time: retries follow one
//! another at the rate at which the upstreams complete requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Half-life of the counts of sent and rejected requests.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Lowest part of the requests that counts as sent: the state of a second says little about times
/// that are further away than a few durations of a request.
pub const MIN_ADMITTED_RATIO: f64 = 0.25;

/// Reserved retry times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next_return: clock::Instant,
}

impl Schedule {
    /// Reserves a retry time: not before `wait`, and `spacing` after the previous one.
    pub fn reserve(&mut self, now: clock::Instant, wait: Duration, spacing: Duration) -> Duration {
        self.next_return = self.next_return.max(now + wait) + spacing;
        now.until(self.next_return)
    }

    /// Reserves a retry time if it is at most `max` away; otherwise returns `max` without a
    /// reservation, so that those of others neither change nor grow without bound.
    pub fn reserve_within(
        &mut self,
        now: clock::Instant,
        wait: Duration,
        spacing: Duration,
        max: Duration,
    ) -> Duration {
        let previous = self.next_return;
        let time = self.reserve(now, wait, spacing);
        if time > max {
            self.next_return = previous;
        }
        time.min(max)
    }
}

/// Requests of one pool and model that were sent or rejected lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admissions {
    updated_at: clock::Instant,
    sent: f64,
    rejected: f64,
}

impl Admissions {
    /// Counts a request that was sent to an upstream.
    pub fn on_sent(&mut self, now: clock::Instant) {
        self.decay(now);
        self.sent += 1.0;
    }

    /// Counts a rejected request.
    pub fn on_rejected(&mut self, now: clock::Instant) {
        self.decay(now);
        self.rejected += 1.0;
    }

    /// Part of the requests that were sent, at least [`MIN_ADMITTED_RATIO`].
    pub fn admitted_ratio(&self) -> f64 {
        let total = self.sent + self.rejected;
        if total <= 0.0 { 1.0 } else { (self.sent / total).max(MIN_ADMITTED_RATIO) }
    }

    fn decay(&mut self, now: clock::Instant) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.updated_at = now;
        self.sent *= factor;
        self.rejected *= factor;
    }
}
