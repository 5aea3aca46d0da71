//! Retry budget: how much of the traffic may be second tries, and which work may be tried again.
//!
//! *Pattern.* Upstreams fail or refuse part of the work; each layer that tries again multiplies
//! the load just when there is least room for it.
//!
//! *Without it.* At three tries a request, a brief fault turns a load of 0.9 into 2.7; the system
//! stays down after the fault is gone, because the retries alone keep it full.
//!
//! *Rule.* Second tries (and hedges) spend from a budget that first tries fill, at [`SHARE`] each,
//! up to [`BURST`]. Work that may have run and may not repeat is never tried again.

use hyssopfork_wire::refusal;

/// Second tries for each first try: load grows by a tenth at most, within the headroom that a
/// fleet needs anyway for the loss of an instance in thirty.
pub const RETRY_RATIO: f64 = 0.1;

/// Second tries that may come in a row after quiet: one upstream's worth of running work, so that
/// the sudden loss of one upstream is retried in full.
pub const MAX_BURST: f64 = 32.0;

/// Budget of one process for one pool.
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
    /// Counts a first try.
    pub fn on_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_BURST);
    }

    /// Whether a second try may go out now; spends from the budget when it may.
    pub fn try_spend(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Whether a request may be tried again now after a try that ended with `ran`; spends from the
    /// budget when it may.
    pub fn try_retry(&mut self, repeatable: bool, ran: refusal::Ran) -> bool {
        is_retryable(repeatable, ran) && self.try_spend()
    }
}

/// Whether work may be sent again at all: it surely did not run, or its route says that it may
/// run more than once. Non-repeatable work that may have run is never sent again.
pub fn is_retryable(repeatable: bool, ran: refusal::Ran) -> bool {
    repeatable || ran == refusal::Ran::NotRun
}
