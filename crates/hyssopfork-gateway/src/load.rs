//! Estimate of an upstream's load from outdated reports and the process's own requests.
//!
//! A process knows its own requests at once, but those of other processes only from responses of
//! the upstream. With many processes and many upstreams, a process sends a request to a given
//! upstream only now and then, and its last report is older than the requests that it counts. The
//! load is then estimated by the average over all upstreams of the pool and model. A process
//! receives many reports per second for that average, which follows a surge by the process's own
//! requests.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Age at which a report counts as much as the average: about the time to a first event.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// Half-life of a report's weight in the averages of its pool and model.
const AVERAGE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Age of the last report up to which the averages keep their full value.
const MAX_AVERAGE_AGE: Duration = Duration::from_millis(1_500);

/// Time in which the averages halve after that.
const FADE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Own requests at an upstream at which they outweigh the average as an indication of other
/// processes' requests there: a process with several requests at each upstream can tell which ones
/// are fuller.
const OWN_REQUEST_PRIOR: f64 = 0.5;

/// Lowest weight of a report in the averages: several may arrive at the same time.
const MIN_REPORT_WEIGHT: f64 = 0.02;

/// Requests that are added to the own ones, both current and average, before the two are compared:
/// a few more are chance, not a surge.
const SURGE_TOLERANCE_REQUESTS: f64 = 4.0;

/// Weight of the newest sample in the average duration of a request (EWMA).
const DURATION_SAMPLE_WEIGHT: f64 = 0.05;

/// Average duration of a request before the first sample: a hundred generated tokens at 10 ms.
const INITIAL_DURATION: Duration = Duration::from_millis(1_000);

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
}

impl Report {
    /// Whether the upstream has more requests than can run.
    pub fn is_overfull(self) -> bool {
        self.running + self.waiting > self.slots
    }
}

/// This process's requests at the upstreams of one pool and model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests at all of the upstreams.
    pub requests: u32,
    /// Number of upstreams.
    pub upstreams: usize,
}

impl OwnLoad {
    /// Average number of requests at one upstream.
    pub fn mean(self) -> f64 {
        f64::from(self.requests) / self.upstreams.max(1) as f64
    }

    /// Average number of requests at one upstream, including `SURGE_TOLERANCE_REQUESTS`.
    fn smoothed_mean(self) -> f64 {
        (f64::from(self.requests) + SURGE_TOLERANCE_REQUESTS) / self.upstreams.max(1) as f64
    }
}

/// Average requests at one upstream of a pool and model: this process's, and those of other
/// processes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Baseline {
    own: f64,
    others: f64,
    reported_at: Option<clock::Instant>,
}

impl Baseline {
    /// Baseline before any report: each of the `entries` sends as much as this one.
    pub fn new(entries: usize) -> Baseline {
        Baseline { own: 1.0, others: (entries.max(1) - 1) as f64, reported_at: None }
    }

    /// Adds a report that others had `others` requests at one upstream while this process had
    /// `own`.
    ///
    /// The average rises to the load of an overfull upstream at once and falls slowly (peak EWMA).
    /// It would otherwise follow a surge only after several reports, while every process keeps
    /// sending requests that wait. At other upstreams, a rise above the average is mostly chance.
    pub fn update(&mut self, now: clock::Instant, own: OwnLoad, others: f64, is_overfull: bool) {
        let age = self.reported_at.replace(now).map(|reported| now.since(reported));
        let is_surge = is_overfull && others > self.others;
        let age = age.filter(|_| !is_surge);
        let weight =
            age.map_or(1.0, |age| 1.0 - decay(age, AVERAGE_HALF_LIFE)).max(MIN_REPORT_WEIGHT);
        self.own += (own.smoothed_mean() - self.own) * weight;
        self.others += (others - self.others) * weight;
    }

    /// Requests of other processes at one upstream, now that this process has `own`. They decay
    /// without new reports: otherwise a process that sends nothing because all upstreams seem full
    /// would never receive another report.
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

/// Average load of the upstreams of one pool and model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    /// This process's requests at all of them.
    pub own: OwnLoad,
    /// Requests of other processes at one of them.
    pub others: f64,
}

/// Remaining part after `age` of a quantity with this half-life.
fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Load of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// This process's requests.
    pub own_requests: u32,
    /// Requests of other processes at the last report.
    others: f64,
    /// This process's average requests per upstream of the pool and model at the last report.
    own_mean: f64,
    reported_at: Option<clock::Instant>,
    slots: u32,
    mean_duration: f64,
}

impl Load {
    /// Load of an upstream with this number of slots, without any report.
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

    /// Adds a report that arrived while this process had `own` requests.
    pub fn on_report(&mut self, now: clock::Instant, report: Report, own: OwnLoad) {
        self.own_mean = own.smoothed_mean();
        let total = f64::from(report.running + report.waiting);
        self.others = (total - f64::from(self.own_requests)).max(0.0);
        self.reported_at = Some(now);
        if report.slots > 0 {
            self.slots = report.slots;
        }
    }

    /// Adds the duration of a request to the average.
    pub fn record_duration(&mut self, time: Duration) {
        self.mean_duration += (time.as_secs_f64() - self.mean_duration) * DURATION_SAMPLE_WEIGHT;
    }

    /// Requests of other processes at the last report.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Estimated current requests. Other processes' requests are assumed to have grown since the
    /// last report like this process's own.
    pub fn estimate(&self, now: clock::Instant, average: Average) -> f64 {
        let freshness = self.freshness(now);
        let reported = self.others * average.own.smoothed_mean() / self.own_mean;
        let own = f64::from(self.own_requests);
        let expected =
            average.others * (own + OWN_REQUEST_PRIOR) / (average.own.mean() + OWN_REQUEST_PRIOR);
        own + reported * freshness + expected * (1.0 - freshness)
    }

    /// Standard deviation of the estimate: other processes' requests vary around the average like
    /// random arrivals.
    pub fn deviation(&self, now: clock::Instant, average: Average) -> f64 {
        (average.others.max(0.0) * (1.0 - self.freshness(now))).sqrt()
    }

    /// Weight of the last report: 1 if it has just arrived, 0 if there is none.
    pub fn freshness(&self, now: clock::Instant) -> f64 {
        self.report_age(now).map_or(0.0, |age| decay(age, REPORT_HALF_LIFE))
    }

    /// Age of the last report.
    pub fn report_age(&self, now: clock::Instant) -> Option<Duration> {
        self.reported_at.map(|reported| now.since(reported))
    }

    /// Requests that can run concurrently.
    pub fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }

    /// Time until a request gets a slot that is sent while the upstream has this many.
    pub fn time_to_slot(&self, requests: f64) -> Duration {
        let waiting = (requests + 1.0 - self.slots()).max(0.0);
        Duration::try_from_secs_f64(waiting / self.throughput()).unwrap_or(Duration::MAX)
    }

    /// Requests that the upstream completes per second when it is full.
    pub fn throughput(&self) -> f64 {
        self.slots() / self.mean_duration.max(0.001)
    }
}
