//! Claims on non-repeatable work (idempotency keys): a claim is committed before the work is sent,
//! so that the work is sent at most once.

use crate::{attempt, frame, name};
use serde::{Deserialize, Serialize};

/// Key of one piece of non-repeatable work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Team of the client.
    pub team: name::Team,
    /// Route of the request.
    pub route: name::Route,
    /// The client's Idempotency-Key.
    pub text: String,
}

/// Request for the exclusive right to send the work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the work.
    pub key: Key,
    /// SHA-256 of the request's method, path and body.
    pub digest: [u8; 32],
    /// Attempt that sends the work if the claim is granted.
    pub attempt: attempt::Identifier,
}

/// Outcome of claimed work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The work ran and ended with this response.
    Answered {
        /// Status and headers.
        head: frame::Head,
        /// Body, at most [`MAX_BODY_BYTES`] bytes.
        body: Vec<u8>,
    },
    /// The work did not run and will not run under the claiming attempt: the key is free again.
    NotRun,
    /// The work may have run; no process can tell.
    Unknown,
}

/// Longest recorded response body; a longer response is recorded as run, without its body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The claim is granted: no other attempt sends the work.
    Granted,
    /// The work has ended with the recorded outcome.
    Done(Outcome),
    /// Another attempt holds the claim and has not recorded an outcome yet.
    InProgress,
    /// The key was used with another digest.
    DigestDiffers,
    /// The store of claims is full, and no stored claim may be evicted yet.
    Full,
}
