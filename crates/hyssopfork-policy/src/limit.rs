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

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Factor of a decrease: gentler than halving, since the pace of a full batch varies by itself.
pub const DECREASE_FACTOR: f64 = 0.8;

/// Pace, as a multiple of the long-run one, from which the upstream counts as overloaded.
pub const SLOW_FACTOR: f64 = 2.0;

/// Least limit: one request keeps the measurement going.
pub const MIN_LIMIT: f64 = 1.0;

/// Samples of the long-run pace.
const LONG_TERM_SPAN: f64 = 512.0;

/// Samples of the present pace.
const SHORT_TERM_SPAN: f64 = 8.0;

/// Samples needed before the pace is judged.
const MIN_SAMPLES: f64 = 32.0;

/// What an ended attempt says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// It was answered in full.
    Completed,
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
    long_term_latency: ewma::Ewma,
    short_term_latency: ewma::Ewma,
    last_decrease_at: clock::Instant,
}

impl Limit {
    /// A limit that starts at and never exceeds `ceiling`.
    pub fn new(ceiling: u32) -> Limit {
        let ceiling = f64::from(ceiling.max(1));
        Limit {
            ceiling,
            limit: ceiling,
            long_term_latency: ewma::Ewma::new(LONG_TERM_SPAN),
            short_term_latency: ewma::Ewma::new(SHORT_TERM_SPAN),
            last_decrease_at: clock::Instant::ORIGIN,
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
    pub fn token_latency(&self) -> Option<f64> {
        self.short_term_latency.mean()
    }

    /// Takes in the end of an attempt that cost `cost`, began at `begun` and shared the upstream
    /// with `in_flight` others of this process.
    pub fn on_attempt_ended(
        &mut self,
        now: clock::Instant,
        sent_at: clock::Instant,
        cost: u32,
        in_flight: u32,
        feedback: Feedback,
    ) {
        match feedback {
            Feedback::Neutral => {}
            Feedback::Overloaded => self.decrease(now, sent_at),
            Feedback::Completed => self.on_completion(now, sent_at, cost, in_flight),
        }
    }

    fn on_completion(
        &mut self,
        now: clock::Instant,
        sent_at: clock::Instant,
        cost: u32,
        in_flight: u32,
    ) {
        let elapsed: Duration = now.since(sent_at);
        let latency = elapsed.as_secs_f64() / f64::from(cost.max(1));
        self.short_term_latency.add(latency);
        let is_slow = self.is_slow();
        self.long_term_latency.add(latency);
        if is_slow {
            return self.decrease(now, sent_at);
        }
        if f64::from(in_flight + 1) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    fn is_slow(&self) -> bool {
        let long_term = self
            .long_term_latency
            .mean()
            .filter(|_| self.long_term_latency.sample_count() >= MIN_SAMPLES);
        let short_term = self.short_term_latency.mean();
        long_term
            .zip(short_term)
            .is_some_and(|(long_term, short_term)| short_term > long_term * SLOW_FACTOR)
    }

    /// Lowers the limit, unless the attempt began before the last decrease: what it says was
    /// answered by that one.
    fn decrease(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        if sent_at <= self.last_decrease_at {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.last_decrease_at = now;
    }
}
