//! Outlier ejection: an upstream that performs much worse than its peers gets no requests for a
//! while.
//!
//! If one upstream in thirty is ten times slower, hangs, or fails every request at once, the others
//! suffer too: one that fails fast is always free and so attracts most of the requests; one that
//! hangs holds each request until its deadline.
//!
//! An upstream is compared with its peers. It is an outlier if its time per token is
//! [`SLOW_FACTOR`] times their median, after [`CONSECUTIVE_FAILURES`] failures, if the start of a
//! response is overdue, or if it is silent while the end of a response is overdue. The ejection
//! time doubles with each repetition, and the upstream returns by slow start. At most
//! [`MAX_EJECTED_SHARE`] of the upstreams are ejected at once: beyond that the fault is common to
//! all, and ejection would only reduce capacity.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Time per token, as a multiple of the peers' median, from which an upstream is an outlier.
/// Continuous batching alone varies it by 2 to 3 between an idle and a full upstream.
pub const SLOW_FACTOR: f64 = 4.0;

/// Consecutive failures from which an upstream is an outlier.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Time to the end of a response per token, as a multiple of the peers' median, from which the end
/// is overdue. Costs are estimates that may be wrong by a factor of two, and a full batch takes
/// twice the time of an empty one. Silence alone is no sign of a fault: an upstream that runs one
/// long job is silent for minutes if its response isn't streamed.
pub const LATE_END_FACTOR: f64 = 6.0;

/// Time to the start of a response per token, as a multiple of the peers' median, from which the
/// start is overdue. A cold upstream takes two to three times as long.
pub const LATE_START_FACTOR: f64 = 5.0;

/// Shortest silence that counts: a garbage collection or checkpoint pause is shorter.
pub const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Largest share of the upstreams that may be ejected at once.
pub const MAX_EJECTED_SHARE: f64 = 0.3;

/// Duration of the first ejection.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Longest ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Responses over which latencies are averaged.
const LATENCY_SPAN: f64 = 16.0;

/// Responses needed before a latency is compared.
const MIN_SAMPLES: f64 = 4.0;

/// Upstreams with data needed for a comparison.
const MIN_PEERS: usize = 3;

/// Health record of one upstream.
#[derive(Clone, Debug)]
pub struct Record {
    token_latency: ewma::Ewma,
    start_latency: ewma::Ewma,
    consecutive_failures: u32,
    last_failure_at: clock::Instant,
    last_heard_at: clock::Instant,
    ejected_until: Option<clock::Instant>,
    ejections: u32,
}

impl Record {
    /// An upstream without any history.
    pub fn new(now: clock::Instant) -> Record {
        Record {
            token_latency: ewma::Ewma::new(LATENCY_SPAN),
            start_latency: ewma::Ewma::new(LATENCY_SPAN),
            consecutive_failures: 0,
            last_failure_at: now,
            last_heard_at: now,
            ejected_until: None,
            ejections: 0,
        }
    }

    /// Records a complete response to a request of `cost` after `elapsed`.
    pub fn on_completion(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.last_heard_at = now;
        self.consecutive_failures = 0;
        self.token_latency.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
        self.reset_ejections(now);
    }

    /// Records that the response to a request of `cost` started after `elapsed`.
    pub fn on_response_started(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.last_heard_at = now;
        self.start_latency.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
    }

    /// Records the failure of a request sent at `sent_at`. A request sent before the last failure
    /// is taken to have failed by the same cause, such as a crash, and is not counted again: slow
    /// start handles what a crashed upstream does next.
    pub fn on_failure(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        self.last_heard_at = now;
        if self.consecutive_failures > 0 && sent_at <= self.last_failure_at {
            return;
        }
        self.consecutive_failures += 1;
        self.last_failure_at = now;
    }

    /// Records a sign of life, or that the first request to an idle upstream was sent.
    pub fn on_activity(&mut self, now: clock::Instant) {
        self.last_heard_at = now;
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, now: clock::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Recent time per token of cost, in seconds.
    pub fn token_latency(&self) -> Option<f64> {
        self.token_latency.mean().filter(|_| self.token_latency.sample_count() >= MIN_SAMPLES)
    }

    fn eject(&mut self, now: clock::Instant) {
        let duration =
            BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION_TIME);
        let (ejected_until, ejections) = (now + duration, self.ejections + 1);
        *self = Record::new(ejected_until);
        self.ejected_until = Some(ejected_until);
        self.ejections = ejections;
    }

    /// Resets the ejection count after [`MAX_EJECTION_TIME`] of successful responses.
    fn reset_ejections(&mut self, now: clock::Instant) {
        if self.ejected_until.is_some_and(|until| now >= until + MAX_EJECTION_TIME) {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    fn start_latency(&self) -> Option<f64> {
        self.start_latency.mean().filter(|_| self.start_latency.sample_count() >= MIN_SAMPLES)
    }

    fn is_outlier(&self, now: clock::Instant, ages: Ages, medians: &Medians) -> bool {
        if self.consecutive_failures >= CONSECUTIVE_FAILURES {
            return true;
        }
        if medians.start_latency.is_some_and(|median| ages.start_wait > median * LATE_START_FACTOR)
        {
            return true;
        }
        let latencies = medians.token_latency.zip(self.token_latency());
        if latencies.is_some_and(|(median, own)| own > median * SLOW_FACTOR) {
            return true;
        }
        let is_silent = now.since(self.last_heard_at) > MIN_SILENCE;
        is_silent
            && medians.token_latency.is_some_and(|median| ages.response > median * LATE_END_FACTOR)
    }
}

/// Ages of the requests that an upstream has in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ages {
    /// Longest time since a request was sent, in seconds per token of its cost.
    pub response: f64,
    /// Longest wait for the start of a response, in seconds per token of its cost; 0 if none has
    /// waited for [`MIN_SILENCE`].
    pub start_wait: f64,
}

struct Medians {
    token_latency: Option<f64>,
    start_latency: Option<f64>,
}

/// Median time per token of the upstreams with data; `None` if they are too few for a comparison.
pub fn median_token_latency<'a>(records: impl Iterator<Item = &'a Record>) -> Option<f64> {
    median(records.filter_map(Record::token_latency).collect())
}

/// Ejects the outliers among `records` (each with the ages of its requests in flight), up to the
/// largest share that may be ejected. Returns the indices of the newly ejected.
pub fn eject_outliers(now: clock::Instant, records: &mut [(&mut Record, Ages)]) -> Vec<usize> {
    let max_ejected = (records.len() as f64 * MAX_EJECTED_SHARE) as usize;
    let mut ejected_count = records.iter().filter(|(record, _)| record.is_ejected(now)).count();
    let medians = peer_medians(records);
    let mut ejected = Vec::new();
    for (index, (record, ages)) in records.iter_mut().enumerate() {
        let is_eligible = !record.is_ejected(now) && ejected_count < max_ejected;
        if is_eligible && record.is_outlier(now, *ages, &medians) {
            record.eject(now);
            ejected_count += 1;
            ejected.push(index);
        }
    }
    ejected
}

fn peer_medians(records: &[(&mut Record, Ages)]) -> Medians {
    let token_latencies = records.iter().filter_map(|(record, _)| record.token_latency()).collect();
    let start_latencies = records.iter().filter_map(|(record, _)| record.start_latency()).collect();
    Medians { token_latency: median(token_latencies), start_latency: median(start_latencies) }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < MIN_PEERS {
        return None;
    }
    values.sort_unstable_by(f64::total_cmp);
    Some(values[values.len() / 2])
}
