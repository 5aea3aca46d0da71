//! Measurements of requests that ended.

use hyssopfork_wire::{configuration, name, refusal};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The client got the complete response.
    Completed,
    /// The client got a rejection.
    Rejected(refusal::Reason, refusal::Ran),
    /// The client got a part of the response and an error marker.
    Aborted(refusal::Reason),
    /// The client disconnected first.
    ClientGone,
}

/// A measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measurement {
    /// Team of the client; `None` when its token belongs to none.
    pub team: Option<name::Team>,
    /// Traffic class; `None` when no route matched.
    pub class: Option<configuration::Class>,
    /// Route; `None` when none matched.
    pub route: Option<name::Route>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Number of attempts offered to upstreams.
    pub attempts: u32,
    /// Time from arrival to the first offer to an upstream, or to the end when there was none.
    pub wait_time: Duration,
    /// Time from arrival to the first part of the response body.
    pub time_to_first_byte: Option<Duration>,
    /// Mean time between two events of a stream, when at least two were delivered.
    pub mean_event_interval: Option<Duration>,
    /// Time from arrival to the end.
    pub total_time: Duration,
}
