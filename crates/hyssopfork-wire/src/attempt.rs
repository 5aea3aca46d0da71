//! Attempts: one try of one request at one upstream.

use crate::{name, number};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use std::{fmt, str};

/// Identifier of an attempt, unique over all processes and restarts: a random number chosen at the
/// entry's start, and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identifier {
    /// Chosen at random when the entry's process starts.
    pub boot: u64,
    /// Counts the attempts of that process.
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

/// What an agent says to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancelled {
    /// The work never started and never will: the agent remembers the identifier and refuses it.
    NeverStarted,
    /// The work had started; it was stopped where the back end can do so.
    Started,
    /// The work had ended and its answer was complete.
    Finished,
    /// The agent cannot say: it was restarted after the attempt was offered.
    Unknown,
}

/// What an entry tells an agent of an attempt before the work's own bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The attempt.
    pub attempt: Identifier,
    /// Boot of the agent's process that the entry means; another process at the same addresses
    /// refuses, since it cannot know what the one before it ran.
    pub boot: u64,
    /// Whether this is the first time that the offer goes out, for certain: set by whoever sends
    /// it, on the first connection only. Another process than the one meant can say "not run" of
    /// a first offer alone; of one that was sent before, the process before it may have run the
    /// work.
    #[serde(default)]
    pub first: bool,
    /// Version of the entry's view.
    pub version: number::Version,
    /// Group that is asked, with the fencing number that the entry knows; `None` for a plain
    /// service.
    pub group: Option<(name::Group, number::Fence)>,
    /// Team of the caller.
    pub team: name::Team,
    /// Class of the work.
    pub class: crate::configuration::Class,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Time within which the answer must begin, from when the offer was sent.
    pub deadline: Duration,
    /// Events of the stream that the caller already has; 0 for a fresh start.
    pub resume_from: u64,
    /// HTTP method for the upstream.
    pub method: String,
    /// Path and query for the upstream.
    pub path: String,
    /// Headers that travel to the upstream.
    pub headers: Vec<(String, String)>,
}
