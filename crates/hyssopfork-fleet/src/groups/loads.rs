//! Token bucket for loads from the weight store, which serves all instances together.

use hyssopfork_wire::clock;

/// Share of the store's rate that is used. The rest is for delayed orders, whose loads may begin in
/// the same second as those of orders sent later.
const STORE_RATE_SHARE: f64 = 0.8;

/// Size of the bucket: number of loads that may begin at once after a quiet period.
const MAX_BURST_LOADS: f64 = 2.0;

/// Token bucket that limits how many loads begin per second.
#[derive(Clone, Debug)]
pub struct Limiter {
    tokens: f64,
    refilled_at: clock::Instant,
}

impl Limiter {
    /// Creates an empty bucket, since the loads begun by an earlier leader are unknown.
    pub fn new(now: clock::Instant) -> Limiter {
        Limiter { tokens: 0.0, refilled_at: now }
    }

    /// Takes a token for a load if there is one, with `rate` loads per second; returns whether the
    /// load may begin now.
    pub fn try_start(&mut self, now: clock::Instant, rate: f64) -> bool {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate * STORE_RATE_SHARE).min(MAX_BURST_LOADS);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
