//! Measurements of finished requests.

use crate::action;
use hyssopfork_wire::{configuration, name};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a complete response; the time to its first bytes.
    Completed(Duration),
    /// With a rejection.
    Rejected(action::Reason),
    /// With an aborted response.
    Aborted,
}

/// Measurement of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Measurement {
    /// Team of the client; `None` if the route requires no key or no route matched.
    pub team: Option<name::Team>,
    /// Class of the work; `None` if no route matched.
    pub class: Option<configuration::Class>,
    /// How the request ended.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
    /// Observed time to the first event in multiples of the predicted one; `None` if none was predicted
    /// or no event arrived.
    pub first_event_ratio: Option<f64>,
    /// Time from arrival to the end.
    pub total_time: Duration,
    /// Wait for a place; `None` if the request was not queued for one.
    pub queue: Option<Queue>,
}

/// Wait of a request for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Rank of the request.
    pub rank: u32,
    /// Time in the queue.
    pub time: Duration,
}
