//! Attempts of this entry, each with its own state machine.

use hyssopfork_wire::{attempt, clock, name, number};
use std::collections::BTreeMap;
use std::net;

/// How far an attempt has come, as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The offer was sent and nothing was heard: it may run at any moment.
    Offered,
    /// The agent handed it to the upstream.
    Started,
    /// The answer's head came.
    Headed,
    /// Its answer is being forwarded to the caller.
    Forwarding,
}

impl State {
    fn may_turn(self, next: State) -> bool {
        match (self, next) {
            (State::Offered, State::Started | State::Headed)
            | (State::Started, State::Headed)
            | (State::Headed, State::Forwarding) => true,
            (
                State::Offered | State::Started | State::Headed | State::Forwarding,
                State::Offered | State::Started | State::Headed | State::Forwarding,
            ) => false,
        }
    }
}

/// Where an attempt was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Instance whose agent has it.
    pub instance: name::Instance,
    /// Where the agent takes attempts.
    pub traffic: net::SocketAddr,
    /// Boot of the agent's process.
    pub boot: u64,
    /// Group and fencing number.
    pub group: Option<(name::Group, number::Fence)>,
    /// Whether the back end can resume a stream.
    pub resumes: bool,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request that it is for.
    pub request: u64,
    /// Where it was offered.
    pub place: Place,
    /// How far it has come.
    pub state: State,
    /// When it was offered.
    pub sent: clock::Instant,
    /// Whether a cancel was sent.
    pub cancelled: bool,
}

impl Attempt {
    /// Moves on to `next`.
    pub fn turn(&mut self, next: State) {
        assert!(self.state.may_turn(next), "an attempt goes {:?} to {next:?}", self.state);
        self.state = next;
    }
}

/// Attempts in flight.
///
/// Invariant: an identifier is never used twice by one process; events for one that is not in
/// flight are late copies and change nothing.
#[derive(Clone, Debug)]
pub struct Attempts {
    boot: u64,
    count: u64,
    live: BTreeMap<attempt::Identifier, Attempt>,
}

impl Attempts {
    /// No attempts, of the process that drew `boot` at its start.
    pub fn new(boot: u64) -> Attempts {
        Attempts { boot, count: 0, live: BTreeMap::new() }
    }

    /// A new identifier.
    pub fn draw(&mut self) -> attempt::Identifier {
        self.count += 1;
        attempt::Identifier { boot: self.boot, count: self.count }
    }

    /// Takes in an attempt that is being offered.
    pub fn insert(&mut self, identifier: attempt::Identifier, attempt: Attempt) {
        let before = self.live.insert(identifier, attempt);
        assert!(before.is_none(), "an identifier is offered once");
    }

    /// The attempt, while it is in flight.
    pub fn get(&self, identifier: attempt::Identifier) -> Option<&Attempt> {
        self.live.get(&identifier)
    }

    /// The attempt, while it is in flight.
    pub fn get_mut(&mut self, identifier: attempt::Identifier) -> Option<&mut Attempt> {
        self.live.get_mut(&identifier)
    }

    /// Takes the attempt out of flight.
    pub fn remove(&mut self, identifier: attempt::Identifier) -> Option<Attempt> {
        self.live.remove(&identifier)
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}
