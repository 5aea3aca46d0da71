//! Refusals: why a request was not served and whether any of its work ran.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why a request was refused: a closed set.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The token names no team.
    Unauthorized,
    /// No route matches the path.
    NoRoute,
    /// The request itself is malformed or too large.
    Malformed,
    /// The team is over its share while the system is full.
    TeamLimit,
    /// The queue cannot be served before the deadline.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// No upstream can take the work now.
    NoUpstream,
    /// The process cannot show that its configuration is recent.
    Stale,
    /// The process or upstream is leaving.
    Draining,
    /// The availability zone has been taken out.
    ZoneOut,
    /// The serving group is not whole.
    GroupIncomplete,
    /// The upstream is cold and at its limit.
    Cold,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// The same key is being worked on.
    InProgress,
    /// The same key came with another body.
    KeyReused,
    /// The work began and its outcome is not known.
    OutcomeUnknown,
    /// The upstream failed.
    UpstreamFailed,
}

/// Whether any work of a refused request ran.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ran {
    /// No work ran and none will.
    NotRun,
    /// Work may have run.
    MayHaveRun,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether work ran.
    pub ran: Ran,
    /// When to come back; `None` when coming back with the same request cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal whose work did not run.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal { reason, ran: Ran::NotRun, retry_after }
    }

    /// A refusal whose work may have run.
    pub const fn may_have_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal { reason, ran: Ran::MayHaveRun, retry_after }
    }
}
