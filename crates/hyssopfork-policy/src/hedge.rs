//! Hedging: a second copy of a request whose first copy is stuck on a straggler.
//!
//! *Pattern.* One upstream in many pauses or slows; a few requests on it take many times the usual
//! time while its peers idle.
//!
//! *Without it.* The slowest hundredth of answers takes as long as the pause, though another
//! upstream would have answered in the usual time.
//!
//! *Rule.* For repeatable requests only, a second copy after a wait longer than nearly all answers
//! take to begin, spent from the same budget as retries.

use crate::retry;
use std::collections::VecDeque;
use std::time::Duration;

/// Answers whose times to begin are remembered.
const MAX_SAMPLES: usize = 256;

/// Samples needed before anything is hedged.
const MIN_SAMPLES: usize = 64;

/// Place of the hedge delay among the remembered times: past it only one in twenty is hedged, half
/// of the retry budget's share.
const DELAY_QUANTILE: f64 = 0.95;

/// Multiple of the quantile, so that a uniform slow-down of all upstreams hedges little.
const DELAY_MARGIN: f64 = 1.5;

/// When to hedge, for one pool and class.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    samples: VecDeque<Duration>,
    delay: Option<Duration>,
    samples_since_update: usize,
}

impl Hedge {
    /// Takes in the time that an answer took to begin.
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

    /// Time after which a request that has not begun to be answered is worth a second copy; `None`
    /// until enough answers were seen.
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Whether to send a second copy of a request that has waited for `waited`; spends from the
    /// budget when so. Never for a request that may not repeat: both copies may run.
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
