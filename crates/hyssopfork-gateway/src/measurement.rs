//! Measurements of requests that ended.

use crate::action;
use hyssopfork_wire::{configuration, name};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With the upstream's whole answer; the time to its first bytes.
    Completed(Duration),
    /// With a refusal.
    Rejected(action::Reason),
    /// With an answer that was broken off.
    Aborted,
}

/// A measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measurement {
    /// Team of the caller; `None` where the route needs no key, or none matched.
    pub team: Option<name::Team>,
    /// Class of the work; `None` when no route matched.
    pub class: Option<configuration::Class>,
    /// How it ended.
    pub outcome: Outcome,
    /// Attempts made.
    pub attempts: u32,
    /// Time from arrival to the end.
    pub total_time: Duration,
}
