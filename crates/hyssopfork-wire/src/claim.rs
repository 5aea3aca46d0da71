//! Claims on non-repeatable work: committed before the work is sent, so that it is sent once.

use crate::{attempt, frame, name};
use serde::{Deserialize, Serialize};

/// What names one piece of non-repeatable work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Team of the caller.
    pub team: name::Team,
    /// Route that was called.
    pub route: name::Route,
    /// The caller's Idempotency-Key.
    pub text: String,
}

/// Asks to be the one that does the work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The work.
    pub key: Key,
    /// SHA-256 of the request's method, path and body.
    pub digest: [u8; 32],
    /// Attempt that will do the work if the claim is granted.
    pub attempt: attempt::Identifier,
}

/// How claimed work ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran and this was the whole answer.
    Answered {
        /// Status and headers.
        head: frame::Head,
        /// Body, at most [`MAX_BODY_BYTES`] bytes.
        body: Vec<u8>,
    },
    /// It never ran and never will under the claiming attempt: the key is free again.
    NotRun,
    /// It may have run; nobody can say.
    Unknown,
}

/// Longest recorded answer body, in bytes; a longer answer is recorded as run without its body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The work is the asker's: nobody else will send it.
    Granted,
    /// The work is done: its recorded answer.
    Done(Outcome),
    /// Another attempt holds the claim and has recorded no outcome yet.
    InProgress,
    /// The key was used with another digest.
    DigestDiffers,
    /// No claim can be taken on now: the memory of claims is full of ones that may not be dropped.
    Full,
}
