//! What every process follows: the declaration in force, the zones that are out, the upstreams and
//! the serving groups; and the differences that lead from one revision to the next.

use crate::{announcement, document, quarantine, rate};
use hyssopfork_wire::{name, number};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net;

/// Place in the leader's sequence of publications.
///
/// Invariant: revisions of different terms say nothing of each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Term of the leader.
    pub term: number::Term,
    /// Counts the leader's publications.
    pub revision: u64,
}

/// How an upstream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It sends heartbeats.
    Present,
    /// The leader hears nothing of it. It may be cut off from the leader alone, so whoever gets
    /// answers of it goes on.
    Silent,
    /// It leaves: no new work.
    Leaving,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// What it says of itself; `cold` as of when this was sent.
    pub announcement: announcement::Announcement,
    /// How it stands.
    pub status: Status,
    /// Model of its last group in this life, which it takes up fastest. It doesn't say so itself once
    /// it has left the group: the next leader would know only what its host holds.
    pub last_model: Option<name::Model>,
    /// Rate that it takes of all entries together, as it named it last; `None` for no limit.
    pub rate: Option<rate::Rate>,
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
    /// Epoch of this membership; no other membership of any group has it.
    pub epoch: u64,
    /// Whether requests may be sent to its head.
    pub serving: bool,
    /// Whether a member is lost, so that what runs there will not go on.
    pub lost: bool,
}

impl Group {
    /// The member that takes the requests.
    pub fn head(&self) -> Option<&name::Instance> {
        self.members.first()
    }
}

/// Takes changes into a table; `None` is for what is gone.
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

/// What leads a follower on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Where the follower stands after it.
    pub stamp: Stamp,
    /// Whether upstreams and groups that are not named here are gone.
    pub is_full: bool,
    /// Version of the newest declaration that was accepted; 0 for none.
    pub declared_version: u64,
    /// The next part of a declaration that is newer than the follower's.
    pub document: Option<document::Part>,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Upstreams that changed; `None` for one that is gone.
    pub upstreams: Vec<(name::Instance, Option<Upstream>)>,
    /// Groups that changed; `None` for one that is gone.
    pub groups: Vec<(name::Group, Option<Group>)>,
    /// Processes that hold or may hold the replicated log.
    pub controls: Vec<net::SocketAddr>,
    /// Entries that follow the leader, itself included, that are new; `None` for one that is gone.
    /// Limits of the whole fleet are divided among them.
    pub entries: Vec<(net::SocketAddr, Option<()>)>,
    /// Requests whose verdict changed; `None` for one that is free of suspicion.
    pub quarantine: Vec<(quarantine::Fingerprint, Option<quarantine::Verdict>)>,
}
