//! Estimate of an upstream's load from outdated reports and the process's own requests.
//!
//! A process knows its own requests at once, but those of other processes only from responses of
//! the upstream. With many processes and many upstreams, a process sends a request to a given
//! upstream only now and then, and its last report is older than the requests that it counts. The
//! load is then estimated by the average over all upstreams of the pool and model. A process
//! receives many reports per second for that average, which follows a surge by the process's own
//! requests.
//!
//! Where the entries share their counts ([`occupancy`]), a recent total replaces the estimate.

use crate::occupancy;
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

/// Requests of other entries, in multiples of the slots, above which a total is implausible and is
/// ignored: a limit is little more than the slots.
const MAX_TOTAL_RATIO: f64 = 4.0;

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
    /// Tokens of this process's requests, as expected when they end; 0 if the upstream's performance is
    /// not declared.
    pub own_tokens: u64,
    /// Count of the other entries.
    total: Option<occupancy::Total>,
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
            own_tokens: 0,
            total: None,
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
        // A report that is newer than the total shows requests that the coordinator has not counted.
        if let Some(total) = &mut self.total {
            total.others.requests = total.others.requests.max(self.others as u32);
        }
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

    /// Takes the count of the other entries.
    pub fn set_total(&mut self, total: occupancy::Total) {
        self.total = Some(total);
    }

    /// Count of the other entries if it is recent.
    pub fn total(&self, now: clock::Instant) -> Option<occupancy::Count> {
        let is_plausible = |total: &occupancy::Total| {
            f64::from(total.others.requests) <= self.slots() * MAX_TOTAL_RATIO
        };
        let is_recent = |total: &occupancy::Total| now.since(total.at) <= occupancy::MAX_TOTAL_AGE;
        self.total.filter(is_recent).filter(is_plausible).map(|total| total.others)
    }

    /// Age of the count of the other entries; `None` if it isn't used.
    pub fn total_age(&self, now: clock::Instant) -> Option<Duration> {
        self.total(now).and(self.total).map(|total| now.since(total.at))
    }

    /// Whether the slots are known to be all in use.
    pub fn is_known_full(&self, now: clock::Instant) -> bool {
        self.total(now).is_some_and(|others| {
            f64::from(self.own_requests) + f64::from(others.requests) >= self.slots()
        })
    }

    /// Part of the requests of a full upstream that end within `time`.
    pub fn turnover(&self, time: Duration) -> f64 {
        time.as_secs_f64() * self.throughput() / self.slots()
    }

    /// Current requests: exact with a recent count of the other entries, otherwise estimated. Other
    /// processes' requests are assumed to have grown since the last report like this process's own.
    pub fn estimate(&self, now: clock::Instant, average: Average) -> f64 {
        if let Some(others) = self.total(now) {
            return f64::from(self.own_requests) + f64::from(others.requests);
        }
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

    /// Weight of the last report: 1 if it has just arrived or the load is exact, 0 if there is none.
    pub fn freshness(&self, now: clock::Instant) -> f64 {
        if self.total(now).is_some() {
            return 1.0;
        }
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
