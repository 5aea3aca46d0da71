//! Settings of the agent role: the `agent` section.

use crate::section;
use hyssopfork_wire::{configuration, fleet, name};
use std::net;

/// The `agent` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Listen address for attempts from entries (HTTP).
    pub traffic_listen: net::SocketAddr,
    /// Address for attempts that is announced to entries; defaults to `traffic_listen` and differs
    /// from it when entries connect through an intermediary.
    pub traffic_announce: net::SocketAddr,
    /// Listen address for agents of the same group (tarpc).
    pub peer_listen: net::SocketAddr,
    /// Address that is announced to agents of the same group; defaults to `peer_listen` and differs
    /// from it when agents connect through an intermediary.
    pub peer_announce: net::SocketAddr,
    /// Pool that the upstream joins.
    pub pool: name::Pool,
    /// Fabric domain of the instance.
    pub domain: name::Domain,
    /// Listen address of the upstream (HTTP).
    pub upstream: net::SocketAddr,
    /// Capabilities of the upstream.
    pub profile: fleet::Profile,
}

/// Maximum of `accelerators` and of `concurrency`.
const MAX_COUNT: u64 = 1 << 16;

/// Reads the `agent` section; faults are added to the section's collector.
pub fn read(section: section::Section<'_>) -> Option<Agent> {
    let traffic_listen = section.reachable_address("traffic_listen");
    let traffic_announce = announced_address(&section, "traffic_announce", traffic_listen);
    let peer_listen = section.reachable_address("peer_listen");
    let peer_announce = announced_address(&section, "peer_announce", peer_listen);
    let pool = section.name("pool").map(name::Pool::from);
    let domain = section.name("domain").map(name::Domain::from);
    let upstream = section.reachable_address("upstream");
    let profile = section.section("profile");
    if profile.is_none() && !section.has("profile") {
        section.report_fault("profile", "\"agent.profile\" is missing; add it");
    }
    let profile = profile.and_then(read_profile);
    section.finish();
    Some(Agent {
        traffic_listen: traffic_listen?,
        traffic_announce: traffic_announce?,
        peer_listen: peer_listen?,
        peer_announce: peer_announce?,
        pool: pool?,
        domain: domain?,
        upstream: upstream?,
        profile: profile?,
    })
}

/// Reads the announced address under `key`, which defaults to the listen address.
fn announced_address(
    section: &section::Section<'_>,
    key: &'static str,
    listen: Option<net::SocketAddr>,
) -> Option<net::SocketAddr> {
    if section.has(key) { section.reachable_address(key) } else { listen }
}

fn read_profile(section: section::Section<'_>) -> Option<fleet::Profile> {
    let kind: Option<configuration::Kind> =
        section.required_keyword("kind", &["engine", "service"]);
    let checks_fence = section.boolean("checks_fence");
    let resumes = section.boolean("resumes");
    let cancels = section.boolean("cancels");
    let accelerators = section.number("accelerators", 0, 0..=MAX_COUNT) as u32;
    let concurrency = section.required_number("concurrency", 1..=MAX_COUNT) as u32;
    section.finish();
    Some(fleet::Profile { kind: kind?, checks_fence, resumes, cancels, accelerators, concurrency })
}
