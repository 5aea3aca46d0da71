//! Rate limits that upstreams set for the whole fleet.

use crate::quarantine;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate; `None` if `per_second` is negative or not a number.
    pub fn new(per_second: f64) -> Option<Rate> {
        (per_second >= 0.0).then_some(Rate((per_second * 1_000.0) as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.1}", self.per_second())
    }
}

/// Change of an upstream's rate limit, as received by an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The upstream's process.
    pub process: quarantine::Process,
    /// The new rate; `None` for no limit.
    pub rate: Option<Rate>,
    /// Time since the entry received it.
    pub age: Duration,
}
