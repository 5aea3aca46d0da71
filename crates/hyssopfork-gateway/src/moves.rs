//! Bound on moves of requests that are suspected to stand still.
//!
//! A process with few requests at an overloaded upstream can't tell it from a dead one. A request that
//! is moved gives up its place in the queue and has its prompt read again elsewhere, so moves without a
//! bound keep an overload going after its cause has passed. Each answer therefore earns a part of a
//! move.

/// Moves that an answer earns.
const TOKENS_PER_RESPONSE: f64 = 0.1;

/// Most moves that are saved up: about the requests that one process has at one upstream.
const MAX_TOKENS: f64 = 4.0;

/// Moves that may be made.
#[derive(Clone, Copy, Debug)]
pub struct Bucket(f64);

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket(MAX_TOKENS)
    }
}

impl Bucket {
    /// Takes in that an upstream answered a request.
    pub fn add_for_response(&mut self) {
        self.0 = (self.0 + TOKENS_PER_RESPONSE).min(MAX_TOKENS);
    }

    /// Whether a request may be moved now.
    pub fn has_token(&self) -> bool {
        self.0 >= 1.0
    }

    /// Takes in that a request was moved.
    pub fn take_token(&mut self) {
        self.0 -= 1.0;
    }
}
