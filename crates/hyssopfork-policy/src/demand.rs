//! Estimate of the slots that a lane needs, by Little's law: arrival rate times service time.
//! Unlike the slots in use, the estimate doesn't shrink while the lane is short of slots.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Time constant of the arrival count's decay: longer than the pauses between a team's batches of
/// calls, shorter than a long job.
pub const ARRIVAL_DECAY: Duration = Duration::from_secs(10);

/// Requests over which the service time is averaged.
const SERVICE_TIME_SPAN: f64 = 128.0;

/// Demand of one lane.
#[derive(Clone, Debug)]
pub struct Demand {
    arrivals: f64,
    updated_at: clock::Instant,
    service_time: ewma::Ewma,
}

impl Default for Demand {
    fn default() -> Self {
        let service_time = ewma::Ewma::new(SERVICE_TIME_SPAN);
        Demand { arrivals: 0.0, updated_at: clock::Instant::ORIGIN, service_time }
    }
}

impl Demand {
    /// Counts an arrival.
    pub fn on_arrival(&mut self, now: clock::Instant) {
        self.arrivals = self.decayed_arrivals(now) + 1.0;
        self.updated_at = now;
    }

    /// Records the service time of a request.
    pub fn record_service_time(&mut self, elapsed: Duration) {
        self.service_time.add(elapsed.as_secs_f64());
    }

    /// Slots needed on average.
    pub fn slots(&self, now: clock::Instant) -> f64 {
        let rate = self.decayed_arrivals(now) / ARRIVAL_DECAY.as_secs_f64();
        rate * self.service_time.mean().unwrap_or_default()
    }

    fn decayed_arrivals(&self, now: clock::Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.arrivals * (-elapsed / ARRIVAL_DECAY.as_secs_f64()).exp()
    }
}
