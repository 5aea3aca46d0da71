//! Limit on concurrent work while the back end is cold.

/// Concurrent work that any cold back end is trusted with.
const INITIAL: u32 = 2;

/// Growth of the limit with each completed attempt.
const GROWTH: f64 = 0.5;

/// The limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    full: u32,
    limit: f64,
}

impl Ramp {
    /// A cold back end that bears `full` attempts at once when warm.
    pub fn new(full: u32) -> Ramp {
        let full = full.max(1);
        Ramp { full, limit: f64::from(INITIAL.min(full)) }
    }

    /// Attempts that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Whether the limit is full.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.full
    }

    /// Back to cold.
    pub fn cool(&mut self) {
        self.limit = f64::from(INITIAL.min(self.full));
    }

    /// Takes in a completed attempt.
    pub fn complete(&mut self) {
        self.limit = (self.limit + GROWTH).min(f64::from(self.full));
    }
}
