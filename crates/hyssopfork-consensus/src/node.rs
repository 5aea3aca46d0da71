//! The step function of one voter or learner.

use crate::{action, event, write};
use hyssopfork_wire::{clock, consensus, name, number, timing};
use std::time::Duration;

/// Longest command, in bytes.
pub const COMMAND_LIMIT: usize = 1 << 20;

/// What the journal holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Durable {
    /// Term and vote.
    pub ballot: write::Ballot,
    /// Newest snapshot.
    pub snapshot: Option<write::Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<consensus::Entry>,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Instances of the first voters, the same list at each of them. A process that is not listed
    /// asks these to be let in.
    pub voters: Vec<name::Instance>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Least silence before an election.
    pub election_timeout: Duration,
    /// Span of the random addition to it.
    pub election_spread: Duration,
    /// Term of the quorum lease; shorter than `election_timeout` by more than the clock-rate error.
    pub quorum_lease: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            voters: Vec::new(),
            heartbeat: timing::HEARTBEAT,
            election_timeout: timing::ELECTION_TIMEOUT,
            election_spread: timing::ELECTION_SPREAD,
            quorum_lease: timing::QUORUM_LEASE,
        }
    }
}

/// One voter or learner.
pub struct Node {
    identity: consensus::Voter,
    durable: Durable,
    settings: Settings,
}

impl Node {
    /// A node with what its journal recovered; `seed` gives its random numbers.
    pub fn new(
        identity: consensus::Voter,
        durable: Durable,
        settings: Settings,
        _seed: u64,
        _now: clock::Instant,
    ) -> Node {
        Node { identity, durable, settings }
    }

    /// Takes an event and gives the actions that answer it.
    pub fn step(&mut self, _now: clock::Instant, _event: event::Event) -> Vec<action::Action> {
        Vec::new()
    }

    /// Whether this node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.settings.voters.is_empty()
    }

    /// Newest term seen.
    pub fn term(&self) -> number::Term {
        self.durable.ballot.term
    }

    /// Voter that leads, as far as is known.
    pub fn leader(&self) -> Option<&consensus::Voter> {
        Some(&self.identity)
    }

    /// Committed index.
    pub fn committed(&self) -> number::Index {
        number::Index::default()
    }

    /// Voters, with vacant seats.
    pub fn voters(&self) -> &[consensus::Voter] {
        &[]
    }

    /// Until when no other node can lead; see [`Settings::quorum_lease`].
    pub fn quorum_lease(&self, _now: clock::Instant) -> Option<clock::Instant> {
        None
    }
}
