//! Demand for the upstreams of one pool and model: how many requests would run concurrently if none
//! were rejected.
//!
//! A request whose [work](crate::engine_model::Group::work) is predicted counts by it, in slots of a full
//! group. Any other one counts by the mean duration of requests (Little's law), which says too little
//! of a model with long prompts: its groups are busy with them before their slots are full.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Half-life of an arrival's weight in the rate. Shorter bursts are not worth a change of the
/// capacity plan.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Lowest weight of the newest sample in the average duration (EWMA).
const MIN_DURATION_WEIGHT: f64 = 0.03;

/// Average duration before the first sample. Short requests complete first, so the first samples are
/// shorter than the average.
const INITIAL_DURATION: Duration = Duration::from_millis(1_500);

/// Samples that the initial duration counts for.
const INITIAL_DURATION_SAMPLES: f64 = 2.0;

/// Total weight of the arrivals' ages below which a rate would rest on a fraction of a second.
const MIN_TOTAL_WEIGHT: f64 = 0.3;

/// Meter of the demand.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    first_arrival: clock::Instant,
    updated_at: clock::Instant,
    /// Arrivals without a predicted work, each weighted by its age at `updated_at`.
    weighted_arrivals: f64,
    /// Slot-seconds of the other arrivals, weighted likewise.
    weighted_slot_seconds: f64,
    /// Average duration of a request, in seconds.
    mean_duration: f64,
    /// Samples in the average, including the initial ones.
    samples: f64,
}

impl Meter {
    /// Creates a meter before the first arrival.
    pub fn new(now: clock::Instant) -> Meter {
        Meter {
            first_arrival: now,
            updated_at: now,
            weighted_arrivals: 0.0,
            weighted_slot_seconds: 0.0,
            mean_duration: INITIAL_DURATION.as_secs_f64(),
            samples: INITIAL_DURATION_SAMPLES,
        }
    }

    /// Counts a request that arrived, with its part of a full group's slots, in seconds; `None` if
    /// that is not predicted.
    pub fn on_arrival(&mut self, now: clock::Instant, slot_seconds: Option<f64>) {
        let left = self.weight_at(now);
        self.weighted_arrivals *= left;
        self.weighted_slot_seconds *= left;
        match slot_seconds {
            Some(slot_seconds) => self.weighted_slot_seconds += slot_seconds,
            None => self.weighted_arrivals += 1.0,
        }
        self.updated_at = now;
    }

    /// Adds the duration of a completed request.
    pub fn on_completed(&mut self, duration: Duration) {
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_DURATION_WEIGHT);
        self.mean_duration += (duration.as_secs_f64() - self.mean_duration) * weight;
    }

    /// Requests that would run concurrently.
    pub fn concurrency(&self, now: clock::Instant) -> f64 {
        let half_life = RATE_HALF_LIFE.as_secs_f64();
        let elapsed = now.since(self.first_arrival).as_secs_f64();
        // Sum of the weights of one arrival per second since the first one.
        let total_weight = half_life / 2.0_f64.ln() * (1.0 - 0.5_f64.powf(elapsed / half_life));
        if total_weight < MIN_TOTAL_WEIGHT {
            return 0.0;
        }
        let slot_seconds = self.weighted_arrivals * self.mean_duration + self.weighted_slot_seconds;
        slot_seconds * self.weight_at(now) / total_weight
    }

    /// Weight of what was counted at `updated_at`.
    fn weight_at(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5_f64.powf(age / RATE_HALF_LIFE.as_secs_f64())
    }
}
