//! Placement and repair of serving groups: where each group stands, and what is done when members
//! are lost.
//!
//! *Pattern.* An instance dies, then another right after the repair; a whole fabric domain goes
//! dark; more groups are broken than there are instances to mend them, and the weight store bears
//! only a few loads at once.
//!
//! *Without it.* Groups are rebuilt from nothing elsewhere, so that every member loads weights;
//! the greatest group waits behind lesser ones; free instances lie scattered over domains where no
//! group fits.
//!
//! *Rules.*
//! - All members of a group share one fabric domain and one pool; no instance is in two groups.
//! - A broken group is mended with spares of its own domain, in the places of the missing, so that
//!   survivors keep their weights. Only when its domain has too few is it rebuilt in another.
//! - Greater priority first; among equals the fewest loads first, since each load then restores
//!   the most work.
//! - A group that cannot be mended otherwise takes instances from a broken group of no greater
//!   priority that cannot be mended either, then from a serving group of lesser priority.
//! - Among domains the fullest that keeps a spare, so that the next loss is mended in place and
//!   large holes stay whole for further groups.
//! - The function looks only at the present: a second loss right after a repair is one more call.

use crate::weight_loads;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, BTreeSet};

mod candidate;
mod planner;

/// Whether an instance may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It may take part in new placements.
    Available,
    /// It is alive but takes part in no new placement: its zone is out, or it is drained or
    /// leaving.
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
    /// Model whose weights it holds, where known: joining a group of that model needs no load.
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
    /// Higher is placed and mended first.
    pub priority: u32,
}

/// Where a group stands now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Members in order.
    pub members: Vec<name::Instance>,
    /// Requests that run on it now.
    pub running: u32,
}

/// All that placement looks at.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Instances; a member that isn't listed counts as missing.
    pub instances: Vec<Instance>,
    /// Declared groups.
    pub groups: Vec<Group>,
    /// Current placements.
    pub placements: BTreeMap<name::Group, Placement>,
    /// Pacing of weight loads.
    pub budget: weight_loads::Budget,
}

/// A decision, to be applied in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The group stands on these members from now on, in place of where it stood.
    Place {
        /// The group.
        group: name::Group,
        /// Its members in order; who stayed kept the place that it had.
        members: Vec<name::Instance>,
    },
    /// The group stands nowhere from now on.
    Unplace(name::Group),
}

/// What to change now. Empty when nothing can or need be done.
pub fn decide(fleet: &Fleet) -> Vec<Decision> {
    planner::Planner::new(fleet).run()
}

/// A fabric domain: names of domains are unique only within a zone and pool.
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

/// Free usable instances by domain.
type Spares = BTreeMap<Domain, BTreeSet<name::Instance>>;
