//! What a process's control does about an event.

use crate::{declaration, document, groups, notice, peer, view};
use hyssopfork_consensus::write;
use hyssopfork_wire::{consensus, name};
use std::net;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two ticks: the replicated log's rules ask for it.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time for which a watch is held. Its answer also tells that the leader is alive.
pub const MAX_WATCH_HOLD: Duration = Duration::from_millis(400);

/// Time after which an unanswered watch has failed: the leader or the connection is lost.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// It is done and will last.
    Done,
    /// It is not done here; who leads, as far as is known.
    NotLeader(Option<net::SocketAddr>),
    /// Whether it is done is not known: ask again.
    Unknown,
    /// It is too large for the log.
    TooLarge,
    /// The declaration in force.
    Document(document::Document),
    /// Who leads; an upstream's call is done, and later ones had better go there.
    Registered(net::SocketAddr),
    /// Answer to a greeting.
    Greeting(peer::Greeting),
    /// Answer to a watch.
    Watched(peer::Answer),
}

impl Reply {
    /// Bytes of a declaration that it carries to a follower.
    pub fn document_bytes(&self) -> usize {
        match self {
            Reply::Watched(peer::Answer::Updated(update)) => {
                update.document.as_ref().map_or(0, |part| part.bytes.len())
            }
            _ => 0,
        }
    }
}

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message of the log; it may be lost.
    Send(consensus::Packet),
    /// Write to the journal and sync, then report [`crate::event::Event::Persisted`].
    Persist(write::Write),
    /// Reply to a call.
    Reply(u64, Reply),
    /// Greet a peer.
    Greet(net::SocketAddr, peer::Hello),
    /// Ask the leader for what is new.
    Watch(net::SocketAddr, Box<peer::Watch>),
    /// Pass an upstream's call on to the leader.
    Relay {
        /// The call.
        call: u64,
        /// The leader.
        to: net::SocketAddr,
        /// What the upstream said.
        registration: peer::Registration,
    },
    /// Tell the leader what this process's entry saw.
    SendEvidence(net::SocketAddr, peer::Evidence),
    /// Give an order to an upstream.
    Order(groups::order::Order),
    /// Ask an upstream for a sign of life.
    Probe(name::Instance, net::SocketAddr),
    /// Ask an engine for its report.
    RequestReport(name::Instance, net::SocketAddr),
    /// Have a peer ask an upstream for a sign of life.
    ProbeViaPeer {
        /// The peer.
        peer: net::SocketAddr,
        /// The upstream.
        instance: name::Instance,
        /// Where the upstream listens.
        address: net::SocketAddr,
    },
    /// Hand what is new to this process's entry.
    Publish(Box<view::Update>, Option<Arc<declaration::Declaration>>),
    /// Log a numbered event.
    Notice(notice::Notice),
}
