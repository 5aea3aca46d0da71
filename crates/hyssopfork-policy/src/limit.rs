//! Adaptive concurrency limit of one upstream (AIMD), driven by response times and failures.
//!
//! An upstream's real concurrency differs from the declared one: long prompts fill its memory, a
//! neighbour slows its fabric, another entry process sends to it as well. Requests beyond the knee
//! only wait inside the upstream, where no deadline, class or team counts, until it crashes.
//!
//! Additive increase while responses take the usual time and the limit is used; multiplicative
//! decrease, once per round trip, when responses slow down, the upstream rejects, or it fails.

use crate::ewma;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Factor of a decrease: gentler than halving, because the response times of a full batch vary by
/// themselves.
pub const DECREASE_FACTOR: f64 = 0.8;

/// Time per token, as a multiple of the long-term average, from which the upstream counts as
/// overloaded.
pub const SLOW_FACTOR: f64 = 2.0;

/// Smallest limit: one request keeps the measurement going.
pub const MIN_LIMIT: f64 = 1.0;

/// Samples of the long-term latency average.
const LONG_TERM_SPAN: f64 = 512.0;

/// Samples of the short-term latency average.
const SHORT_TERM_SPAN: f64 = 8.0;

/// Samples needed before latencies are compared.
const MIN_SAMPLES: f64 = 32.0;

/// What the outcome of an attempt says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feedback {
    /// The response was complete.
    Completed,
    /// It was rejected for lack of capacity, or the upstream failed it.
    Overloaded,
    /// The outcome says nothing about the load.
    Neutral,
}

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Limit {
    ceiling: f64,
    limit: f64,
    long_term_latency: ewma::Ewma,
    short_term_latency: ewma::Ewma,
    last_decrease_at: clock::Instant,
}

impl Limit {
    /// A limit that starts at `ceiling` and never exceeds it.
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

    /// Requests that may be in flight.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Changes the ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        let was_full = self.limit >= self.ceiling;
        self.ceiling = ceiling;
        self.limit = if was_full { ceiling } else { self.limit.min(ceiling) };
    }

    /// Recent time per token of cost, in seconds; `None` before the first response.
    pub fn token_latency(&self) -> Option<f64> {
        self.short_term_latency.mean()
    }

    /// Records the end of an attempt of `cost` that was sent at `sent_at`, with `in_flight` others
    /// of this process on the upstream.
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

    /// Decreases the limit, unless the attempt was sent before the last decrease, which has already
    /// accounted for it.
    fn decrease(&mut self, now: clock::Instant, sent_at: clock::Instant) {
        if sent_at <= self.last_decrease_at {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        self.last_decrease_at = now;
    }
}
