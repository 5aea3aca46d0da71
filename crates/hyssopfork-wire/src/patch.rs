//! Patches of the numbered configuration, with optimistic concurrency control, and their outcomes.

use crate::{configuration, name, number};
use serde::{Deserialize, Serialize};

/// Identifier of a patch, chosen by the submitter; every resend of the patch carries it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identifier(pub String);

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Replaces the whole configuration; the number in it is ignored.
    Declare(Box<configuration::Configuration>),
    /// Takes a zone out of service (`true`) or brings it back (`false`).
    SetZoneOut(name::Zone, bool),
    /// Creates or replaces a pool.
    PutPool(name::Pool, configuration::Pool),
    /// Removes a pool that no group or route refers to.
    RemovePool(name::Pool),
    /// Creates or replaces a group.
    PutGroup(name::Group, configuration::Group),
    /// Removes a group.
    RemoveGroup(name::Group),
    /// Creates or replaces a route.
    PutRoute(name::Route, configuration::Route),
    /// Removes a route.
    RemoveRoute(name::Route),
    /// Creates or replaces a team.
    PutTeam(name::Team, configuration::Team),
    /// Removes a team.
    RemoveTeam(name::Team),
    /// Drains an instance (`true`) or returns it to service (`false`).
    SetDrained(name::Instance, bool),
}

/// A patch, which is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Identifier, the same in every resend.
    pub identifier: Identifier,
    /// Number of the configuration that the patch is based on.
    pub base: number::Configuration,
    /// Operator who submits it.
    pub author: name::Operator,
    /// Operations, in order.
    pub operations: Vec<Operation>,
}

/// Outcome of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Accepted as this configuration number.
    Accepted(number::Configuration),
    /// Rejected: the base is not the current number.
    Stale {
        /// Current number when the patch was applied.
        current: number::Configuration,
        /// Accepted patches after the base, oldest first; empty when they are no longer kept.
        since: Vec<Record>,
    },
    /// Rejected: the result would be invalid; one message for each fault, with its remedy.
    Invalid(Vec<String>),
    /// Rejected: the identifier was used before with other content.
    Reused,
}

/// Record of an accepted patch in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the configuration after the patch.
    pub number: number::Configuration,
    /// The patch's identifier.
    pub identifier: Identifier,
    /// Operator who submitted it.
    pub author: name::Operator,
    /// One line for each operation.
    pub summary: Vec<String>,
}
