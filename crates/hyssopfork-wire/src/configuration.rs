//! The numbered configuration of the fleet, as operators declare it.

use crate::{name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The whole declared configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Number of this configuration; 0 before the first patch. Declaration files omit it.
    pub number: number::Configuration,
    /// Availability zones that may hold instances.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// Pools of instances.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Serving groups.
    pub groups: BTreeMap<name::Group, Group>,
    /// Routes of requests.
    pub routes: BTreeMap<name::Route, Route>,
    /// Teams that may send requests.
    pub teams: BTreeMap<name::Team, Team>,
    /// Instances that operators have drained: they finish requests in flight and get no new work.
    pub drained: BTreeSet<name::Instance>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Zone {
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

/// Kind of upstream that a pool's instances run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Model engines, which serve only in groups.
    Engine,
    /// Plain services, of which each instance serves on its own.
    Service,
}

/// A pool of interchangeable instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of upstream that its instances run.
    pub kind: Kind,
    /// Zones whose instances may serve the pool's requests; empty means every declared zone.
    #[serde(default)]
    pub zones: BTreeSet<name::Zone>,
}

/// A serving group: one replica of a model over `size` instances of one fabric domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Pool of its members; of kind [`Kind::Engine`].
    pub pool: name::Pool,
    /// Model that it serves.
    pub model: name::Model,
    /// Number of member instances, at least 1.
    pub size: u32,
    /// Priority when there are too few instances for all groups: higher ones are formed first.
    #[serde(default)]
    pub priority: u32,
}

/// Traffic class of a route; classes have separate metrics and limits.
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
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Short requests that must always get a response (status, downloads).
    Status,
    /// Short requests that a user waits for.
    Interactive,
    /// Long-running requests.
    Batch,
}

/// A route: the pool that serves requests under a path prefix, and the rules for them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, starting with `/`; the longest matching prefix wins.
    pub prefix: String,
    /// Pool whose upstreams serve the requests.
    pub pool: name::Pool,
    /// Traffic class.
    pub class: Class,
    /// Whether a request may run more than once; `false` when absent.
    #[serde(default)]
    pub repeatable: bool,
    /// Time from arrival within which the response must begin, in milliseconds.
    pub deadline_ms: u64,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of each bearer token of the team, in lower-case hexadecimal; the tokens themselves
    /// are never stored.
    pub token_sha256: BTreeSet<String>,
    /// Weight in fair sharing between teams, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
