//! How full an upstream is, as far as one process can tell.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Time after which half of what others were reported to have there counts as over: about the time
/// that a generation takes.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight of the newest sample in the average time of a request.
const SAMPLE: f64 = 0.05;

/// Average time of a request before the first sample: a generation of a hundred tokens at 10 ms.
const TYPICAL: Duration = Duration::from_millis(1_000);

/// What an upstream says of itself with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Load of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// This process's requests there.
    pub own: u32,
    /// Requests of others there, when they were last reported.
    others: f64,
    reported: Option<clock::Instant>,
    slots: u32,
    time: f64,
}

impl Load {
    /// An upstream of so many slots of which nothing is known.
    pub fn new(slots: u32) -> Load {
        Load { own: 0, others: 0.0, reported: None, slots, time: TYPICAL.as_secs_f64() }
    }

    /// Takes a report.
    pub fn report(&mut self, now: clock::Instant, report: Report) {
        let total = f64::from(report.running + report.waiting);
        self.others = (total - f64::from(self.own)).max(0.0);
        self.reported = Some(now);
        if report.slots > 0 {
            self.slots = report.slots;
        }
    }

    /// Takes in how long a request took.
    pub fn took(&mut self, time: Duration) {
        self.time += (time.as_secs_f64() - self.time) * SAMPLE;
    }

    /// Requests there now.
    pub fn estimate(&self, now: clock::Instant) -> f64 {
        let age = self.age(now).unwrap_or_default();
        let left = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        f64::from(self.own) + self.others * left
    }

    /// Age of the last report.
    pub fn age(&self, now: clock::Instant) -> Option<Duration> {
        self.reported.map(|reported| now.since(reported))
    }

    /// Requests that can run at once.
    pub fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Requests that it ends in a second when it is full.
    pub fn pace(&self) -> f64 {
        self.slots() / self.time.max(0.001)
    }
}
