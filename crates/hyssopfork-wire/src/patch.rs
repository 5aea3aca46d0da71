//! Patches against a numbered configuration, and what became of them.

use crate::{configuration, name, number};
use serde::{Deserialize, Serialize};

/// Identifier of a patch, chosen by whoever submits it; a resend carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Identifier(pub String);

/// One change to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Operation {
    /// Replaces the whole declaration; its number is ignored.
    Declare(Box<configuration::Configuration>),
    /// Takes a zone out of service (`true`) or brings it back (`false`).
    SetZoneOut(name::Zone, bool),
    /// Creates or replaces a pool.
    PutPool(name::Pool, configuration::Pool),
    /// Removes a pool that nothing uses.
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
    /// Drains an instance (`true`) or lets it take work again (`false`).
    SetDrained(name::Instance, bool),
}

/// A patch: applied whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Identifier, the same in every resend.
    pub identifier: Identifier,
    /// Number of the configuration that it was written against.
    pub base: number::Configuration,
    /// Who submits it.
    pub author: name::Operator,
    /// Changes, in order.
    pub operations: Vec<Operation>,
}

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Accepted as this configuration number.
    Accepted(number::Configuration),
    /// Refused: the base is not the number in force.
    Stale {
        /// Number in force when the patch was decided.
        current: number::Configuration,
        /// Accepted patches after the base, oldest first; empty when they are no longer kept.
        since: Vec<Record>,
    },
    /// Refused: the result would break rules, each named with its remedy.
    Invalid(Vec<String>),
    /// Refused: the identifier was used before with other content.
    Reused,
}

/// An accepted patch as history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Configuration number that it made.
    pub number: number::Configuration,
    /// The patch's identifier.
    pub identifier: Identifier,
    /// Who submitted it.
    pub author: name::Operator,
    /// One line for each operation.
    pub summary: Vec<String>,
}
