//! Refusals: why a request was rejected or failed, and whether any of its work ran.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reason for a refusal.
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
    /// The token belongs to no team.
    Unauthorized,
    /// No route matches the path.
    NoRoute,
    /// The request itself is malformed or too large.
    Malformed,
    /// The team exceeds its share while there is no free capacity.
    TeamLimit,
    /// The request would not leave the queue before its deadline.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// No upstream is available.
    NoUpstream,
    /// The process holds no lease on its view, which may be stale.
    Stale,
    /// The process or the upstream is draining.
    Draining,
    /// The availability zone is out of service.
    ZoneOut,
    /// The serving group lacks a member.
    GroupIncomplete,
    /// The upstream is cold and at its concurrency limit.
    Cold,
    /// The attempt was cancelled before it started.
    Cancelled,
    /// A request with the same idempotency key is in flight.
    InProgress,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The work started, and its outcome is not known.
    OutcomeUnknown,
    /// The upstream failed.
    UpstreamFailed,
}

/// Whether any work of a request ran that was rejected or failed.
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
    /// No work ran and none will run.
    NotRun,
    /// Work may have run.
    MayHaveRun,
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Whether work ran.
    pub ran: Ran,
    /// Time after which to retry; `None` if a retry of the same request cannot succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal of a request whose work did not run.
    pub const fn not_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal { reason, ran: Ran::NotRun, retry_after }
    }

    /// Refusal of a request whose work may have run.
    pub const fn may_have_run(reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal { reason, ran: Ran::MayHaveRun, retry_after }
    }
}
