//! Hedged requests: a second copy of a request whose first copy is stuck on a slow upstream.
//!
//! If one upstream in many pauses or slows down, a few requests take many times the usual time
//! while its peers idle: the slowest hundredth of responses takes as long as the pause, although
//! another upstream would have responded in the usual time.
//!
//! Only repeatable requests are hedged, after a wait longer than nearly all responses take to
//! start, and from the same budget as retries.

use crate::retry;
use std::collections::VecDeque;
use std::time::Duration;

/// Responses whose times to the start are remembered.
const MAX_SAMPLES: usize = 256;

/// Samples needed before any request is hedged, and between two updates of the delay.
const MIN_SAMPLES: usize = 64;

/// Quantile of the remembered times that sets the hedge delay: only one request in twenty is
/// slower, half of the retry budget's share.
const DELAY_QUANTILE: f64 = 0.95;

/// Multiple of the quantile, so that a uniform slow-down of all upstreams causes few hedges.
const DELAY_MARGIN: f64 = 1.5;

/// Hedge delay of one pool and class.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    samples: VecDeque<Duration>,
    delay: Option<Duration>,
    samples_since_update: usize,
}

impl Hedge {
    /// Records the time to the start of a response.
    pub fn record_start_latency(&mut self, elapsed: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(elapsed);
        self.samples_since_update += 1;
        if self.samples_since_update >= MIN_SAMPLES {
            self.samples_since_update = 0;
            self.delay = Some(self.compute_delay());
        }
    }

    /// Time without a response after which a request is hedged; `None` until there are enough
    /// samples.
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Whether to send a second copy of a request that has waited for `waited`; spends from the
    /// budget if so. Never for a non-repeatable request, because both copies may run.
    pub fn try_hedge(
        &self,
        repeatable: bool,
        waited: Duration,
        budget: &mut retry::Budget,
    ) -> bool {
        let is_due = self.delay.is_some_and(|delay| waited >= delay);
        repeatable && is_due && budget.try_spend()
    }

    fn compute_delay(&self) -> Duration {
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * DELAY_QUANTILE) as usize;
        sorted[index.min(sorted.len() - 1)].mul_f64(DELAY_MARGIN)
    }
}
