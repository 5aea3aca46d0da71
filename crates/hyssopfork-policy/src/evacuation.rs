//! Zone evacuation: how load leaves a zone, and how it returns.
//!
//! Operators evacuate a zone at short notice while the others are near their limits, and bring it
//! back later, with upstreams that may have been restarted meanwhile. Three faults must not occur:
//! requests still go to a zone whose agents reject them; the load overloads the remaining zones; or
//! the returning upstreams get the load that they had before, when they were warm.
//!
//! An evacuated zone gets no new requests from the moment the evacuation is known; its requests in
//! flight finish where they run. What the other zones cannot take within their limits waits in the
//! queue, which rejects by deadline. On return each upstream has the limit of an unknown one until
//! its agent reports. The agents see the requests of all entry processes, so their slow start sets
//! the pace.

use hyssopfork_wire::name;
use std::collections::BTreeSet;

/// The evacuated zones.
#[derive(Clone, Debug, Default)]
pub struct Evacuation {
    zones: BTreeSet<name::Zone>,
}

impl Evacuation {
    /// Sets whether a zone is evacuated. Returns whether it has just returned.
    pub fn set(&mut self, zone: &name::Zone, evacuated: bool) -> bool {
        if evacuated {
            self.zones.insert(zone.clone());
            return false;
        }
        self.zones.remove(zone)
    }

    /// Whether the zone is evacuated.
    pub fn is_evacuated(&self, zone: &name::Zone) -> bool {
        self.zones.contains(zone)
    }
}
