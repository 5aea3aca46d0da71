//! Ejection: upstreams that do worse than their peers get no work for a while.
//!
//! *Pattern.* One upstream in thirty is ten times slower, hangs, or fails every request at once.
//!
//! *Without it.* The one that fails fast is always free and so draws most of the work; the one
//! that hangs holds each request until its deadline.
//!
//! *Rule.* An upstream is judged against its peers: a pace of [`SLOW_FACTOR`] times their median,
//! a run of [`FAILURE_RUN`] failures, an answer that is overdue to begin, or silence while one is
//! overdue to end. It is
//! ejected for a time that doubles with each repetition, and returns through the ramp. At most
//! [`MOST`] of the upstreams are out: beyond that the fault is common to all, and ejection would
//! only take capacity away.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Pace, as a multiple of the peers' median, that is an outlier. Continuous batching alone varies
/// the pace by 2 to 3 between an idle and a full upstream.
pub const SLOW_FACTOR: f64 = 4.0;

/// Failures in a row that are an outlier.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Time to a whole answer, for each unit of cost and as a multiple of the peers' median, from which
/// it is overdue. Costs are estimates that may be wrong by two, and a full batch takes twice the
/// time of an empty one. Silence alone says nothing: an upstream that runs one long job is silent
/// for minutes where its answer isn't streamed.
pub const LATE_END_FACTOR: f64 = 6.0;

/// Time until an answer begins, for each unit of cost and as a multiple of the peers' median, from
/// which it is overdue. A cold upstream takes two to three times as long.
pub const LATE_START_FACTOR: f64 = 5.0;

/// Least silence that counts: a pause of a garbage collector or a checkpoint is shorter.
pub const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Share of the upstreams that may be out at once.
pub const MAX_EJECTED_SHARE: f64 = 0.3;

/// Time of the first ejection.
pub const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Longest time of an ejection.
pub const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Answers over which the pace is averaged.
const LATENCY_SPAN: f64 = 16.0;

/// Answers needed before the pace is judged.
const MIN_SAMPLES: f64 = 4.0;

/// Peers needed for a comparison.
const MIN_PEERS: usize = 3;

/// What is remembered of one upstream.
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
    /// An upstream of which nothing is known.
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

    /// Takes in a full answer to work of `cost` after `elapsed`.
    pub fn on_completion(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.last_heard_at = now;
        self.consecutive_failures = 0;
        self.token_latency.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
        self.reset_ejections(now);
    }

    /// Takes in that an answer to work of `cost` began after `elapsed`.
    pub fn on_response_started(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.last_heard_at = now;
        self.start_latency.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
    }

    /// Takes in that the upstream failed a piece of work that began at `begun`. Work that had begun
    /// when it last failed one fell to the same cause, a crash perhaps, and counts with it: what a
    /// crashed upstream does next is the ramp's to find out.
    pub fn on_failure(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        self.last_heard_at = now;
        if self.consecutive_failures > 0 && sent_at <= self.last_failure_at {
            return;
        }
        self.consecutive_failures += 1;
        self.last_failure_at = now;
    }

    /// Takes in that the upstream said something, or that its first piece of work began.
    pub fn on_activity(&mut self, now: clock::Instant) {
        self.last_heard_at = now;
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, now: clock::Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Time for each unit of cost lately.
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

    /// Forgets earlier ejections after the upstream has answered well for [`LONGEST`].
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

/// What an upstream has in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ages {
    /// Longest time of an answer so far, in seconds for each unit of its cost.
    pub response: f64,
    /// Longest wait of an answer that has not begun, in seconds for each unit of its cost; 0 when
    /// none has waited for [`SILENCE_LEAST`].
    pub start_wait: f64,
}

struct Medians {
    token_latency: Option<f64>,
    start_latency: Option<f64>,
}

/// Median pace of all upstreams that have one; `None` with too few for a comparison.
pub fn median_token_latency<'a>(records: impl Iterator<Item = &'a Record>) -> Option<f64> {
    median(records.filter_map(Record::token_latency).collect())
}

/// Ejects the outliers among `records` (each with what is in flight), within the bound on how many
/// may be out. Returns the places of those newly ejected.
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
