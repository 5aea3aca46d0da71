//! Measurements of requests that ended.

use hyssopfork_wire::{configuration, name, refusal};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller got the whole answer.
    Answered,
    /// The caller got a refusal.
    Refused(refusal::Reason, refusal::Ran),
    /// The caller got a part of the answer and a mark that the rest is missing.
    Cut(refusal::Reason),
    /// The caller went away first.
    Gone,
}

/// A measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measure {
    /// Team of the caller; `None` when its token named none.
    pub team: Option<name::Team>,
    /// Class of the work; `None` when no route matched.
    pub class: Option<configuration::Class>,
    /// Route; `None` when none matched.
    pub route: Option<name::Route>,
    /// How it ended.
    pub outcome: Outcome,
    /// Attempts that were offered to upstreams.
    pub attempts: u32,
    /// Time from arrival to the first offer to an upstream, or to the end where there was none.
    pub wait: Duration,
    /// Time from arrival to the first part of the answer's body.
    pub first: Option<Duration>,
    /// Mean time between two events of a stream, where two or more were delivered.
    pub between: Option<Duration>,
    /// Time from arrival to the end.
    pub whole: Duration,
}
