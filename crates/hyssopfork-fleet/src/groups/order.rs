//! Orders to engines, their outcomes, and engines' answers to reports and probes.

use crate::announcement;
use hyssopfork_wire::name;
use std::net;

/// Task of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Join the group and load the model's weights.
    Join {
        /// Model of the group.
        model: name::Model,
        /// Members; the first is the head.
        members: Vec<name::Instance>,
    },
    /// Accept requests; for the head only.
    Open,
    /// Accept no more requests and finish those in flight; for the head only.
    Close,
    /// Leave the group at once.
    Leave,
    /// Load a model's weights onto the host in the background. Independent of any group.
    Stage(name::Model),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifies the order when its outcome arrives.
    pub id: u64,
    /// Engine that the order is for; another engine at the address rejects it.
    pub instance: name::Instance,
    /// Address of the engine.
    pub address: net::SocketAddr,
    /// Group that the order is about.
    pub group: name::Group,
    /// Epoch of the group's membership. An engine rejects an order to join whose epoch is older than
    /// the newest one it has seen, so a delayed order undoes nothing.
    pub epoch: u64,
    /// What the engine is to do.
    pub task: Task,
    /// Precondition: the number of orders that the engine has accepted so far. It rejects this one
    /// if it has accepted more or fewer. `None` for no precondition.
    pub expected_orders: Option<u64>,
}

/// State of an engine, reported on request; it may be some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Start time of its process, as in its announcements; `None` if the report doesn't state it.
    pub start_time_ms: Option<u64>,
    /// Number of orders that the engine has accepted since its process started.
    pub accepted_orders: u64,
    /// Membership of the engine, if it is in a group.
    pub membership: Option<announcement::Membership>,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The engine carries it out or has done so.
    Accepted,
    /// The engine's state doesn't allow it, or its precondition doesn't hold.
    #[strum(serialize = "unfit")]
    Conflict,
    /// The engine has seen a newer epoch.
    Outdated,
    /// Another engine has the address.
    #[strum(serialize = "stranger")]
    WrongInstance,
    /// Nothing listens at the address.
    Unreachable,
    /// No answer: it may have been carried out, or may still be.
    Unknown,
}

/// Kind of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// Request the engine's report.
    Report,
    /// Open a connection.
    Connection,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The upstream answered.
    Alive,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// No answer before the timeout.
    TimedOut,
}
