//! Drain rate: how fast a queue is served, measured while somebody waits in it.
//!
//! The rate at which work leaves a queue says what the upstreams can do only while the queue is
//! never empty; else it says how much arrives. So only busy time counts. Before any was seen,
//! Little's law over completed work stands in: room times cost over time in service.

use crate::average;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Least time over which the rate forgets: short enough that a lost zone shows in the estimates
/// within its length.
pub const MEMORY: Duration = Duration::from_secs(2);

/// Longest time over which the rate forgets.
const MEMORY_MOST: Duration = Duration::from_secs(60);

/// Pieces of work that the rate rests on, where [`MEMORY_MOST`] allows: a lane of few long jobs
/// remembers longer.
const PIECES: f64 = 8.0;

/// Pieces of work needed before the measured rate is trusted. Fewer say more of a single wait than
/// of the rate: a status check that waited for 300 ms had the next ones refused.
const PIECES_LEAST: f64 = 4.0;

/// Busy time needed before the measured rate is trusted.
const BUSY_LEAST: f64 = 0.3;

/// Samples of completed work in the stand-in.
const SERVICE_SPAN: f64 = 128.0;

/// Rate of one queue, in tokens of cost a second.
#[derive(Clone, Debug)]
pub struct Drain {
    cost: f64,
    pieces: f64,
    busy: f64,
    backlogged: bool,
    last: clock::Instant,
    service: average::Average,
    served: average::Average,
}

impl Default for Drain {
    fn default() -> Self {
        Drain {
            cost: 0.0,
            pieces: 0.0,
            busy: 0.0,
            backlogged: false,
            last: clock::Instant::ORIGIN,
            service: average::Average::new(SERVICE_SPAN),
            served: average::Average::new(SERVICE_SPAN),
        }
    }
}

impl Drain {
    /// Counts work that leaves the queue to be served.
    pub fn started(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        if self.backlogged {
            self.cost += f64::from(cost);
            self.pieces += 1.0;
        }
    }

    /// Takes back work that left the queue and was refused before any of it ran: counted once more
    /// with each refusal, it would make a full pool look fast and admission let everybody in.
    pub fn returned(&mut self, now: clock::Instant, cost: u32) {
        self.advance(now);
        self.cost = (self.cost - f64::from(cost)).max(0.0);
        self.pieces = (self.pieces - 1.0).max(0.0);
    }

    /// Says whether somebody waits from now on.
    pub fn mark(&mut self, now: clock::Instant, backlogged: bool) {
        self.advance(now);
        self.backlogged = backlogged;
    }

    /// Takes in completed work, for the stand-in.
    pub fn completed(&mut self, cost: u32, elapsed: Duration) {
        self.served.add(f64::from(cost));
        self.service.add(elapsed.as_secs_f64());
    }

    /// Whether enough busy time was seen for a measured rate.
    pub fn is_measured(&self) -> bool {
        self.busy >= BUSY_LEAST && self.pieces >= PIECES_LEAST && self.cost > 0.0
    }

    /// Tokens of cost a second with `room` pieces of work at once; `None` while nothing is known.
    pub fn rate(&self, room: u32) -> Option<f64> {
        if self.is_measured() {
            return Some(self.cost / self.busy);
        }
        let service = self.service.get().filter(|service| *service > 0.0)?;
        Some(f64::from(room) * self.served.get()? / service)
    }

    /// Time to serve `cost` at the rate; `None` while nothing is known.
    pub fn time(&self, cost: u64, room: u32) -> Option<Duration> {
        let rate = self.rate(room).filter(|rate| *rate > 0.0)?;
        let seconds = (cost as f64 / rate).min(LONGEST.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Seconds over which the rate forgets now.
    fn memory(&self) -> f64 {
        let wanted = PIECES * self.busy / self.pieces.max(1.0);
        wanted.clamp(MEMORY.as_secs_f64(), MEMORY_MOST.as_secs_f64())
    }

    fn advance(&mut self, now: clock::Instant) {
        let passed = now.since(self.last).as_secs_f64();
        self.last = now;
        if !self.backlogged {
            return;
        }
        let kept = (-passed / self.memory()).exp();
        self.cost *= kept;
        self.pieces *= kept;
        self.busy = self.busy * kept + passed;
    }
}

/// Longest time that an estimate names.
pub const LONGEST: Duration = Duration::from_secs(3_600);
