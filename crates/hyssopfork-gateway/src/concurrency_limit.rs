//! AIMD concurrency limit: how many requests an upstream may have so that the next one still meets
//! its objective.
//!
//! After the loss of a group, or while a zone is out, more requests arrive than the remaining
//! groups can serve. How many concurrent requests are too many depends on their prompts, the model
//! and the engine's speed, and no engine reports it. Without a limit, every request waits for a
//! slot a little longer than its objective and all are late: with four groups of six left, the
//! first event took 0.4 s to 1.2 s for an objective of 0.3 s, where an engine with a tenth fewer
//! requests takes 0.2 s.
//!
//! The limit decreases with each response that begins later than `LATE_RATIO` of the objective
//! and increases with each that begins earlier. A client that is rejected at once retries when
//! other requests have ended; a queued one would make the others late.
//!
//! Where the [engine model](crate::engine_model) predicts a limit for the request, that one applies. The
//! limit described here can lower it by `1 - MIN_PREDICTION_RATIO` at most, for instance at a group
//! with a slow member, of which no figures are declared.

use std::time::Duration;

/// Part of the objective after which a response counts as late.
const LATE_RATIO: f64 = 1.0;

/// Factor of a decrease. An entry receives a few responses of an upstream per second, so that the
/// limit follows an overload within a second or two.
const DECREASE_FACTOR: f64 = 0.94;

/// Increase per response, as a part of the slots. In equilibrium about one response in five is
/// late.
const INCREASE_RATIO: f64 = 0.015;

/// Part of the limit above which a late response is attributed to the load.
const FULL_RATIO: f64 = 0.5;

/// Lowest limit, as a part of the slots.
const MIN_LIMIT_RATIO: f64 = 0.35;

/// Highest limit, as a part of the slots: some requests may wait for others to end.
const MAX_LIMIT_RATIO: f64 = 1.1;

/// Lowest part of a predicted limit.
const MIN_PREDICTION_RATIO: f64 = 0.75;

/// Concurrency limit of one upstream as one process estimates it. It covers the requests of all
/// processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    slots: f64,
    limit: f64,
}

impl Limit {
    /// Limit of an upstream with this number of slots, before any response.
    pub fn new(slots: u32) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit { slots, limit: slots }
    }

    /// Requests that the upstream may have.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Requests that the upstream may have where a limit is predicted; `None` for no prediction.
    pub fn get_with(&self, predicted: Option<f64>) -> f64 {
        let ratio = (self.limit / self.slots).clamp(MIN_PREDICTION_RATIO, 1.0);
        predicted.map_or(self.limit, |predicted| predicted * ratio)
    }

    /// Adjusts the limit to a response that began after `time_to_first_byte`, for a request with
    /// this `objective` that was sent when the upstream had an estimated `load` of requests.
    pub fn on_response(&mut self, time_to_first_byte: Duration, objective: Duration, load: f64) {
        let is_late = time_to_first_byte.as_secs_f64() > objective.as_secs_f64() * LATE_RATIO;
        let next = if is_late {
            // If the upstream was far from full, its load did not cause the delay.
            let is_full = load >= self.limit * FULL_RATIO;
            if is_full { self.limit * DECREASE_FACTOR } else { self.limit }
        } else {
            self.limit + self.slots * INCREASE_RATIO
        };
        let min_limit = (self.slots * MIN_LIMIT_RATIO).max(1.0);
        self.limit = next.clamp(min_limit, (self.slots * MAX_LIMIT_RATIO).max(self.slots + 1.0));
    }
}
