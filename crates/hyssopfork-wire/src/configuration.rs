//! What operators declare: the versioned configuration of the fleet.

use crate::{name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The whole declared configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// Number of this configuration; 0 before the first patch. Files that declare leave it out.
    pub number: number::Configuration,
    /// Availability zones that may hold instances.
    pub zones: BTreeMap<name::Zone, Zone>,
    /// Pools of instances.
    pub pools: BTreeMap<name::Pool, Pool>,
    /// Serving groups.
    pub groups: BTreeMap<name::Group, Group>,
    /// Routes that callers use.
    pub routes: BTreeMap<name::Route, Route>,
    /// Teams that may call.
    pub teams: BTreeMap<name::Team, Team>,
    /// Instances that operators have drained: they finish what runs and get no new work.
    pub drained: BTreeSet<name::Instance>,
}

/// An availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Zone {
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

/// What a pool's instances run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Model engines, which serve only in groups.
    Engine,
    /// Plain services; each instance serves alone.
    Service,
}

/// A pool of like instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What its instances run.
    pub kind: Kind,
    /// Zones whose instances may take the pool's work; empty means every declared zone.
    #[serde(default)]
    pub zones: BTreeSet<name::Zone>,
}

/// A serving group: one replica of a model over `size` instances of one fabric domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Pool that its members come from; of kind [`Kind::Engine`].
    pub pool: name::Pool,
    /// Model that it serves.
    pub model: name::Model,
    /// Number of member instances, at least 1.
    pub size: u32,
    /// Order of repair when not every group can be whole: higher first.
    #[serde(default)]
    pub priority: u32,
}

/// Class of a route's work: what it is measured and limited with.
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
    /// Short checks that must always get an answer (status, downloads).
    Status,
    /// Short work that somebody waits for.
    Interactive,
    /// Long work.
    Batch,
}

/// A route: where requests under a path prefix go and how they may be treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix, starting with `/`; the longest matching prefix wins.
    pub prefix: String,
    /// Pool whose upstreams do the work.
    pub pool: name::Pool,
    /// Class of the work.
    pub class: Class,
    /// Whether the work may run more than once. Absent means that it may not.
    #[serde(default)]
    pub repeatable: bool,
    /// Time from arrival within which the answer must begin, in milliseconds.
    pub deadline_ms: u64,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 of each bearer token of the team, in lower-case hexadecimal; the tokens themselves
    /// are never stored.
    pub token_sha256: BTreeSet<String>,
    /// Share of service relative to other teams, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
