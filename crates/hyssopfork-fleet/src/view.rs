//! The view that every process follows: the declaration in force, the zones that are out, the
//! upstreams and the serving groups; and the updates from one revision to the next.

use crate::{announcement, groups::demand, quarantine, rate};
use hyssopfork_wire::{name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net;

/// Position in the leader's sequence of publications.
///
/// Invariant: revisions of different terms are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader.
    pub term: number::Term,
    /// Number of the publication within the term.
    pub revision: u64,
}

/// Status of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It sends heartbeats.
    Present,
    /// The leader does not hear from it. It may be partitioned only from the leader, so processes
    /// that get answers from it keep using it.
    Silent,
    /// It is leaving and gets no new work.
    Leaving,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its announcement; `cold` is relative to the time of publication.
    pub announcement: announcement::Announcement,
    /// Its status.
    pub status: Status,
    /// Model of the last group that its process was in, which it loads fastest. It is published
    /// because an upstream that has left its group no longer announces it, and a new leader would
    /// know only the weights that its host has.
    pub last_model: Option<name::Model>,
    /// Rate limit that it last set for all entries together; `None` for no limit.
    pub rate: Option<rate::Rate>,
}

/// State of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum GroupState {
    /// It has no requests: it is being formed, its members leave, or it holds weights in reserve.
    Inactive,
    /// Its head has been ordered to open.
    Opening,
    /// Requests may be sent to its head.
    Serving,
    /// One of its members is unreachable: it gets no new requests, and those in flight may go on.
    Suspended,
    /// It gets no new requests, and its head finishes those in flight.
    Closing,
    /// A member is lost, so that requests running there will not complete.
    Lost,
}

/// A serving group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Pool of its members.
    pub pool: name::Pool,
    /// Model.
    pub model: name::Model,
    /// Members; the first is the head.
    pub members: Vec<name::Instance>,
    /// Epoch of this membership, unique among the memberships of all groups.
    pub epoch: u64,
    /// Its state.
    pub state: GroupState,
}

impl Group {
    /// The member that accepts the group's requests.
    pub fn head(&self) -> Option<&name::Instance> {
        self.members.first()
    }

    /// Whether requests may be sent to its head.
    pub fn is_serving(&self) -> bool {
        self.state == GroupState::Serving
    }

    /// Whether one of its members is unreachable.
    pub fn is_suspended(&self) -> bool {
        self.state == GroupState::Suspended
    }

    /// Whether a member is lost.
    pub fn is_lost(&self) -> bool {
        self.state == GroupState::Lost
    }
}

/// Applies changes to a table; `None` removes the key.
pub fn merge<K: Ord, T>(
    table: &mut BTreeMap<K, T>,
    changes: impl IntoIterator<Item = (K, Option<T>)>,
) {
    for (key, value) in changes {
        match value {
            Some(value) => drop(table.insert(key, value)),
            None => drop(table.remove(&key)),
        }
    }
}

/// An update for a follower: the full view, or the difference from the follower's revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Revision of the follower after this update.
    pub stamp: Stamp,
    /// Whether this is the full view, so that everything not contained is to be removed.
    pub is_full: bool,
    /// Version of the newest accepted declaration; 0 for none.
    pub declared_version: u64,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Loads that the capacity plans rest on, for the next leader.
    pub plans: BTreeMap<name::Pool, demand::Basis>,
    /// Changed upstreams; `None` for a removed one.
    pub upstreams: Vec<(name::Instance, Option<Upstream>)>,
    /// Changed groups; `None` for a removed one.
    pub groups: Vec<(name::Group, Option<Group>)>,
    /// Processes that are voters of the replicated log or may become voters.
    pub controls: Vec<net::SocketAddr>,
    /// New entries that follow the leader, which is itself an entry; `None` for a removed one.
    /// Fleet-wide limits are divided among the entries.
    pub entries: Vec<(net::SocketAddr, Option<()>)>,
    /// Causes of crashes whose verdict changed; `None` for one that is no longer suspected.
    pub quarantine: Vec<(quarantine::Cause, Option<quarantine::Verdict>)>,
}
