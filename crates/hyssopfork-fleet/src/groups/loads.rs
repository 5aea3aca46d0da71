//! Pace of loads from the weight store, which serves all instances together.

use hyssopfork_wire::clock;

/// Share of the store's rate that is used: an order that was held up may begin its load in the same
/// second as others that were given later.
const USED: f64 = 0.8;

/// Loads that may begin at once after quiet.
const BURST: f64 = 2.0;

/// The pace.
#[derive(Clone, Debug)]
pub struct Pace {
    allowance: f64,
    at: clock::Instant,
}

impl Pace {
    /// A pace that has been used up just now: what an earlier leader began isn't known.
    pub fn new(now: clock::Instant) -> Pace {
        Pace { allowance: 0.0, at: now }
    }

    /// Whether a load may begin now, at `rate` loads a second; counts it when it may.
    pub fn begin(&mut self, now: clock::Instant, rate: f64) -> bool {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.allowance = (self.allowance + passed * rate * USED).min(BURST);
        let may = self.allowance >= 1.0;
        if may {
            self.allowance -= 1.0;
        }
        may
    }
}
