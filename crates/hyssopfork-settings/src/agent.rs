//! The `agent` section.

use crate::section;
use hyssopfork_wire::{configuration, fleet, name};
use std::net;

/// The section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Agent {
    /// Where entries bring attempts (HTTP).
    pub traffic_listen: net::SocketAddr,
    /// Where entries are told to bring attempts; `traffic_listen` unless something stands between.
    pub traffic_announce: net::SocketAddr,
    /// Where the agents of the same group call (tarpc).
    pub peer_listen: net::SocketAddr,
    /// Where agents are told to call; `peer_listen` unless something stands between.
    pub peer_announce: net::SocketAddr,
    /// Pool that the upstream offers itself to.
    pub pool: name::Pool,
    /// Fabric domain of the instance.
    pub domain: name::Domain,
    /// Where the upstream listens (HTTP).
    pub upstream: net::SocketAddr,
    /// What the upstream can do.
    pub profile: fleet::Profile,
}

const MAX_COUNT: u64 = 1 << 16;

/// Reads the section.
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

/// The address under `key`, or the one that is listened on.
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
