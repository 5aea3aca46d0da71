//! Demand: slots that a kind of work needs, by Little's law from its arrivals and its time in
//! service. Unlike the slots that it holds, that doesn't shrink when the work is squeezed.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Time over which arrivals are forgotten: longer than the pauses between a team's batches of
/// calls, shorter than a long job.
pub const ARRIVAL_DECAY: Duration = Duration::from_secs(10);

/// Pieces of work over which the time in service is averaged.
const SERVICE_TIME_SPAN: f64 = 128.0;

/// Demand of one kind of work.
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

    /// Takes in a time in service.
    pub fn record_service_time(&mut self, elapsed: Duration) {
        self.service_time.add(elapsed.as_secs_f64());
    }

    /// Slots that the work needs on average.
    pub fn slots(&self, now: clock::Instant) -> f64 {
        let rate = self.decayed_arrivals(now) / ARRIVAL_DECAY.as_secs_f64();
        rate * self.service_time.mean().unwrap_or_default()
    }

    fn decayed_arrivals(&self, now: clock::Instant) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.arrivals * (-elapsed / ARRIVAL_DECAY.as_secs_f64()).exp()
    }
}
