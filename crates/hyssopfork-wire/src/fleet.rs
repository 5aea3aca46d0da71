//! What instances say of themselves, and where groups stand.

use crate::{configuration, name, number};
use serde::{Deserialize, Serialize};
use std::net;

/// What a back end can do. Every decision asks the profile and has an answer for each `false`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Engine or plain service.
    pub kind: configuration::Kind,
    /// Refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// Can continue a stream from a given token.
    #[serde(default)]
    pub resumes: bool,
    /// Can cancel a running request.
    #[serde(default)]
    pub cancels: bool,
    /// Accelerators on the instance.
    #[serde(default)]
    pub accelerators: u32,
    /// Requests at once that a warm back end can bear.
    pub concurrency: u32,
}

/// An upstream as its agent announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance that it stands on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Fabric domain of the instance.
    pub domain: name::Domain,
    /// Pool that it offers itself to.
    pub pool: name::Pool,
    /// Where the agent takes attempts from entries (HTTP).
    pub traffic: net::SocketAddr,
    /// Where the agent takes calls of other agents (tarpc).
    pub peer: net::SocketAddr,
    /// What the back end can do.
    pub profile: Profile,
    /// Chosen at random when the agent's process starts; tells one process from the next at the
    /// same addresses.
    pub boot: u64,
}

/// What control last recorded of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Incarnation of its agent; one more for each new boot.
    pub incarnation: number::Incarnation,
    /// Whether control counts it as present: false after it left or fell silent.
    pub present: bool,
    /// Whether its agent has said that it is leaving: no new work.
    pub leaving: bool,
}

/// Where a group stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing number of this placement.
    pub fence: number::Fence,
    /// Members in order; the first takes the requests.
    ///
    /// Invariant: no instance stands in two placements.
    pub members: Vec<name::Instance>,
}

/// What an agent reports of its back end with each renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the back end answers.
    pub alive: bool,
    /// Whether the back end has been warmed up by completed work.
    pub warm: bool,
    /// Requests running now.
    pub running: u32,
    /// Newest fencing number that the agent has joined; 0 when it has joined none.
    pub joined: number::Fence,
    /// Newest fencing number whose end the agent vouches for: no grant that it gave under this or
    /// an older number can still be in force.
    pub ended: number::Fence,
    /// Whether the agent's group serves (first member only).
    pub serving: bool,
}
