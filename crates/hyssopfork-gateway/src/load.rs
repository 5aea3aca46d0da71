//! How full an upstream is, as far as one process can tell.
//!
//! *Pattern.* A few processes send to the same upstreams. Each knows its own requests at once, and
//! those of all others only with an answer of that upstream, half a second old. A zone is lost, and
//! all processes send twice as much from one moment to the next.
//!
//! *Without it.* Counted as they were last reported, or as fewer the older the report, an upstream
//! looks half empty to each process, and each fills that half: groups of 34 slots were given 60 to
//! 80 requests, and the first event came after 1.6 s for an objective of 0.3 s.
//!
//! *Rule.* A process learns which part of an upstream's requests are its own. The older a report, the
//! more of the others' requests are taken to follow this process's own, by that part.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Age of a report at which it counts as much as what is concluded from this process's own requests:
/// about the time to a first event.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Weight of the newest report in this process's part of the requests. A process gets ten or more a
/// second, and the parts change when another process starts or ends.
const PART_SAMPLE: f64 = 0.05;

/// Least part: one that has sent nothing for long still concludes something from its first request.
const LEAST_PART: f64 = 0.02;

/// Requests of an upstream from which a report says something of the parts.
const TELLING: u32 = 4;

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

/// This process's part of the requests that a pool's upstreams have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part(f64);

impl Part {
    /// The part before any report, where so many processes send.
    pub fn of(entries: u32) -> Part {
        Part((1.0 / f64::from(entries.max(1))).max(LEAST_PART))
    }

    /// Takes in a report of an upstream that has `own` requests of this process.
    pub fn learn(&mut self, own: u32, report: Report) {
        let total = report.running + report.waiting;
        if total < TELLING {
            return;
        }
        let part = (f64::from(own) / f64::from(total)).min(1.0);
        self.0 = (self.0 + (part - self.0) * PART_SAMPLE).max(LEAST_PART);
    }

    /// Requests of others for each of this process.
    fn others(self) -> f64 {
        1.0 / self.0 - 1.0
    }
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

    /// Requests there now, where this process's requests are `part` of all.
    pub fn estimate(&self, now: clock::Instant, part: Part) -> f64 {
        let own = f64::from(self.own);
        let fresh = self
            .age(now)
            .map_or(0.0, |age| 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64()));
        own + self.others * fresh + own * part.others() * (1.0 - fresh)
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
