//! Actions that the control state machine returns.

use crate::{declaration, document, groups, notice, peer, relays, view};
use hyssopfork_consensus::write;
use hyssopfork_wire::{clock, consensus, name};
use std::net;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two ticks, as required by the consensus protocol.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which a watch is held. Its answer also shows that the leader is alive.
pub const MAX_WATCH_HOLD: Duration = Duration::from_millis(400);

/// Time after which an unanswered watch counts as failed, because the leader or the connection is
/// lost.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The call is done and its effect is durable.
    Done,
    /// The call is not done, since this process is not the leader; the leader, if known.
    NotLeader(Option<net::SocketAddr>),
    /// The outcome is unknown; the client is to retry.
    Unknown,
    /// The declaration is too large for the log.
    TooLarge,
    /// The declaration in force.
    Document(document::Document),
    /// The upstream's call is recorded; later calls should go to this leader.
    Registered(net::SocketAddr),
    /// Answer to a greeting.
    Greeting(peer::Greeting),
    /// Answer to a watch.
    Watched(peer::Answer),
}

impl Reply {
    /// Bytes of a declaration that the reply carries to a follower.
    pub fn document_bytes(&self) -> usize {
        match self {
            Reply::Watched(
                peer::Answer::Updated { part, .. } | peer::Answer::Delayed { part, .. },
            ) => part.as_ref().map_or(0, |part| part.bytes.len()),
            _ => 0,
        }
    }

    /// Bytes of an update of the view that the reply carries to a follower.
    pub fn update_bytes(&self) -> usize {
        match self {
            Reply::Watched(peer::Answer::Updated { delta, .. }) => delta.size(),
            _ => 0,
        }
    }
}

/// An action to be executed by the process.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a consensus message; it may be lost.
    Send(consensus::Packet),
    /// Write to the journal and sync, then report [`crate::event::Event::Persisted`].
    Persist(write::Write),
    /// Save the view in the data folder, for the next process that opens it. It may be lost.
    SaveView(Box<view::Update>),
    /// Reply to a call.
    Reply(u64, Reply),
    /// Greet a peer.
    Greet(net::SocketAddr, peer::Hello),
    /// Introduce this process to a peer; it may be lost.
    Introduce(net::SocketAddr, peer::Introduction),
    /// Send a watch to the leader.
    Watch(net::SocketAddr, Box<peer::Watch>),
    /// Relay an upstream's call to the leader.
    Relay {
        /// The call.
        call: u64,
        /// The leader.
        to: net::SocketAddr,
        /// The upstream's registration.
        registration: peer::Registration,
    },
    /// Relay announcements of upstreams that are not draining to the leader.
    RelayBatch(net::SocketAddr, relays::Batch),
    /// Send the evidence of this process's entry to the leader.
    SendEvidence(net::SocketAddr, peer::Evidence),
    /// Send an order to an upstream.
    Order(groups::order::Order),
    /// Probe an upstream.
    Probe(name::Instance, net::SocketAddr, groups::order::Probe),
    /// Request a report from an engine.
    RequestReport(name::Instance, net::SocketAddr),
    /// Have a peer probe an upstream (indirect probe).
    ProbeViaPeer {
        /// The peer.
        peer: net::SocketAddr,
        /// The upstream.
        instance: name::Instance,
        /// Address of the upstream.
        address: net::SocketAddr,
    },
    /// Tell this process's entry which declaration was the newest at a time.
    Confirm {
        /// No declaration newer than `newest_version` was acknowledged before this time.
        confirmed_at: clock::Instant,
        /// Version of the newest accepted declaration; 0 for none.
        newest_version: u64,
    },
    /// Pass an update to this process's entry.
    Publish(Box<view::Update>, Option<Arc<declaration::Declaration>>),
    /// Pass a declaration to this process's entry ahead of the update that it belongs to.
    Declare(Arc<declaration::Declaration>),
    /// Log a numbered event.
    Notice(notice::Notice),
}
