//! Relays between the processes of a fleet, one for each link, with which a test can silence a
//! link.

use hyssopfork_test_support::relay;
use std::net::SocketAddr;

/// Kind of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// A control instance calls another.
    Voter,
    /// An entry or agent calls control.
    Control,
    /// Entries offer attempts to an agent.
    Traffic,
    /// Agents of a group call an agent.
    Peer,
    /// Clients connect to an entry.
    Client,
}

struct LinkRelay {
    link: Link,
    name: String,
    relay: relay::Relay,
}

/// The relays of a fleet; none if they are disabled.
pub struct Relays {
    enabled: bool,
    relays: Vec<LinkRelay>,
}

impl Relays {
    /// Without any relay yet; `enabled` says whether routes get one.
    pub fn new(enabled: bool) -> Relays {
        Relays { enabled, relays: Vec::new() }
    }

    /// The address through which `target` is reached; `name` is the process that the link belongs
    /// to.
    pub fn route(&mut self, link: Link, name: &str, target: SocketAddr) -> SocketAddr {
        if !self.enabled {
            return target;
        }
        let relay = relay::Relay::start(target).unwrap();
        let address = relay.address();
        self.relays.push(LinkRelay { link, name: name.to_owned(), relay });
        address
    }

    /// The control addresses in the settings of the entry or agent `name`.
    pub fn controls(&mut self, name: &str, targets: &[SocketAddr]) -> Vec<SocketAddr> {
        targets.iter().map(|target| self.route(Link::Control, name, *target)).collect()
    }

    /// The voters in the settings of the control instance `name`.
    ///
    /// A link belongs to both of its ends, so its name contains both.
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

    /// Makes the open connections of all links of a kind permanently silent; new ones work.
    pub fn silence_open_connections(&self, link: Link) {
        let relays = self.relays.iter().filter(|link_relay| link_relay.link == link);
        relays.for_each(|link_relay| link_relay.relay.blackhole_connections());
    }

    /// Makes all links of a kind that belong to `name` silent, including new connections.
    pub fn silence_link(&self, link: Link, name: &str) {
        let relays = self.relays.iter().filter(|link_relay| link_relay.link == link);
        let own = relays.filter(|link_relay| link_relay.name.split(' ').any(|end| end == name));
        own.for_each(|link_relay| link_relay.relay.pause());
    }
}
