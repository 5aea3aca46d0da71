//! Rate limits that upstreams name for what they take of the whole fleet.

use crate::quarantine;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// So many requests a second; `None` for what is no rate: negative, or not a number.
    pub fn new(per_second: f64) -> Option<Rate> {
        (per_second >= 0.0).then_some(Rate((per_second * 1_000.0) as u64))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.1}", self.per_second())
    }
}

/// What an upstream named to an entry, where it had named something else before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The upstream's process.
    pub process: quarantine::Process,
    /// The rate; `None` for no limit.
    pub rate: Option<Rate>,
    /// Time since it was named.
    pub age: Duration,
}
