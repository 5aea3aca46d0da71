//! Placement and repair of serving groups: assigns instances to groups, and replaces lost members.
//!
//! An instance dies, then another right after the repair; a whole fabric domain goes dark; more
//! groups are broken than there are instances to repair them, and the weight store serves only a
//! few loads at once. A naive repair rebuilds groups from scratch elsewhere, so that every member
//! loads weights; the most important group waits behind lesser ones; free instances lie scattered
//! over domains where no group fits.
//!
//! Rules:
//! - All members of a group are in one fabric domain and one pool; no instance is in two groups.
//! - A broken group is repaired with spares of its own domain, at the ranks of the missing members,
//!   so that survivors keep their weights. Only if its domain has too few is it rebuilt in another.
//! - Higher priority first; among equals the fewest loads first, since each load then restores the
//!   most capacity.
//! - A group that cannot be repaired otherwise preempts a broken group of the same or lower
//!   priority that cannot be repaired either, then a serving group of lower priority.
//! - Among domains the fullest that keeps a spare, so that the next loss is repaired in place and
//!   large free blocks stay whole for further groups.
//! - Decisions depend only on the present state: a second loss right after a repair is one more
//!   call.

use crate::weight_loads;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, BTreeSet};

mod candidate;
mod planner;

/// Whether an instance may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may be used in new placements.
    Available,
    /// It is alive but gets no new placement: its zone is evacuated, or it is draining or leaving.
    Cordoned,
    /// It is gone or silent.
    Missing,
}

/// An instance with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its fabric domain, within the zone.
    pub domain: name::Domain,
    /// Its pool.
    pub pool: name::Pool,
    /// Whether it may be used.
    pub availability: Availability,
    /// Model whose weights it has loaded, if known: joining a group of that model needs no load.
    pub loaded_model: Option<name::Model>,
}

/// A declared group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub name: name::Group,
    /// Pool that its members come from.
    pub pool: name::Pool,
    /// Model that it serves.
    pub model: name::Model,
    /// Number of members, at least 1.
    pub size: u32,
    /// Groups of higher priority are placed and repaired first.
    pub priority: u32,
}

/// Current placement of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Members in order of rank.
    pub members: Vec<name::Instance>,
    /// Requests that run on it.
    pub running: u32,
}

/// Input of the placement decision.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Instances; a member that isn't listed counts as missing.
    pub instances: Vec<Instance>,
    /// Declared groups.
    pub groups: Vec<Group>,
    /// Current placements.
    pub placements: BTreeMap<name::Group, Placement>,
    /// Concurrency limit of weight loads.
    pub budget: weight_loads::Budget,
}

/// A decision. Decisions are applied in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Places the group on these members, instead of its current placement.
    Place {
        /// The group.
        group: name::Group,
        /// Its members in order of rank; members that stay keep their rank.
        members: Vec<name::Instance>,
    },
    /// Removes the group's placement.
    Unplace(name::Group),
}

/// Changes to make now. Empty if nothing can or need be changed.
pub fn decide(fleet: &Fleet) -> Vec<Decision> {
    planner::Planner::new(fleet).run()
}

/// Key of a fabric domain: names of domains are unique only within a zone and pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Domain {
    pool: name::Pool,
    zone: name::Zone,
    domain: name::Domain,
}

impl Domain {
    fn of(instance: &Instance) -> Domain {
        Domain {
            pool: instance.pool.clone(),
            zone: instance.zone.clone(),
            domain: instance.domain.clone(),
        }
    }
}

/// Free available instances by domain.
type Spares = BTreeMap<Domain, BTreeSet<name::Instance>>;
