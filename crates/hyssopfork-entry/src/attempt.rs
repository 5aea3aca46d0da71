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
    HeadReceived,
    /// Its answer is being forwarded to the caller.
    Forwarding,
}

impl State {
    fn can_transition_to(self, next: State) -> bool {
        match (self, next) {
            (State::Offered, State::Started | State::HeadReceived)
            | (State::Started, State::HeadReceived)
            | (State::HeadReceived, State::Forwarding) => true,
            (
                State::Offered | State::Started | State::HeadReceived | State::Forwarding,
                State::Offered | State::Started | State::HeadReceived | State::Forwarding,
            ) => false,
        }
    }
}

/// Where an attempt was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Instance whose agent has it.
    pub instance: name::Instance,
    /// Where the agent takes attempts.
    pub traffic_address: net::SocketAddr,
    /// Boot of the agent's process.
    pub boot: u64,
    /// Group and fencing number.
    pub group: Option<(name::Group, number::Fence)>,
    /// Whether the back end can resume a stream.
    pub can_resume: bool,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request that it is for.
    pub request: u64,
    /// Where it was offered.
    pub destination: Destination,
    /// How far it has come.
    pub state: State,
    /// When it was offered.
    pub sent_at: clock::Instant,
    /// Whether a cancel was sent.
    pub cancel_sent: bool,
}

impl Attempt {
    /// Moves on to `next`.
    pub fn transition_to(&mut self, next: State) {
        assert!(
            self.state.can_transition_to(next),
            "an attempt can't go from {:?} to {next:?}",
            self.state
        );
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
    last_count: u64,
    in_flight: BTreeMap<attempt::Identifier, Attempt>,
}

impl Attempts {
    /// No attempts, of the process that drew `boot` at its start.
    pub fn new(boot: u64) -> Attempts {
        Attempts { boot, last_count: 0, in_flight: BTreeMap::new() }
    }

    /// A new identifier.
    pub fn next_identifier(&mut self) -> attempt::Identifier {
        self.last_count += 1;
        attempt::Identifier { boot: self.boot, count: self.last_count }
    }

    /// Takes in an attempt that is being offered.
    pub fn insert(&mut self, identifier: attempt::Identifier, attempt: Attempt) {
        let previous = self.in_flight.insert(identifier, attempt);
        assert!(previous.is_none(), "an attempt identifier is used only once");
    }

    /// The attempt, while it is in flight.
    pub fn get(&self, identifier: attempt::Identifier) -> Option<&Attempt> {
        self.in_flight.get(&identifier)
    }

    /// The attempt, while it is in flight.
    pub fn get_mut(&mut self, identifier: attempt::Identifier) -> Option<&mut Attempt> {
        self.in_flight.get_mut(&identifier)
    }

    /// Takes the attempt out of flight.
    pub fn remove(&mut self, identifier: attempt::Identifier) -> Option<Attempt> {
        self.in_flight.remove(&identifier)
    }

    /// Whether none is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
