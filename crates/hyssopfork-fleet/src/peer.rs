//! Calls between processes of the system.

use crate::{announcement, delta, document, heartbeats, quarantine, rate, view};
use hyssopfork_wire::{consensus, envelope, name};
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Greeting: a process introduces itself and asks for the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Address at which it serves peers.
    pub address: net::SocketAddr,
    /// Whether it has a data folder and can become a voter.
    pub has_folder: bool,
    /// Whether it may form the log: its folder is blank and this is the system's first start.
    pub may_bootstrap: bool,
}

/// Description of a process with a data folder, sent beside its greetings and watches.
///
/// Releases that don't send it take superseded instances for voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introduction {
    /// Address at which it serves peers.
    pub address: net::SocketAddr,
    /// Its data folder.
    pub folder: Folder,
}

/// Data folder of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Folder {
    /// Availability zone of its instance.
    pub zone: name::Zone,
    /// Whether the process started with the system, or its folder has been that of a voter: it replaces
    /// no other one.
    pub is_initial: bool,
}

/// Answer to a [`Hello`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The leader, if known.
    pub leader: Option<net::SocketAddr>,
    /// Processes that are voters of the replicated log or may become voters.
    pub controls: Vec<net::SocketAddr>,
    /// The process that is to form the log. Only the first seed names one, and never two.
    pub founder: Option<net::SocketAddr>,
}

/// What an entry observed of the upstreams since it last reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Upstreams on which all requests are stalled, or that can't be reached.
    pub stalled: Vec<name::Instance>,
    /// Upstreams that sent bytes recently, and the time since.
    pub progressing: Vec<(name::Instance, Duration)>,
    /// Upstreams with requests of this entry in flight.
    pub busy: Vec<name::Instance>,
    /// Whether requests of clients have arrived.
    pub traffic: bool,
    /// Processes that crashed recently with requests of this entry in flight. Reported more than
    /// once, since a message may be lost.
    pub crashes: Vec<quarantine::Crash>,
    /// Requests that completed recently although others with the same content, or a part in common,
    /// were in flight at crashes.
    pub completions: Vec<quarantine::Completion>,
    /// Quarantined requests that were recently sent as trials.
    pub trials: Vec<quarantine::Trial>,
    /// Rate limits that upstreams recently set at this entry.
    pub rates: Vec<rate::Change>,
    /// Demand of this entry's clients for each model of engines.
    pub demands: Vec<Demand>,
    /// Processes that have stated in a response that they leave, and that the leader doesn't publish
    /// as leaving.
    pub leaving: Vec<quarantine::Process>,
}

/// Demand of an entry's clients for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Pool.
    pub pool: name::Pool,
    /// Model.
    pub model: name::Model,
    /// Requests that would run concurrently if none were rejected, in thousandths.
    pub concurrency_millis: u64,
}

impl Evidence {
    /// Whether to send it to the leader without waiting for the next watch.
    pub fn is_urgent(&self) -> bool {
        !self.stalled.is_empty()
            || !self.crashes.is_empty()
            || !self.completions.is_empty()
            || !self.trials.is_empty()
            || !self.rates.is_empty()
            || !self.leaving.is_empty()
    }
}

/// Long poll for an update: held until there is one or [`crate::action::MAX_WATCH_HOLD`] has
/// passed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watch {
    /// The follower.
    pub from: net::SocketAddr,
    /// Whether it has a data folder and can become a voter. Each watch states it, since the leader
    /// may have been greeted through another process or may have changed.
    pub has_folder: bool,
    /// Revision that the follower has.
    pub stamp: view::Stamp,
    /// Its progress in receiving declarations.
    pub document_progress: document::Progress,
    /// All that it knows of upstreams and groups, sent after [`Answer::StateRequested`]: a new
    /// leader knows less than the followers of the leader before.
    pub known: Option<KnownState>,
    /// What its entry observed.
    pub evidence: Evidence,
    /// Heartbeats that it has accepted since its last watch.
    pub heartbeats: Vec<heartbeats::Heartbeat>,
}

/// State that a follower knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Upstreams.
    pub upstreams: Vec<view::Upstream>,
    /// Groups.
    pub groups: Vec<(name::Group, view::Group)>,
    /// Entries.
    pub entries: Vec<net::SocketAddr>,
    /// Suspected and quarantined causes of crashes.
    pub quarantine: Vec<(quarantine::Cause, quarantine::Verdict)>,
}

/// Answer to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// An update from the follower's revision.
    Updated {
        /// The update.
        delta: delta::Delta,
        /// Next part of a declaration newer than the follower's.
        part: Option<document::Part>,
        /// Version of the newest accepted declaration; 0 for none.
        newest_version: u64,
    },
    /// This process leads, and its link has no capacity yet for the update that the follower lacks.
    Delayed {
        /// Next part of a declaration newer than the follower's.
        part: Option<document::Part>,
        /// Version of the newest accepted declaration; 0 for none.
        newest_version: u64,
    },
    /// This process leads and lacks state of earlier terms that the follower has; the next watch is
    /// to include it.
    StateRequested,
    /// This process is not the leader; the leader, if known.
    NotLeader(Option<net::SocketAddr>),
}

/// A call of an upstream, received by any process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Registration {
    /// It announced itself.
    Announced(Box<announcement::Announcement>),
    /// It departed.
    Departed(name::Instance),
}

/// RPC service of every process.
///
/// Processes of two releases work side by side, so the order of the calls and the encoding of their
/// parameters stay; a further call is the last, on connections of its own, since a process that doesn't
/// know it closes the connection.
#[tarpc::service]
pub trait Peer {
    /// Delivers a consensus message; the answer only confirms that it arrived.
    async fn deliver(message: envelope::Envelope<consensus::Packet>);
    /// Answers a process's greeting.
    async fn greet(hello: envelope::Envelope<Hello>) -> Greeting;
    /// Answers a watch with an update.
    async fn watch(watch: envelope::Envelope<Watch>) -> Answer;
    /// Delivers an entry's evidence without waiting for its next watch.
    async fn report_evidence(from: net::SocketAddr, evidence: envelope::Envelope<Evidence>);
    /// Probes an upstream for a leader that gets no answer from it; returns whether it answered.
    async fn probe(address: envelope::Envelope<net::SocketAddr>) -> bool;
    /// Relays announcements of upstreams that are not draining; returns whether the leader has
    /// recorded them.
    async fn announce(announcements: envelope::Envelope<Vec<announcement::Announcement>>) -> bool;
    /// Relays an upstream's call; returns whether the leader has recorded it.
    async fn register(registration: envelope::Envelope<Registration>) -> bool;
    /// Describes a process with a data folder.
    async fn introduce(introduction: envelope::Envelope<Introduction>);
}
