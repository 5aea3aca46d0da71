//! Adaptive concurrency limit of one upstream, by what its answers say.
//!
//! *Pattern.* The concurrency that an upstream bears isn't what was declared: long prompts fill
//! its memory, a neighbour slows its fabric, another entry sends to it as well.
//!
//! *Without it.* Work beyond the knee only waits inside the upstream, where no deadline, class or
//! team counts, until it falls over.
//!
//! *Rule.* Additive increase while answers come at the usual pace and the limit is used;
//! multiplicative decrease, once for each round trip, when the pace falls off, the upstream
//! refuses, or it fails.

use crate::average;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Factor of a decrease: gentler than halving, since the pace of a full batch varies by itself.
pub const DECREASE: f64 = 0.8;

/// Pace, as a multiple of the long-run one, from which the upstream counts as overloaded.
pub const SLOW_FACTOR: f64 = 2.0;

/// Least limit: one request keeps the measurement going.
pub const LEAST: f64 = 1.0;

/// Samples of the long-run pace.
const LONG_SPAN: f64 = 512.0;

/// Samples of the present pace.
const SHORT_SPAN: f64 = 8.0;

/// Samples needed before the pace is judged.
const JUDGED: f64 = 32.0;

/// What an ended attempt says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// It was answered in full.
    Answered,
    /// It was refused for want of room, or the upstream failed it.
    Overloaded,
    /// It says nothing.
    Neutral,
}

/// The limit.
#[derive(Clone, Debug)]
pub struct Limit {
    ceiling: f64,
    limit: f64,
    long: average::Average,
    short: average::Average,
    lowered: clock::Instant,
}

impl Limit {
    /// A limit that starts at and never exceeds `ceiling`.
    pub fn new(ceiling: u32) -> Limit {
        let ceiling = f64::from(ceiling.max(1));
        Limit {
            ceiling,
            limit: ceiling,
            long: average::Average::new(LONG_SPAN),
            short: average::Average::new(SHORT_SPAN),
            lowered: clock::Instant::ORIGIN,
        }
    }

    /// Pieces of work that may be in flight.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes another ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        let was_full = self.limit >= self.ceiling;
        self.ceiling = ceiling;
        self.limit = if was_full { ceiling } else { self.limit.min(ceiling) };
    }

    /// Time for each unit of cost lately; `None` before the first answer.
    pub fn pace(&self) -> Option<f64> {
        self.short.get()
    }

    /// Takes in the end of an attempt that cost `cost`, began at `begun` and shared the upstream
    /// with `in_flight` others of this process.
    pub fn end(
        &mut self,
        now: clock::Instant,
        begun: clock::Instant,
        cost: u32,
        in_flight: u32,
        feedback: Feedback,
    ) {
        match feedback {
            Feedback::Neutral => {}
            Feedback::Overloaded => self.lower(now, begun),
            Feedback::Answered => self.answered(now, begun, cost, in_flight),
        }
    }

    fn answered(&mut self, now: clock::Instant, begun: clock::Instant, cost: u32, in_flight: u32) {
        let elapsed: Duration = now.since(begun);
        let pace = elapsed.as_secs_f64() / f64::from(cost.max(1));
        self.short.add(pace);
        let slow = self.is_slow();
        self.long.add(pace);
        if slow {
            return self.lower(now, begun);
        }
        if f64::from(in_flight + 1) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    fn is_slow(&self) -> bool {
        let usual = self.long.get().filter(|_| self.long.weight() >= JUDGED);
        let present = self.short.get();
        usual.zip(present).is_some_and(|(usual, present)| present > usual * SLOW_FACTOR)
    }

    /// Lowers the limit, unless the attempt began before the last decrease: what it says was
    /// answered by that one.
    fn lower(&mut self, now: clock::Instant, begun: clock::Instant) {
        if begun <= self.lowered {
            return;
        }
        self.limit = (self.limit * DECREASE).max(LEAST);
        self.lowered = now;
    }
}
