//! Measurements of requests that ended.

use hyssopfork_wire::{configuration, name, refusal};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller got the whole answer.
    Completed,
    /// The caller got a refusal.
    Rejected(refusal::Reason, refusal::Ran),
    /// The caller got a part of the answer and a mark that the rest is missing.
    Aborted(refusal::Reason),
    /// The caller went away first.
    ClientGone,
}

/// A measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measurement {
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
    pub wait_time: Duration,
    /// Time from arrival to the first part of the answer's body.
    pub time_to_first_byte: Option<Duration>,
    /// Mean time between two events of a stream, where two or more were delivered.
    pub mean_event_interval: Option<Duration>,
    /// Time from arrival to the end.
    pub total_time: Duration,
}
