//! Estimate of an upstream's load from old reports and the process's own requests.
//!
//! A process knows its own requests at once, and those of all others only with an answer of that
//! upstream. Of many processes before many upstreams, each has a request at one of them now and then,
//! and the last report there is older than the requests that it counts. What such an upstream has is
//! then estimated by the average over all upstreams of its pool and model, of which a process gets many
//! reports a second, and which follows a surge with the process's own requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Age of a report at which it counts as much as the average: about the time of a request.
const HALF_LIFE: Duration = Duration::from_millis(700);

/// Age at which a report counts half in the averages of its pool and model.
const AVERAGE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Least weight of a report in the averages: several may come at the same moment.
const MIN_SAMPLE: f64 = 0.02;

/// Requests that are added to the own ones, now and on average, before they are compared: a few more
/// are chance, not a surge.
const CHANCE: f64 = 4.0;

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

/// Requests at the upstreams of one pool and model: this process's, and those of others for each
/// upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Average of this process's requests at all upstreams, when others' were reported.
    own: f64,
    /// Average of others' requests at one upstream.
    others: f64,
    reported: Option<clock::Instant>,
}

impl Share {
    /// The share before any report, where so many processes send: as much as each other's.
    pub fn of(entries: usize, upstreams: usize) -> Share {
        let others = (entries.max(1) - 1) as f64 / upstreams.max(1) as f64;
        Share { own: 1.0, others, reported: None }
    }

    /// Takes in that others had so many requests at one upstream while this process had `own` at all.
    pub fn learn(&mut self, now: clock::Instant, own: u32, others: f64) {
        let age = self.reported.replace(now).map(|reported| now.since(reported));
        let weight = age.map_or(1.0, |age| 1.0 - decay(age, AVERAGE_HALF_LIFE)).max(MIN_SAMPLE);
        self.own += (f64::from(own) - self.own) * weight;
        self.others += (others - self.others) * weight;
    }

    /// Requests of others at one upstream, now that this process has `own` at all.
    pub fn others(&self, own: u32) -> f64 {
        let chance = if self.reported.is_some() { CHANCE } else { 0.0 };
        self.others * (f64::from(own) + chance) / (self.own + chance)
    }
}

/// What is left after `age` of something that halves in `half_life`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
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

    /// Requests of others there, when they were last reported.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Requests there now, where an upstream of its kind has `others` requests of others on average.
    pub fn estimate(&self, now: clock::Instant, others: f64) -> f64 {
        let fresh = self.freshness(now);
        f64::from(self.own) + self.others * fresh + others * (1.0 - fresh)
    }

    /// Weight of the last report: 1 when it has just come, 0 where there was none.
    pub fn freshness(&self, now: clock::Instant) -> f64 {
        self.age(now).map_or(0.0, |age| decay(age, HALF_LIFE))
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
