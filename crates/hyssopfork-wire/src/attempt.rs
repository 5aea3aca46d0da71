//! Attempts: one attempt sends one request to one upstream once; a retry is a new attempt.

use crate::{name, number};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use std::{fmt, str};

/// Identifier of an attempt, unique across processes and restarts: a random number chosen when the
/// entry starts, and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identifier {
    /// Chosen at random when the entry's process starts.
    pub boot: u64,
    /// Number of the attempt within that process.
    pub count: u64,
}

impl fmt::Display for Identifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:x}", self.boot, self.count)
    }
}

impl str::FromStr for Identifier {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (boot, count) = text.split_once('-').ok_or(())?;
        let boot = u64::from_str_radix(boot, 16).map_err(drop)?;
        let count = u64::from_str_radix(count, 16).map_err(drop)?;
        Ok(Identifier { boot, count })
    }
}

/// Agent's response to the cancellation of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancelled {
    /// The work did not start and will not: the agent records the identifier and rejects it.
    NeverStarted,
    /// The work had started; it was cancelled if the upstream supports that.
    Started,
    /// The work had ended and its response was complete.
    Finished,
    /// The agent has no record: it was restarted after the attempt was offered.
    Unknown,
}

/// Metadata that an entry sends to an agent ahead of the body of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Identifier of the attempt.
    pub attempt: Identifier,
    /// Boot of the agent process that the offer is addressed to. Another process at the same
    /// address rejects the offer, as it does not know what the previous process ran.
    pub boot: u64,
    /// Whether this offer was certainly not sent before; the sender sets it on the first
    /// connection only. A process with another boot may report "not run" only for a first offer:
    /// an offer that was sent before may have been run by the previous process.
    #[serde(default)]
    pub first: bool,
    /// Version of the entry's view.
    pub version: number::Version,
    /// Target group and the fencing number in the entry's view; `None` for a plain service.
    pub group: Option<(name::Group, number::Fence)>,
    /// Team of the client.
    pub team: name::Team,
    /// Class of the work.
    pub class: crate::configuration::Class,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Time within which the response must begin, from when the offer was sent.
    pub deadline: Duration,
    /// Number of stream events that the client has received; 0 for a new stream.
    pub resume_from: u64,
    /// HTTP method for the upstream.
    pub method: String,
    /// Path and query for the upstream.
    pub path: String,
    /// Headers forwarded to the upstream.
    pub headers: Vec<(String, String)>,
}
