//! How a process finds the leader of the replicated log and follows it.

use crate::{peer, view};
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

/// Time between two greetings to everybody while no leader is known. An election takes 0.6 s to
/// 1.5 s; a tenth of that is lost on average before the new leader is known.
const GREET: Duration = Duration::from_millis(150);

/// Processes that are remembered, so that a wrong one that names others can't fill the memory.
const CONTACTS: usize = 64;

/// What a process knows of the others.
#[derive(Clone, Debug)]
pub struct Seeking {
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
    /// Processes with a data folder.
    controls: BTreeSet<net::SocketAddr>,
    leader: Option<net::SocketAddr>,
    greeted: Option<clock::Instant>,
    /// Leader that was asked for what is new, until it answers.
    asked: Option<net::SocketAddr>,
    /// Whether the leader is to be told all that is known.
    tells: bool,
    /// Where this process stands.
    pub have: view::Stamp,
}

impl Seeking {
    /// A process that knows its seeds alone.
    pub fn new(own: net::SocketAddr, seeds: Vec<net::SocketAddr>) -> Seeking {
        Seeking {
            own,
            seeds,
            controls: BTreeSet::new(),
            leader: None,
            greeted: None,
            asked: None,
            tells: false,
            have: view::Stamp::default(),
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
    pub fn learn(&mut self, controls: impl IntoIterator<Item = net::SocketAddr>) -> bool {
        let before = self.controls.len();
        for address in controls {
            if self.controls.len() < CONTACTS {
                self.controls.insert(address);
            }
        }
        self.controls.len() > before
    }

    /// Takes somebody's word for who leads.
    pub fn hear(&mut self, leader: Option<net::SocketAddr>) {
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
    pub fn lose(&mut self, leader: net::SocketAddr, hint: Option<net::SocketAddr>) {
        self.asked = self.asked.filter(|asked| *asked != leader);
        if self.leader == Some(leader) {
            self.leader = hint.filter(|hint| *hint != leader);
        }
    }

    /// The leader lacks what this process knows.
    pub fn on_inquiry(&mut self, leader: net::SocketAddr) {
        self.asked = self.asked.filter(|asked| *asked != leader);
        self.tells = true;
    }

    /// Whom to greet now: everybody, while nobody is known to lead.
    pub fn greet(&mut self, now: clock::Instant) -> Vec<net::SocketAddr> {
        let due = self.greeted.is_none_or(|greeted| now.since(greeted) >= GREET);
        if self.leader.is_some() || !due {
            return Vec::new();
        }
        self.greeted = Some(now);
        let known: BTreeSet<net::SocketAddr> =
            self.seeds.iter().chain(&self.controls).copied().filter(|it| *it != self.own).collect();
        known.into_iter().collect()
    }

    /// Whom to ask for what is new, if nobody is being asked; and whether to tell it all that is known.
    pub fn ask(&mut self) -> Option<(net::SocketAddr, bool)> {
        let leader = self.leader.filter(|leader| *leader != self.own)?;
        if self.asked.is_some() {
            return None;
        }
        self.asked = Some(leader);
        Some((leader, std::mem::take(&mut self.tells)))
    }

    /// The leader answered.
    pub fn answered(&mut self, leader: net::SocketAddr, update: &view::Update) {
        self.asked = self.asked.filter(|asked| *asked != leader);
        self.have = update.stamp;
        self.learn(update.controls.iter().copied());
    }
}

/// The greeting of a process.
pub fn greeting(
    seeking: &Seeking,
    leader: Option<net::SocketAddr>,
    founder: Option<net::SocketAddr>,
) -> peer::Greeting {
    let controls = seeking.controls.iter().copied().collect();
    peer::Greeting { leader, controls, founder }
}
