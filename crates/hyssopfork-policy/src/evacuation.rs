//! Evacuation: how a zone's load leaves, and how it returns.
//!
//! *Pattern.* Operators take a zone out at short notice while the others are near their limits,
//! and bring it back later, with upstreams that may have been restarted meanwhile.
//!
//! *Without it.* Work goes on to a zone whose agents refuse it; or the load lands on the others
//! beyond their limits and tips them; on return the upstreams get what they bore when they were
//! last heard of, warm.
//!
//! *Rule.* A zone that is out gets no new work from the moment it is known; its work in flight
//! ends where it runs. What the others cannot take within their limits waits in the queue, which
//! refuses by time. On return each upstream is trusted with as little as one never heard of until
//! its agent reports: the agents' ramps, which see the work of all entries, set the pace.

use hyssopfork_wire::name;
use std::collections::BTreeSet;

/// Zones that are out.
#[derive(Clone, Debug, Default)]
pub struct Evacuation {
    zones: BTreeSet<name::Zone>,
}

impl Evacuation {
    /// Takes in whether a zone is out. Returns whether it is back from having been out.
    pub fn set(&mut self, zone: &name::Zone, evacuated: bool) -> bool {
        if evacuated {
            self.zones.insert(zone.clone());
            return false;
        }
        self.zones.remove(zone)
    }

    /// Whether the zone is out.
    pub fn is_evacuated(&self, zone: &name::Zone) -> bool {
        self.zones.contains(zone)
    }
}
