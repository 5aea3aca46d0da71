//! Token buckets for a leader's calls to engines.
//!
//! Each call opens a connection. Without a limit, a new leader of a thousand engines asked all of them
//! for reports in one step, which took longer than its lease.

use hyssopfork_wire::clock;

/// Calls per second.
const RATE: f64 = 800.0;

/// Calls that may be made at once after a pause.
const MAX_BURST: f64 = 96.0;

/// Token bucket of one kind of call.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: clock::Instant,
}

impl Bucket {
    /// Creates a full bucket.
    pub(super) fn new(now: clock::Instant) -> Bucket {
        Bucket { tokens: MAX_BURST, refilled_at: now }
    }

    /// Takes a token if there is one; returns whether the call may be made now.
    pub(super) fn try_take(&mut self, now: clock::Instant) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * RATE).min(MAX_BURST);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
