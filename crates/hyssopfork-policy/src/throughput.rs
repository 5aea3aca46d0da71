//! Drain rate: how fast a queue is served, measured while somebody waits in it.
//!
//! The rate at which work leaves a queue says what the upstreams can do only while the queue is
//! never empty; else it says how much arrives. So only busy time counts. Before any was seen,
//! Little's law over completed work stands in: room times cost over time in service.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Least time over which the rate forgets: short enough that a lost zone shows in the estimates
/// within its length.
pub const MIN_DECAY: Duration = Duration::from_secs(2);

/// Longest time over which the rate forgets.
const MAX_DECAY: Duration = Duration::from_secs(60);

/// Pieces of work that the rate rests on, where [`MEMORY_MOST`] allows: a lane of few long jobs
/// remembers longer.
const DECAY_STARTS: f64 = 8.0;

/// Pieces of work needed before the measured rate is trusted. Fewer say more of a single wait than
/// of the rate: a status check that waited for 300 ms had the next ones refused.
const MIN_STARTS: f64 = 4.0;

/// Busy time needed before the measured rate is trusted.
const MIN_BUSY_SECONDS: f64 = 0.3;

/// Samples of completed work in the stand-in.
const FALLBACK_SPAN: f64 = 128.0;

/// Rate of one queue, in tokens of cost a second.
#[derive(Clone, Debug)]
pub struct Throughput {
    cost: f64,
    starts: f64,
    busy_seconds: f64,
    is_backlogged: bool,
    updated_at: clock::Instant,
    service_time: ewma::Ewma,
    completed_cost: ewma::Ewma,
}

impl Default for Throughput {
    fn default() -> Self {
        Throughput {
            cost: 0.0,
            starts: 0.0,
            busy_seconds: 0.0,
            is_backlogged: false,
            updated_at: clock::Instant::ORIGIN,
            service_time: ewma::Ewma::new(FALLBACK_SPAN),
            completed_cost: ewma::Ewma::new(FALLBACK_SPAN),
        }
    }
}

impl Throughput {
    /// Counts work that leaves the queue to be served.
    pub fn on_start(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        if self.is_backlogged {
            self.cost += f64::from(cost);
            self.starts += 1.0;
        }
    }

    /// Takes back work that left the queue and was refused before any of it ran: counted once more
    /// with each refusal, it would make a full pool look fast and admission let everybody in.
    pub fn on_requeue(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        self.cost = (self.cost - f64::from(cost)).max(0.0);
        self.starts = (self.starts - 1.0).max(0.0);
    }

    /// Says whether somebody waits from now on.
    pub fn set_backlogged(&mut self, now: clock::Instant, backlogged: bool) {
        self.advance(now);
        self.is_backlogged = backlogged;
    }

    /// Takes in completed work, for the stand-in.
    pub fn on_completion(&mut self, cost: u32, elapsed: Duration) {
        self.completed_cost.add(f64::from(cost));
        self.service_time.add(elapsed.as_secs_f64());
    }

    /// Whether enough busy time was seen for a measured rate.
    pub fn is_measured(&self) -> bool {
        self.busy_seconds >= MIN_BUSY_SECONDS && self.starts >= MIN_STARTS && self.cost > 0.0
    }

    /// Tokens of cost a second with `room` pieces of work at once; `None` while nothing is known.
    pub fn rate(&self, slots: u32) -> Option<f64> {
        if self.is_measured() {
            return Some(self.cost / self.busy_seconds);
        }
        let service_time = self.service_time.mean().filter(|seconds| *seconds > 0.0)?;
        Some(f64::from(slots) * self.completed_cost.mean()? / service_time)
    }

    /// Time to serve `cost` at the rate; `None` while nothing is known.
    pub fn time_to_serve(&self, cost: u64, slots: u32) -> Option<Duration> {
        let rate = self.rate(slots).filter(|rate| *rate > 0.0)?;
        let seconds = (cost as f64 / rate).min(MAX_ESTIMATE.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Seconds over which the rate forgets now.
    fn decay_seconds(&self) -> f64 {
        let seconds = DECAY_STARTS * self.busy_seconds / self.starts.max(1.0);
        seconds.clamp(MIN_DECAY.as_secs_f64(), MAX_DECAY.as_secs_f64())
    }

    fn advance(&mut self, now: clock::Instant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if !self.is_backlogged {
            return;
        }
        let kept = (-elapsed / self.decay_seconds()).exp();
        self.cost *= kept;
        self.starts *= kept;
        self.busy_seconds = self.busy_seconds * kept + elapsed;
    }
}

/// Longest estimated time to serve.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(3_600);
