//! Relays between the processes of a fleet, one for each link, so that a test can make it go silent.

use hyssopfork_test_support::relay;
use std::net::SocketAddr;

/// Kind of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// A control instance calls another.
    Voter,
    /// An entry or agent calls control.
    Control,
    /// Entries bring attempts to an agent.
    Traffic,
    /// Agents of a group call an agent.
    Peer,
    /// Callers connect to an entry.
    Caller,
}

struct Wire {
    link: Link,
    name: String,
    relay: relay::Relay,
}

/// The relays of a fleet; none when it runs without.
pub struct Wires {
    used: bool,
    wires: Vec<Wire>,
}

impl Wires {
    /// No relay yet; `used` says whether routes get any.
    pub fn new(used: bool) -> Wires {
        Wires { used, wires: Vec::new() }
    }

    /// The address that leads to `target`; `name` is the process that the link belongs to.
    pub fn route(&mut self, link: Link, name: &str, target: SocketAddr) -> SocketAddr {
        if !self.used {
            return target;
        }
        let relay = relay::Relay::start(target).unwrap();
        let address = relay.address();
        self.wires.push(Wire { link, name: name.to_owned(), relay });
        address
    }

    /// The control addresses as the entry or agent `name` is told them.
    pub fn controls(&mut self, name: &str, targets: &[SocketAddr]) -> Vec<SocketAddr> {
        targets.iter().map(|target| self.route(Link::Control, name, *target)).collect()
    }

    /// The voters as the control instance `name` is told them.
    ///
    /// A link belongs to both of its ends, so its name is that of both.
    pub fn voters(
        &mut self,
        name: &str,
        controls: &[(String, SocketAddr)],
    ) -> Vec<(String, SocketAddr)> {
        let mut voters = controls.to_vec();
        for (other, address) in voters.iter_mut().filter(|(other, _)| other != name) {
            *address = self.route(Link::Voter, &format!("{name} {other}"), *address);
        }
        voters
    }

    /// Makes the open connections of all links of a kind silent for good; new ones work.
    pub fn forget(&self, link: Link) {
        let wires = self.wires.iter().filter(|wire| wire.link == link);
        wires.for_each(|wire| wire.relay.blackhole_connections());
    }

    /// Makes all links of a kind that belong to `name` silent, new connections too.
    pub fn silence(&self, link: Link, name: &str) {
        let wires = self.wires.iter().filter(|wire| wire.link == link);
        let own = wires.filter(|wire| wire.name.split(' ').any(|end| end == name));
        own.for_each(|wire| wire.relay.pause());
    }
}
