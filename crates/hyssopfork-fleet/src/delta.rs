//! Encoding of view updates for transfer between processes.
//!
//! The leader sends each change to every process of the fleet over one link. An encoded update
//! therefore contains an upstream's address, zone and other properties that only a restart changes
//! only for followers that lack them, and it is compressed.

use crate::{announcement, document, groups::demand, quarantine, rate, view};
use bincode::Options;
use bytes::Bytes;
use hyssopfork_wire::name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use std::{io, net};

quick_error! {
    /// Error when decoding an update.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes can't be decompressed.
        Damaged(cause: io::Error) {
            from()
            source(cause)
            display("could not decompress an update of the view, requesting the full view: {}", cause)
        }
        /// The bytes are not an update of this release.
        Malformed(cause: bincode::Error) {
            from()
            source(cause)
            display("could not read an update of the view, requesting the full view: {}", cause)
        }
        /// The update changes an upstream that this process doesn't know.
        UnknownUpstream(instance: name::Instance) {
            display("an update of the view changes {}, which is unknown here; requesting the full view", instance)
        }
    }
}

/// An encoded [`view::Update`], relative to the view of the follower that it is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta(Bytes);

/// Change of an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Change {
    /// It is new to the follower, or its process is.
    Added(view::Upstream),
    /// Only its state changed.
    Updated(State),
    /// It was removed.
    Removed,
}

/// The part of an upstream that changes while its process runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct State {
    draining: bool,
    cold: Duration,
    sequence: u64,
    loaded: Option<name::Model>,
    staged: Vec<name::Model>,
    membership: Option<announcement::Membership>,
    status: view::Status,
    last_model: Option<name::Model>,
    rate: Option<rate::Rate>,
}

/// A [`view::Update`] with the changes of upstreams as they are transferred.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Body {
    stamp: view::Stamp,
    is_full: bool,
    declared_version: u64,
    zones_out: BTreeSet<name::Zone>,
    plans: BTreeMap<name::Pool, demand::Basis>,
    upstreams: Vec<(name::Instance, Change)>,
    groups: Vec<(name::Group, Option<view::Group>)>,
    controls: Vec<net::SocketAddr>,
    entries: Vec<(net::SocketAddr, Option<()>)>,
    quarantine: Vec<(quarantine::Cause, Option<quarantine::Verdict>)>,
}

impl State {
    fn of(upstream: &view::Upstream) -> State {
        let announcement = &upstream.announcement;
        State {
            draining: announcement.draining,
            cold: announcement.cold,
            sequence: announcement.sequence,
            loaded: announcement.loaded.clone(),
            staged: announcement.staged.clone(),
            membership: announcement.membership.clone(),
            status: upstream.status,
            last_model: upstream.last_model.clone(),
            rate: upstream.rate,
        }
    }

    /// The upstream `known` in this state.
    fn apply(self, known: &view::Upstream) -> view::Upstream {
        let announcement = announcement::Announcement {
            draining: self.draining,
            cold: self.cold,
            sequence: self.sequence,
            loaded: self.loaded,
            staged: self.staged,
            membership: self.membership,
            ..known.announcement.clone()
        };
        let (status, last_model, rate) = (self.status, self.last_model, self.rate);
        view::Upstream { announcement, status, last_model, rate }
    }
}

impl Delta {
    /// Encodes an update. `is_known` tells whether the follower knows the properties of an upstream
    /// that only a restart changes.
    pub fn encode(update: &view::Update, is_known: impl Fn(&name::Instance) -> bool) -> Delta {
        let change = |(instance, upstream): &(name::Instance, Option<view::Upstream>)| {
            let change = match upstream {
                Some(upstream) if is_known(instance) => Change::Updated(State::of(upstream)),
                Some(upstream) => Change::Added(upstream.clone()),
                None => Change::Removed,
            };
            (instance.clone(), change)
        };
        let body = Body {
            stamp: update.stamp,
            is_full: update.is_full,
            declared_version: update.declared_version,
            zones_out: update.zones_out.clone(),
            plans: update.plans.clone(),
            upstreams: update.upstreams.iter().map(change).collect(),
            groups: update.groups.clone(),
            controls: update.controls.clone(),
            entries: update.entries.clone(),
            quarantine: update.quarantine.clone(),
        };
        let bytes = format().serialize(&body).expect("plain data can be serialized");
        let compressed = document::compress(&bytes, &[]).expect("writing to memory does not fail");
        Delta(Bytes::from(compressed))
    }

    /// Decodes the update for a follower that knows `upstreams`.
    pub fn decode(
        &self,
        upstreams: &BTreeMap<name::Instance, view::Upstream>,
    ) -> Result<view::Update, Error> {
        let bytes = document::decompress(&self.0, &[])?;
        let body: Body = format().deserialize(&bytes)?;
        let mut changes = Vec::with_capacity(body.upstreams.len());
        for (instance, change) in body.upstreams {
            let upstream = match change {
                Change::Added(upstream) => Some(upstream),
                Change::Updated(state) => match upstreams.get(&instance) {
                    Some(known) => Some(state.apply(known)),
                    None => return Err(Error::UnknownUpstream(instance)),
                },
                Change::Removed => None,
            };
            changes.push((instance, upstream));
        }
        Ok(view::Update {
            stamp: body.stamp,
            is_full: body.is_full,
            declared_version: body.declared_version,
            zones_out: body.zones_out,
            plans: body.plans,
            upstreams: changes,
            groups: body.groups,
            controls: body.controls,
            entries: body.entries,
            quarantine: body.quarantine,
        })
    }

    /// An update from its encoded bytes.
    pub fn from_bytes(bytes: &[u8]) -> Delta {
        Delta(Bytes::copy_from_slice(bytes))
    }

    /// The encoded bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Size of the encoded update, in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Integers take as many bytes as their value needs.
fn format() -> impl Options {
    bincode::DefaultOptions::new()
}
