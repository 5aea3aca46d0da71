//! How many requests an upstream may have so that the next one is still answered in time.
//!
//! *Pattern.* More work than the groups that are left can take: for seconds after a loss, for longer
//! while a zone is out. How many requests at once are too many depends on their prompts, on the
//! model and on the engine's pace, and no engine says it.
//!
//! *Without it.* Every request waits for a slot a little longer than its objective, and all are
//! late: with four groups of six left, the first event came after 0.4 s to 1.2 s for an objective of
//! 0.3 s, where an engine with a tenth fewer requests needs 0.2 s.
//!
//! *Rule.* The limit falls with each answer that begins later than [`LATE`] of the objective, and
//! rises with each that begins sooner. Refused at once, a caller comes back when others have ended;
//! held, it makes the others late.

use std::time::Duration;

/// Part of the objective from which an answer counts as nearly late.
const LATE_RATIO: f64 = 1.0;

/// Factor of a decrease. An entry sees a few answers of an upstream a second, so that an overload
/// shows in the limit within a second or two.
const DECREASE_FACTOR: f64 = 0.94;

/// Addition of an increase, in parts of the slots: at the balance about one answer in five is nearly
/// late.
const INCREASE_RATIO: f64 = 0.015;

/// Part of the limit from which a late answer is put down to it.
const FULL_RATIO: f64 = 0.5;

/// Least limit, in parts of the slots.
const MIN_LIMIT_RATIO: f64 = 0.35;

/// Highest limit, in parts of the slots: some requests may wait while others end.
const MAX_LIMIT_RATIO: f64 = 1.1;

/// The limit of one upstream, as one process sees it; it counts everybody's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    slots: f64,
    limit: f64,
}

impl Limit {
    /// The limit of an upstream of so many slots, before any answer.
    pub fn new(slots: u32) -> Limit {
        let slots = f64::from(slots.max(1));
        Limit { slots, limit: slots }
    }

    /// Requests that the upstream may have.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Takes in that an answer began after `first`, where `objective` was wanted, of a request that
    /// was sent when the upstream was believed to have `load` requests.
    pub fn on_response(&mut self, time_to_first_byte: Duration, objective: Duration, load: f64) {
        let late = time_to_first_byte.as_secs_f64() > objective.as_secs_f64() * LATE_RATIO;
        let next = if late {
            // Of an upstream that was far from full, the limit is not what made it late.
            let full = load >= self.limit * FULL_RATIO;
            if full { self.limit * DECREASE_FACTOR } else { self.limit }
        } else {
            self.limit + self.slots * INCREASE_RATIO
        };
        let least = (self.slots * MIN_LIMIT_RATIO).max(1.0);
        self.limit = next.clamp(least, (self.slots * MAX_LIMIT_RATIO).max(self.slots + 1.0));
    }
}
