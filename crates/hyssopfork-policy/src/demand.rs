//! Demand: slots that a kind of work needs, by Little's law from its arrivals and its time in
//! service. Unlike the slots that it holds, that doesn't shrink when the work is squeezed.

use crate::average;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Time over which arrivals are forgotten: longer than the pauses between a team's batches of
/// calls, shorter than a long job.
pub const MEMORY: Duration = Duration::from_secs(10);

/// Pieces of work over which the time in service is averaged.
const SERVICE_SPAN: f64 = 128.0;

/// Demand of one kind of work.
#[derive(Clone, Debug)]
pub struct Demand {
    arrivals: f64,
    last: clock::Instant,
    service: average::Average,
}

impl Default for Demand {
    fn default() -> Self {
        let service = average::Average::new(SERVICE_SPAN);
        Demand { arrivals: 0.0, last: clock::Instant::ORIGIN, service }
    }
}

impl Demand {
    /// Counts an arrival.
    pub fn arrive(&mut self, now: clock::Instant) {
        self.arrivals = self.recent(now) + 1.0;
        self.last = now;
    }

    /// Takes in a time in service.
    pub fn serve(&mut self, elapsed: Duration) {
        self.service.add(elapsed.as_secs_f64());
    }

    /// Slots that the work needs on average.
    pub fn slots(&self, now: clock::Instant) -> f64 {
        let rate = self.recent(now) / MEMORY.as_secs_f64();
        rate * self.service.get().unwrap_or_default()
    }

    fn recent(&self, now: clock::Instant) -> f64 {
        let passed = now.since(self.last).as_secs_f64();
        self.arrivals * (-passed / MEMORY.as_secs_f64()).exp()
    }
}
