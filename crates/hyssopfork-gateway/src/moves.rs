//! Token bucket that limits how many stalled requests move to another upstream.
//!
//! A process with few requests at an overloaded upstream can't tell it from a dead one. A request
//! that moves gives up its place in the queue and has its prompt processed again at the new
//! upstream, so that unlimited moves would sustain an overload after its cause has passed. Each
//! response therefore adds part of a token, and each move takes one.

/// Tokens that a response adds.
const TOKENS_PER_RESPONSE: f64 = 0.1;

/// Capacity of the bucket: about the requests that one process has at one upstream.
const MAX_TOKENS: f64 = 4.0;

/// Tokens that are available for moves.
#[derive(Clone, Copy, Debug)]
pub struct Bucket(f64);

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket(MAX_TOKENS)
    }
}

impl Bucket {
    /// Adds the tokens for a response.
    pub fn add_for_response(&mut self) {
        self.0 = (self.0 + TOKENS_PER_RESPONSE).min(MAX_TOKENS);
    }

    /// Whether a request may move now.
    pub fn has_token(&self) -> bool {
        self.0 >= 1.0
    }

    /// Takes the token for a move.
    pub fn take_token(&mut self) {
        self.0 -= 1.0;
    }
}
