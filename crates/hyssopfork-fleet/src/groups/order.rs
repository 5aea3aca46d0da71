//! Orders to engines, and what comes back.

use crate::announcement;
use hyssopfork_wire::name;
use std::net;

/// What an engine is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Take up the model's weights as a member of the group.
    Join {
        /// Model.
        model: name::Model,
        /// Members; the first is the head.
        members: Vec<name::Instance>,
    },
    /// Head: take requests.
    Open,
    /// Head: take no more requests and end those that it has.
    Close,
    /// Leave the group at once.
    Leave,
    /// Load a model's weights onto the host, beside whatever else goes on. Concerns no group.
    Stage(name::Model),
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Number, for the answer.
    pub ticket: u64,
    /// Engine that it is meant for; another one at the address refuses it.
    pub instance: name::Instance,
    /// Where the engine listens.
    pub address: net::SocketAddr,
    /// Group.
    pub group: name::Group,
    /// Epoch of the group's membership. An engine refuses an order to join that is older than one
    /// that it has seen, so an order that was held up undoes nothing.
    pub epoch: u64,
    /// What to do.
    pub task: Task,
    /// Orders that the engine has taken so far; it refuses this one if it has taken more or fewer.
    /// `None` where that doesn't matter.
    pub expected: Option<u64>,
}

/// What an engine says of itself when it is asked; as it was some hundred milliseconds before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Orders that it has taken since its process started.
    pub orders: u64,
    /// Its group, if it is in one.
    pub membership: Option<announcement::Membership>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It has begun or is done.
    Accepted,
    /// It doesn't fit what the engine is.
    Unfit,
    /// The engine has seen a newer epoch.
    Outdated,
    /// Another engine has the address.
    Stranger,
    /// Nobody listens at the address.
    Unreachable,
    /// No answer: it may be carried out, also later.
    Unknown,
}

/// What came of asking for a sign of life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It answered.
    Alive,
    /// Nobody listens at its address.
    Refused,
    /// No answer in time.
    Missing,
}
