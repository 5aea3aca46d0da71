//! Calls between the system's own processes.

use crate::{announcement, document, quarantine, rate, view};
use hyssopfork_wire::{consensus, envelope, name};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// A process makes itself known and asks who leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Where it takes peers' calls.
    pub address: net::SocketAddr,
    /// Whether it has a data folder and can hold the replicated log.
    pub has_folder: bool,
    /// Whether its folder is blank and it takes part in the system's first start: it may form the
    /// log when it is named.
    pub may_bootstrap: bool,
}

/// Answer to a [`Hello`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who leads, as far as is known.
    pub leader: Option<net::SocketAddr>,
    /// Processes that hold or may hold the replicated log.
    pub controls: Vec<net::SocketAddr>,
    /// The process that is to form the log; named by one process alone, and never two.
    pub founder: Option<net::SocketAddr>,
}

/// What an entry saw of the upstreams since it last told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Upstreams on which every request stands still, or that can't be reached.
    pub stalled: Vec<name::Instance>,
    /// Upstreams from which bytes came lately, and how long ago.
    pub progressing: Vec<(name::Instance, Duration)>,
    /// Upstreams with requests of this entry in flight.
    pub busy: Vec<name::Instance>,
    /// Whether requests of callers have come.
    pub traffic: bool,
    /// Processes that ended lately under requests of this entry. Told more than once: a message may be
    /// lost.
    pub crashes: Vec<quarantine::Crash>,
    /// Requests that completed lately though others of the same content were in flight at crashes.
    pub completions: Vec<quarantine::Completion>,
    /// Rate limits that upstreams named lately to this entry.
    pub rates: Vec<rate::Change>,
}

impl Evidence {
    /// Whether the leader had better know at once.
    pub fn is_urgent(&self) -> bool {
        !self.stalled.is_empty()
            || !self.crashes.is_empty()
            || !self.completions.is_empty()
            || !self.rates.is_empty()
    }
}

/// Asks for what is new; held until something is, or a while has passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// Who asks.
    pub from: net::SocketAddr,
    /// Where the asker stands.
    pub stamp: view::Stamp,
    /// What it holds of declarations.
    pub document: document::Progress,
    /// All that it knows of upstreams and groups, after an [`Answer::Inquiry`]: a leader that has just
    /// started knows less than those who followed the one before.
    pub known: Option<KnownState>,
    /// What it saw.
    pub evidence: Evidence,
}

/// What a follower knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Upstreams.
    pub upstreams: Vec<view::Upstream>,
    /// Groups.
    pub groups: Vec<(name::Group, view::Group)>,
    /// Entries.
    pub entries: Vec<net::SocketAddr>,
    /// Requests that are suspected or quarantined.
    pub quarantine: Vec<(quarantine::Fingerprint, quarantine::Verdict)>,
}

/// Answer to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// What leads the asker on.
    Updated(Box<view::Update>),
    /// This process leads and lacks what the asker knows of the terms before: ask again and say it.
    StateRequested,
    /// This process doesn't lead; who does, as far as is known.
    NotLeader(Option<net::SocketAddr>),
}

/// A call of an upstream that another process took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Registration {
    /// It announced itself.
    Announced(Box<announcement::Announcement>),
    /// It left.
    Departed(name::Instance),
}

/// Service of every process.
#[tarpc::service]
pub trait Peer {
    /// Delivers a message of the replicated log; the answer only says that it arrived.
    async fn deliver(message: envelope::Envelope<consensus::Packet>);
    /// Takes a process's greeting.
    async fn greet(hello: envelope::Envelope<Hello>) -> Greeting;
    /// Tells what is new.
    async fn watch(watch: envelope::Envelope<Watch>) -> Answer;
    /// Takes what an entry saw, without waiting for its next watch.
    async fn note(from: net::SocketAddr, evidence: envelope::Envelope<Evidence>);
    /// Asks an upstream for a sign of life, in the place of a leader that gets none; whether it gave
    /// one.
    async fn probe(address: envelope::Envelope<net::SocketAddr>) -> bool;
    /// Takes an upstream's call in the leader's place; whether the leader has it.
    async fn register(registration: envelope::Envelope<Registration>) -> bool;
}
