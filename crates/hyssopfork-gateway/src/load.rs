//! Estimate of an upstream's load from old reports and the process's own requests.
//!
//! A process knows its own requests at once, and those of all others only with an answer of that
//! upstream. Of many processes before many upstreams, each has a request at one of them now and then,
//! and the last report there is older than the requests that it counts. What such an upstream has is
//! then estimated by the average over all upstreams of its pool and model, of which a process gets many
//! reports a second, and which follows a surge with the process's own requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Age of a report at which it counts as much as the average: about the time to a first event.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Age at which a report counts half in the averages of its pool and model.
const AVERAGE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Age of the last report up to which the averages count whole.
const MAX_AVERAGE_AGE: Duration = Duration::from_millis(1_500);

/// Time after that in which what is left of them halves.
const FADE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Own requests at an upstream by which the average outweighs what they say of others' there: who has
/// several at each upstream sees by them which are fuller.
const OWN_REQUEST_PRIOR: f64 = 0.5;

/// Least weight of a report in the averages: several may come at the same moment.
const MIN_REPORT_WEIGHT: f64 = 0.02;

/// Requests that are added to the own ones, now and on average, before they are compared: a few more
/// are chance, not a surge.
const CHANCE_REQUESTS: f64 = 4.0;

/// Weight of the newest sample in the average time of a request.
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

/// Average time of a request before the first sample: a generation of a hundred tokens at 10 ms.
const INITIAL_DURATION: Duration = Duration::from_millis(1_000);

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

/// This process's requests at the upstreams of one pool and model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests at all of them.
    pub requests: u32,
    /// How many upstreams there are.
    pub upstreams: usize,
}

impl OwnLoad {
    /// Requests at one upstream on average.
    pub fn mean(self) -> f64 {
        f64::from(self.requests) / self.upstreams.max(1) as f64
    }

    /// The same, with [`CHANCE`].
    fn smoothed_mean(self) -> f64 {
        (f64::from(self.requests) + CHANCE_REQUESTS) / self.upstreams.max(1) as f64
    }
}

/// Requests at one upstream of a pool and model on average: this process's, and those of others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    own: f64,
    others: f64,
    reported_at: Option<clock::Instant>,
}

impl Baseline {
    /// The share before any report, where so many processes send: as much as each other's.
    pub fn new(entries: usize) -> Baseline {
        Baseline { own: 1.0, others: (entries.max(1) - 1) as f64, reported_at: None }
    }

    /// Takes in that others had so many requests at one upstream while this process had `own`.
    pub fn update(&mut self, now: clock::Instant, own: OwnLoad, others: f64) {
        let age = self.reported_at.replace(now).map(|reported| now.since(reported));
        let weight =
            age.map_or(1.0, |age| 1.0 - decay(age, AVERAGE_HALF_LIFE)).max(MIN_REPORT_WEIGHT);
        self.own += (own.smoothed_mean() - self.own) * weight;
        self.others += (others - self.others) * weight;
    }

    /// Requests of others at one upstream, now that this process has `own`. Without new reports they
    /// fade: a process that sends nothing since all seem full would get none.
    pub fn others(&self, now: clock::Instant, own: OwnLoad) -> f64 {
        match self.reported_at {
            Some(reported) => {
                let stale = now.since(reported).saturating_sub(MAX_AVERAGE_AGE);
                let left = decay(stale, FADE_HALF_LIFE);
                self.others * left * own.smoothed_mean() / self.own
            }
            None => self.others * own.mean(),
        }
    }
}

/// What an upstream of one pool and model has on average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    /// This process's requests at all of them.
    pub own: OwnLoad,
    /// Requests of others at one of them.
    pub others: f64,
}

/// What is left after `age` of something that halves in `half_life`.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Load of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// This process's requests there.
    pub own_requests: u32,
    /// Requests of others there, when they were last reported.
    others: f64,
    /// This process's requests at an upstream of its kind then, on average.
    own_mean: f64,
    reported_at: Option<clock::Instant>,
    slots: u32,
    mean_duration: f64,
}

impl Load {
    /// An upstream of so many slots of which nothing is known.
    pub fn new(slots: u32) -> Load {
        Load {
            own_requests: 0,
            others: 0.0,
            own_mean: 1.0,
            reported_at: None,
            slots,
            mean_duration: INITIAL_DURATION.as_secs_f64(),
        }
    }

    /// Takes a report that came while this process had `own` requests.
    pub fn on_report(&mut self, now: clock::Instant, report: Report, own: OwnLoad) {
        self.own_mean = own.smoothed_mean();
        let total = f64::from(report.running + report.waiting);
        self.others = (total - f64::from(self.own_requests)).max(0.0);
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.slots = report.slots;
        }
    }

    /// Takes in how long a request took.
    pub fn record_duration(&mut self, time: Duration) {
        self.mean_duration += (time.as_secs_f64() - self.mean_duration) * DURATION_SAMPLE_WEIGHT;
    }

    /// Requests of others there, when they were last reported.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Requests there now. Others' requests are taken to have grown since the last report as this
    /// process's own have.
    pub fn estimate(&self, now: clock::Instant, average: Average) -> f64 {
        let fresh = self.freshness(now);
        let reported = self.others * average.own.smoothed_mean() / self.own_mean;
        let own = f64::from(self.own_requests);
        let likely =
            average.others * (own + OWN_REQUEST_PRIOR) / (average.own.mean() + OWN_REQUEST_PRIOR);
        own + reported * fresh + likely * (1.0 - fresh)
    }

    /// How much the estimate may be wrong: others' requests vary about the average as arrivals do.
    pub fn deviation(&self, now: clock::Instant, average: Average) -> f64 {
        (average.others.max(0.0) * (1.0 - self.freshness(now))).sqrt()
    }

    /// Weight of the last report: 1 when it has just come, 0 where there was none.
    pub fn freshness(&self, now: clock::Instant) -> f64 {
        self.report_age(now).map_or(0.0, |age| decay(age, REPORT_HALF_LIFE))
    }

    /// Age of the last report.
    pub fn report_age(&self, now: clock::Instant) -> Option<Duration> {
        self.reported_at.map(|reported| now.since(reported))
    }

    /// Requests that can run at once.
    pub fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Requests that it ends in a second when it is full.
    pub fn throughput(&self) -> f64 {
        self.slots() / self.mean_duration.max(0.001)
    }
}
