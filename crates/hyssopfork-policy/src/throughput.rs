//! Throughput of a queue: the rate at which it is served while requests wait in it.
//!
//! The rate at which requests leave a queue shows the upstreams' capacity only while the queue is
//! never empty; otherwise it shows the arrival rate. So only busy time counts. Before there is any,
//! Little's law over completed requests serves as the estimate: slots times cost over service time.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Shortest time constant of the decay: short enough that the estimates show the loss of a zone
/// within that time.
pub const MIN_DECAY: Duration = Duration::from_secs(2);

/// Longest time constant of the decay.
const MAX_DECAY: Duration = Duration::from_secs(60);

/// Started requests that the rate should cover, if [`MAX_DECAY`] allows: a lane with few long jobs
/// has a longer decay.
const DECAY_STARTS: f64 = 8.0;

/// Started requests needed before the measured rate is used. Fewer reflect single waits and not the
/// rate: a status check that had waited for 300 ms caused the next ones to be rejected.
const MIN_STARTS: f64 = 4.0;

/// Busy time needed before the measured rate is used, in seconds.
const MIN_BUSY_SECONDS: f64 = 0.3;

/// Completed requests over which the estimate by Little's law is averaged.
const FALLBACK_SPAN: f64 = 128.0;

/// Throughput of one queue, in tokens of cost per second.
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
    /// Counts a request that leaves the queue to be served.
    pub fn on_start(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        if self.is_backlogged {
            self.cost += f64::from(cost);
            self.starts += 1.0;
        }
    }

    /// Reverts the start of a request that was rejected before any of it ran: if each rejected
    /// attempt counted, a full pool would look fast and admission control would accept every
    /// request.
    pub fn on_requeue(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        self.cost = (self.cost - f64::from(cost)).max(0.0);
        self.starts = (self.starts - 1.0).max(0.0);
    }

    /// Sets whether requests wait from now on.
    pub fn set_backlogged(&mut self, now: clock::Instant, backlogged: bool) {
        self.advance(now);
        self.is_backlogged = backlogged;
    }

    /// Records a completed request, for the estimate by Little's law.
    pub fn on_completion(&mut self, cost: u32, elapsed: Duration) {
        self.completed_cost.add(f64::from(cost));
        self.service_time.add(elapsed.as_secs_f64());
    }

    /// Whether there was enough busy time for a measured rate.
    pub fn is_measured(&self) -> bool {
        self.busy_seconds >= MIN_BUSY_SECONDS && self.starts >= MIN_STARTS && self.cost > 0.0
    }

    /// Tokens of cost per second with `slots` concurrent requests; `None` while there is no data.
    pub fn rate(&self, slots: u32) -> Option<f64> {
        if self.is_measured() {
            return Some(self.cost / self.busy_seconds);
        }
        let service_time = self.service_time.mean().filter(|seconds| *seconds > 0.0)?;
        Some(f64::from(slots) * self.completed_cost.mean()? / service_time)
    }

    /// Time to serve `cost` at the current rate; `None` while there is no data.
    pub fn time_to_serve(&self, cost: u64, slots: u32) -> Option<Duration> {
        let rate = self.rate(slots).filter(|rate| *rate > 0.0)?;
        let seconds = (cost as f64 / rate).min(MAX_ESTIMATE.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Current time constant of the decay, in seconds.
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
