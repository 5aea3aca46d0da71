//! Evacuation: how a zone's load leaves, and how it returns.
//!
//! *Pattern.* Operators take a zone out at short notice while the others are near their limits,
//! and bring it back later with caches gone stale.
//!
//! *Without it.* On leaving, the zone's load lands on the others at once and tips them; on return
//! the zone gets its full share within a second, on cold caches.
//!
//! *Rule.* A zone that is out gets no new work from the moment it is known; its work in flight
//! ends where it runs. What the others cannot take within their limits waits in the queue, which
//! refuses by time. On return the zone's upstreams start from [`RETURN_SHARE`] of their limits and
//! regain the rest by completed work.

use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Share of its limits that a returning zone starts with: warm engines keep their weights but not
/// their prompt caches, so that they bear a good part of the load, not all.
pub const RETURN_SHARE: f64 = 0.25;

/// Growth of the share for each completed piece of work, as a share of the zone's limits. At 1 the
/// zone doubles what it carries each time that it has completed as much as it carries.
pub const RETURN_GROWTH: f64 = 1.0;

/// Share of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Share {
    Out,
    Returning(f64),
}

/// Zones that are out or returning; all others are in full service.
#[derive(Clone, Debug, Default)]
pub struct Evacuation {
    zones: BTreeMap<name::Zone, Share>,
}

impl Evacuation {
    /// Takes in whether a zone is out.
    pub fn set(&mut self, zone: &name::Zone, out: bool) {
        let was_out = self.zones.get(zone) == Some(&Share::Out);
        if out {
            self.zones.insert(zone.clone(), Share::Out);
        } else if was_out {
            self.zones.insert(zone.clone(), Share::Returning(RETURN_SHARE));
        }
    }

    /// Whether the zone is out.
    pub fn is_out(&self, zone: &name::Zone) -> bool {
        self.zones.get(zone) == Some(&Share::Out)
    }

    /// Share of their limits that the zone's upstreams may carry now, 0 to 1.
    pub fn share(&self, zone: &name::Zone) -> f64 {
        match self.zones.get(zone) {
            None => 1.0,
            Some(Share::Out) => 0.0,
            Some(Share::Returning(share)) => *share,
        }
    }

    /// Takes in that an upstream of the zone, whose upstreams bear `total` pieces of work, has
    /// completed one.
    pub fn completed(&mut self, zone: &name::Zone, total: u32) {
        let Some(Share::Returning(share)) = self.zones.get_mut(zone) else { return };
        *share += RETURN_GROWTH / f64::from(total.max(1));
        if *share >= 1.0 {
            self.zones.remove(zone);
        }
    }
}
