//! Cold start: how much work an upstream may bear while it warms up.
//!
//! *Pattern.* An upstream that has just started (or restarted without a word) has empty caches,
//! unbuilt graphs and unmapped memory: it bears a little load, slowly, and falls over under full
//! load. It never gets warm if it is tipped over each time.
//!
//! *Without it.* Thirty instances that return together take their full share at once, all time
//! out, are restarted, and do so again.
//!
//! *Rule.* A limit on concurrent work that grows only by work that the upstream completed, from
//! [`INITIAL`] to full. Time alone never grows it. The upstream is cold again on a new
//! incarnation, on a run of failures, or when work takes as long as on a cold one.

use hyssopfork_wire::clock;
use std::time::Duration;

use crate::average;

/// Concurrent work that any cold upstream is trusted with: the least that makes progress and
/// still completes when one request hangs.
pub const INITIAL: u32 = 2;

/// Pieces of work that must complete before the limit grows at all. Each that completes shows that
/// it was borne among at most [`INITIAL`], not that one more would be: an engine builds what it
/// needs for a size of batch at its first use, and that is when it falls over. Two rounds at the
/// first limit show that it bears that much. Four were tried: in the scenario of silent cold turns
/// they cost 0.1 % of the answers and tipped nothing less over.
pub const HOLD: u32 = 2 * INITIAL;

/// Growth of the limit with each completed piece of work. At 0.5 the limit grows by half each time
/// that as much work as the limit has completed, so a wrong step overshoots what the upstream has
/// shown by at most half.
pub const GROWTH: f64 = 0.5;

/// Work in a row that fails before the upstream counts as cold again: one or two failures are the
/// request's fault more often than the upstream's.
pub const FAILURE_RUN: u32 = 3;

/// Time for each unit of cost, as a multiple of the warm one, that counts as cold. Batching to the
/// full alone slows a warm engine by 2 to 3; a cold one is slower by 10 and more.
pub const COLD_FACTOR: f64 = 5.0;

/// Slow pieces of work in a row before the upstream counts as cold again.
pub const SLOW_RUN: u32 = 4;

/// Samples over which the warm pace is averaged.
const PACE_SPAN: f64 = 256.0;

/// Samples of warm pace needed before slowness is judged.
const PACE_LEAST: f64 = 16.0;

/// What a piece of work that ended says of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was completed.
    Completed,
    /// The upstream failed it or did not answer.
    Failed,
    /// It ended for a reason that says nothing of the upstream (cancelled, caller gone).
    Neutral,
}

/// Limit of one upstream.
#[derive(Clone, Debug)]
pub struct Ramp {
    full: u32,
    limit: f64,
    completed: u32,
    incarnation: Option<String>,
    failures: u32,
    slow: u32,
    pace: average::Average,
    cold_since: clock::Instant,
}

impl Ramp {
    /// A cold upstream that bears `full` pieces of work at once when warm.
    pub fn new(now: clock::Instant, full: u32) -> Ramp {
        let full = full.max(1);
        Ramp {
            full,
            limit: f64::from(INITIAL.min(full)),
            completed: 0,
            incarnation: None,
            failures: 0,
            slow: 0,
            pace: average::Average::new(PACE_SPAN),
            cold_since: now,
        }
    }

    /// Pieces of work that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit is full.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.full
    }

    /// When the upstream last turned cold.
    pub fn cold_since(&self) -> clock::Instant {
        self.cold_since
    }

    /// Takes another figure for what the upstream bears when warm.
    pub fn set_full(&mut self, full: u32) {
        self.full = full.max(1);
        self.limit = self.limit.min(f64::from(self.full));
    }

    /// Back to cold, whatever the reason.
    pub fn cool(&mut self, now: clock::Instant) {
        self.limit = f64::from(INITIAL.min(self.full));
        self.completed = 0;
        self.failures = 0;
        self.slow = 0;
        self.cold_since = now;
    }

    /// Takes the incarnation that the back end reports: another than the last means a new process,
    /// which is cold. Returns whether it turned cold.
    pub fn incarnation(&mut self, now: clock::Instant, incarnation: &str) -> bool {
        let changed = self.incarnation.as_deref().is_some_and(|last| last != incarnation);
        self.incarnation = Some(incarnation.to_owned());
        if changed {
            self.cool(now);
        }
        changed
    }

    /// Takes in the end of a piece of work that cost `cost` and began at `begun`. Returns whether
    /// the upstream turned cold by it.
    ///
    /// Work that began before the upstream last turned cold says nothing of how it bears load now.
    pub fn end(
        &mut self,
        now: clock::Instant,
        begun: clock::Instant,
        cost: u32,
        outcome: Outcome,
    ) -> bool {
        if begun < self.cold_since {
            return false;
        }
        match outcome {
            Outcome::Neutral => false,
            Outcome::Failed => self.failed(now),
            Outcome::Completed => self.completed(now, now.since(begun), cost),
        }
    }

    fn failed(&mut self, now: clock::Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURE_RUN {
            return false;
        }
        self.cool(now);
        true
    }

    fn completed(&mut self, now: clock::Instant, elapsed: Duration, cost: u32) -> bool {
        self.failures = 0;
        let pace = elapsed.as_secs_f64() / f64::from(cost.max(1));
        if self.is_slow(pace) {
            self.slow += 1;
            if self.slow < SLOW_RUN {
                return false;
            }
            self.cool(now);
            return true;
        }
        self.slow = 0;
        if self.is_warm() {
            self.pace.add(pace);
        }
        self.completed = self.completed.saturating_add(1);
        if self.completed > HOLD {
            self.limit = (self.limit + GROWTH).min(f64::from(self.full));
        }
        false
    }

    fn is_slow(&self, pace: f64) -> bool {
        let judged = self.is_warm() && self.pace.weight() >= PACE_LEAST;
        judged && self.pace.get().is_some_and(|warm| pace > warm * COLD_FACTOR)
    }
}
