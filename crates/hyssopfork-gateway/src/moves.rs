//! Bound on moves of requests that are suspected to stand still.
//!
//! A process with few requests at an overloaded upstream can't tell it from a dead one. A request that
//! is moved gives up its place in the queue and has its prompt read again elsewhere, so moves without a
//! bound keep an overload going after its cause has passed. Each answer therefore earns a part of a
//! move.

/// Moves that an answer earns.
const MOVES_PER_ANSWER: f64 = 0.1;

/// Most moves that are saved up: about the requests that one process has at one upstream.
const MAX_SAVED_MOVES: f64 = 4.0;

/// Moves that may be made.
#[derive(Clone, Copy, Debug)]
pub struct Allowance(f64);

impl Default for Allowance {
    fn default() -> Allowance {
        Allowance(MAX_SAVED_MOVES)
    }
}

impl Allowance {
    /// Takes in that an upstream answered a request.
    pub fn earn(&mut self) {
        self.0 = (self.0 + MOVES_PER_ANSWER).min(MAX_SAVED_MOVES);
    }

    /// Whether a request may be moved now.
    pub fn has_room(&self) -> bool {
        self.0 >= 1.0
    }

    /// Takes in that a request was moved.
    pub fn spend(&mut self) {
        self.0 -= 1.0;
    }
}
