//! How a process finds the leader of the replicated log and follows it.

use crate::{peer, view};
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time between two greetings to everybody while no leader is known. An election takes 0.6 s to
/// 1.5 s; a tenth of that is lost on average before the new leader is known.
const GREETING_INTERVAL: Duration = Duration::from_millis(150);

/// Processes that are remembered, so that a wrong one that names others can't fill the memory.
const MAX_CONTROLS: usize = 64;

/// What a process knows of the others.
#[derive(Clone, Debug)]
pub struct Discovery {
    own_address: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    /// Processes with a data folder.
    controls: BTreeSet<net::SocketAddr>,
    leader: Option<net::SocketAddr>,
    last_greeting: Option<clock::Instant>,
    /// Leader that was asked for what is new, until it answers.
    watched: Option<net::SocketAddr>,
    /// Whether the leader is to be told all that is known.
    sends_known: bool,
    /// Where this process stands.
    pub stamp: view::Stamp,
}

impl Discovery {
    /// A process that knows its seeds alone.
    pub fn new(own_address: net::SocketAddr, seeds: Vec<net::SocketAddr>) -> Discovery {
        Discovery {
            own_address,
            seeds,
            controls: BTreeSet::new(),
            leader: None,
            last_greeting: None,
            watched: None,
            sends_known: false,
            stamp: view::Stamp::default(),
        }
    }

    /// Takes other seeds; what was learned of others stays.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.seeds = seeds;
    }

    /// Who leads, as far as is known.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.leader
    }

    /// Processes with a data folder that are known.
    pub fn controls(&self) -> &BTreeSet<net::SocketAddr> {
        &self.controls
    }

    /// Learns of processes with a data folder; returns whether any is new.
    pub fn add_controls(&mut self, controls: impl IntoIterator<Item = net::SocketAddr>) -> bool {
        let before = self.controls.len();
        for address in controls {
            if self.controls.len() < MAX_CONTROLS {
                self.controls.insert(address);
            }
        }
        self.controls.len() > before
    }

    /// Takes somebody's word for who leads.
    pub fn suggest_leader(&mut self, leader: Option<net::SocketAddr>) {
        if leader.is_some() && self.leader.is_none() {
            self.leader = leader;
        }
    }

    /// Takes in who leads, as this process's own part of the log knows.
    pub fn set_leader(&mut self, leader: Option<net::SocketAddr>) {
        if leader.is_some() {
            self.leader = leader;
        }
    }

    /// The leader did not answer, or said that it is none.
    pub fn forget_leader(&mut self, leader: net::SocketAddr, hint: Option<net::SocketAddr>) {
        self.watched = self.watched.filter(|asked| *asked != leader);
        if self.leader == Some(leader) {
            self.leader = hint.filter(|hint| *hint != leader);
        }
    }

    /// The leader lacks what this process knows.
    pub fn on_state_requested(&mut self, leader: net::SocketAddr) {
        self.watched = self.watched.filter(|asked| *asked != leader);
        self.sends_known = true;
    }

    /// Whom to greet now: everybody, while nobody is known to lead.
    pub fn due_greetings(&mut self, now: clock::Instant) -> Vec<net::SocketAddr> {
        let is_due =
            self.last_greeting.is_none_or(|greeted| now.since(greeted) >= GREETING_INTERVAL);
        if self.leader.is_some() || !is_due {
            return Vec::new();
        }
        self.last_greeting = Some(now);
        let known: BTreeSet<net::SocketAddr> = self
            .seeds
            .iter()
            .chain(&self.controls)
            .copied()
            .filter(|it| *it != self.own_address)
            .collect();
        known.into_iter().collect()
    }

    /// Whom to ask for what is new, if nobody is being asked; and whether to tell it all that is known.
    pub fn start_watch(&mut self) -> Option<(net::SocketAddr, bool)> {
        let leader = self.leader.filter(|leader| *leader != self.own_address)?;
        if self.watched.is_some() {
            return None;
        }
        self.watched = Some(leader);
        Some((leader, std::mem::take(&mut self.sends_known)))
    }

    /// The leader answered.
    pub fn on_updated(&mut self, leader: net::SocketAddr, update: &view::Update) {
        self.watched = self.watched.filter(|asked| *asked != leader);
        self.stamp = update.stamp;
        self.add_controls(update.controls.iter().copied());
    }
}

/// The greeting of a process.
pub fn greeting(
    discovery: &Discovery,
    leader: Option<net::SocketAddr>,
    founder: Option<net::SocketAddr>,
) -> peer::Greeting {
    let controls = discovery.controls.iter().copied().collect();
    peer::Greeting { leader, controls, founder }
}
