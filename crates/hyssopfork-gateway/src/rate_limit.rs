//! Rate limit that an upstream names for the whole fleet.

use hyssopfork_fleet::rate;
use hyssopfork_wire::clock;
use std::time::Duration;

/// Least time between two changes of what an upstream names, as an entry takes them in: answers that
/// were made before a change may come after it.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Part by which a rate must differ from the one before to count as another.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// What an upstream last named to this entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Named {
    /// The rate; `None` for no limit.
    pub rate: Option<rate::Rate>,
    /// When it changed; `None` for never.
    pub changed_at: Option<clock::Instant>,
}

impl Named {
    /// Takes in what an answer names; whether that is a change.
    pub fn hear(&mut self, now: clock::Instant, rate: Option<rate::Rate>) -> bool {
        let recent = self.changed_at.is_some_and(|at| now.since(at) < CHANGE_INTERVAL);
        let alike = match (self.rate, rate) {
            (Some(old), Some(new)) => {
                let difference = (old.per_second() - new.per_second()).abs();
                difference <= old.per_second() * SIGNIFICANT_CHANGE
            }
            (old, new) => old == new,
        };
        if alike || recent {
            return false;
        }
        *self = Named { rate, changed_at: Some(now) };
        true
    }
}
