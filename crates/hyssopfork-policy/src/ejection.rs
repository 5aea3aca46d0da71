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

use crate::average;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Pace, as a multiple of the peers' median, that is an outlier. Continuous batching alone varies
/// the pace by 2 to 3 between an idle and a full upstream.
pub const SLOW_FACTOR: f64 = 4.0;

/// Failures in a row that are an outlier.
pub const FAILURE_RUN: u32 = 3;

/// Time to a whole answer, for each unit of cost and as a multiple of the peers' median, from which
/// it is overdue. Costs are estimates that may be wrong by two, and a full batch takes twice the
/// time of an empty one. Silence alone says nothing: an upstream that runs one long job is silent
/// for minutes where its answer isn't streamed.
pub const LATE_FACTOR: f64 = 6.0;

/// Time until an answer begins, for each unit of cost and as a multiple of the peers' median, from
/// which it is overdue. A cold upstream takes two to three times as long.
pub const OVERDUE_FACTOR: f64 = 5.0;

/// Least silence that counts: a pause of a garbage collector or a checkpoint is shorter.
pub const SILENCE_LEAST: Duration = Duration::from_millis(500);

/// Share of the upstreams that may be out at once.
pub const MOST: f64 = 0.3;

/// Time of the first ejection.
pub const FIRST: Duration = Duration::from_secs(5);

/// Longest time of an ejection.
pub const LONGEST: Duration = Duration::from_secs(60);

/// Answers over which the pace is averaged.
const PACE_SPAN: f64 = 16.0;

/// Answers needed before the pace is judged.
const JUDGED: f64 = 4.0;

/// Peers needed for a comparison.
const PEERS: usize = 3;

/// What is remembered of one upstream.
#[derive(Clone, Debug)]
pub struct Record {
    pace: average::Average,
    begin: average::Average,
    failures: u32,
    failed: clock::Instant,
    heard: clock::Instant,
    until: Option<clock::Instant>,
    times: u32,
}

impl Record {
    /// An upstream of which nothing is known.
    pub fn new(now: clock::Instant) -> Record {
        Record {
            pace: average::Average::new(PACE_SPAN),
            begin: average::Average::new(PACE_SPAN),
            failures: 0,
            failed: now,
            heard: now,
            until: None,
            times: 0,
        }
    }

    /// Takes in a full answer to work of `cost` after `elapsed`.
    pub fn answered(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.heard = now;
        self.failures = 0;
        self.pace.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
        self.forgive(now);
    }

    /// Takes in that an answer to work of `cost` began after `elapsed`.
    pub fn begun(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) {
        self.heard = now;
        self.begin.add(elapsed.as_secs_f64() / f64::from(cost.max(1)));
    }

    /// Takes in that the upstream failed a piece of work that began at `begun`. Work that had begun
    /// when it last failed one fell to the same cause, a crash perhaps, and counts with it: what a
    /// crashed upstream does next is the ramp's to find out.
    pub fn failed(&mut self, now: clock::Instant, begun: clock::Instant) {
        self.heard = now;
        if self.failures > 0 && begun <= self.failed {
            return;
        }
        self.failures += 1;
        self.failed = now;
    }

    /// Takes in that the upstream said something, or that its first piece of work began.
    pub fn heard(&mut self, now: clock::Instant) {
        self.heard = now;
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, now: clock::Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time for each unit of cost lately.
    pub fn pace(&self) -> Option<f64> {
        self.pace.get().filter(|_| self.pace.weight() >= JUDGED)
    }

    fn eject(&mut self, now: clock::Instant) {
        let term = FIRST.saturating_mul(1 << self.times.min(8)).min(LONGEST);
        let (until, times) = (now + term, self.times + 1);
        *self = Record::new(until);
        self.until = Some(until);
        self.times = times;
    }

    /// Forgets earlier ejections after the upstream has answered well for [`LONGEST`].
    fn forgive(&mut self, now: clock::Instant) {
        if self.until.is_some_and(|until| now >= until + LONGEST) {
            self.until = None;
            self.times = 0;
        }
    }

    fn begin(&self) -> Option<f64> {
        self.begin.get().filter(|_| self.begin.weight() >= JUDGED)
    }

    fn is_outlier(&self, now: clock::Instant, work: Work, usual: &Usual) -> bool {
        if self.failures >= FAILURE_RUN {
            return true;
        }
        if usual.begin.is_some_and(|begin| work.overdue > begin * OVERDUE_FACTOR) {
            return true;
        }
        let slow = usual.pace.zip(self.pace());
        if slow.is_some_and(|(usual, own)| own > usual * SLOW_FACTOR) {
            return true;
        }
        let silent = now.since(self.heard) > SILENCE_LEAST;
        silent && usual.pace.is_some_and(|pace| work.late > pace * LATE_FACTOR)
    }
}

/// What an upstream has in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Longest time of an answer so far, in seconds for each unit of its cost.
    pub late: f64,
    /// Longest wait of an answer that has not begun, in seconds for each unit of its cost; 0 when
    /// none has waited for [`SILENCE_LEAST`].
    pub overdue: f64,
}

struct Usual {
    pace: Option<f64>,
    begin: Option<f64>,
}

/// Median pace of all upstreams that have one; `None` with too few for a comparison.
pub fn median_pace<'a>(records: impl Iterator<Item = &'a Record>) -> Option<f64> {
    median(records.filter_map(Record::pace).collect())
}

/// Ejects the outliers among `records` (each with what is in flight), within the bound on how many
/// may be out. Returns the places of those newly ejected.
pub fn judge(now: clock::Instant, records: &mut [(&mut Record, Work)]) -> Vec<usize> {
    let most = (records.len() as f64 * MOST) as usize;
    let mut out = records.iter().filter(|(record, _)| record.is_ejected(now)).count();
    let usual = usual(records);
    let mut ejected = Vec::new();
    for (index, (record, work)) in records.iter_mut().enumerate() {
        let judged = !record.is_ejected(now) && out < most;
        if judged && record.is_outlier(now, *work, &usual) {
            record.eject(now);
            out += 1;
            ejected.push(index);
        }
    }
    ejected
}

fn usual(records: &[(&mut Record, Work)]) -> Usual {
    let paces = records.iter().filter_map(|(record, _)| record.pace()).collect();
    let begins = records.iter().filter_map(|(record, _)| record.begin()).collect();
    Usual { pace: median(paces), begin: median(begins) }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.len() < PEERS {
        return None;
    }
    values.sort_unstable_by(f64::total_cmp);
    Some(values[values.len() / 2])
}
