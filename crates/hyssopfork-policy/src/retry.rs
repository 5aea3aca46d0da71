//! Retry budget: a token bucket that bounds retries as a share of the traffic.
//!
//! When upstreams fail or reject part of the requests, each layer that retries multiplies the load
//! just when there is least capacity for it. At three attempts per request, a brief fault turns a
//! load of 0.9 into 2.7, and the system stays down after the fault is gone, because the retries
//! alone keep it full.
//!
//! Retries and hedges spend tokens that first attempts add, at [`RETRY_RATIO`] each, up to
//! [`MAX_BURST`]. A non-repeatable request that may have run is never retried.

use hyssopfork_wire::refusal;

/// Retries per first attempt: load grows by a tenth at most, within the headroom that a fleet needs
/// anyway for the loss of an instance in thirty.
pub const RETRY_RATIO: f64 = 0.1;

/// Retries that may follow each other after a quiet period: the running requests of one upstream,
/// so that its sudden loss is retried in full.
pub const MAX_BURST: f64 = 32.0;

/// Retry budget of one process for one pool.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: MAX_BURST }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_BURST);
    }

    /// Whether a retry may be sent now; spends a token if so.
    pub fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Whether a request may be retried after an attempt that ended with `ran`; spends a token if
    /// so.
    pub fn try_retry(&mut self, repeatable: bool, ran: refusal::Ran) -> bool {
        is_retryable(repeatable, ran) && self.try_spend()
    }
}

/// Whether a request may be sent again at all: it certainly did not run, or its route allows it to
/// run more than once.
pub fn is_retryable(repeatable: bool, ran: refusal::Ran) -> bool {
    repeatable || ran == refusal::Ran::NotRun
}
