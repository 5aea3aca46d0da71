//! Announcements and reports of agents, and placements of groups.

use crate::{configuration, name, number};
use serde::{Deserialize, Serialize};
use std::net;

/// Capabilities of an upstream. Each decision that depends on one also handles its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Engine or plain service.
    pub kind: configuration::Kind,
    /// Whether it rejects an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Whether it can continue a stream from a given token.
    #[serde(default)]
    pub resumes: bool,
    /// Whether it can cancel a running request.
    #[serde(default)]
    pub cancels: bool,
    /// Accelerators on the instance.
    #[serde(default)]
    pub accelerators: u32,
    /// Concurrency limit of a warm upstream, in requests.
    pub concurrency: u32,
}

/// Announcement of an upstream by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance of the upstream.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Fabric domain of the instance.
    pub domain: name::Domain,
    /// Pool that it joins.
    pub pool: name::Pool,
    /// Address at which the agent accepts attempts from entries (HTTP).
    pub traffic: net::SocketAddr,
    /// Address at which the agent accepts requests of other agents (tarpc).
    pub peer: net::SocketAddr,
    /// Capabilities of the upstream.
    pub profile: Profile,
    /// Chosen at random when the agent's process starts; distinguishes successive processes at the
    /// same addresses.
    pub boot: u64,
}

/// Record of an instance at control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Incarnation of its agent, incremented for each new boot.
    pub incarnation: number::Incarnation,
    /// Whether control counts it as present: `false` after it left or stopped sending renewals.
    pub present: bool,
    /// Whether its agent has announced that it is leaving and takes no new work.
    pub leaving: bool,
}

/// Placement of a group on instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing number of this placement.
    pub fence: number::Fence,
    /// Members in order; the first receives the requests.
    ///
    /// Invariant: no instance is a member of two placements.
    pub members: Vec<name::Instance>,
}

/// Report of an agent on its upstream, sent with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the upstream responds to probes.
    pub alive: bool,
    /// Whether the upstream is warm, after having completed requests.
    pub warm: bool,
    /// Requests in flight.
    pub running: u32,
    /// Highest fencing number that the agent has joined; 0 if none.
    pub joined: number::Fence,
    /// Highest fencing number that the agent confirms as ended: no grant that it gave under this or
    /// a lower number can still be in force.
    pub ended: number::Fence,
    /// Whether the agent's group serves (first member only).
    pub serving: bool,
}
