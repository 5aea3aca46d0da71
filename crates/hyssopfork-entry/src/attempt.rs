//! Attempts in flight, each with a state machine of its own.

use hyssopfork_wire::{attempt, clock, name, number};
use std::collections::BTreeMap;
use std::net;

/// Progress of an attempt, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The offer was sent and nothing has been heard: the work may start at any moment.
    Offered,
    /// The agent sent the request to the upstream.
    Started,
    /// The head of the response has arrived.
    HeadReceived,
    /// The response is being forwarded to the client.
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

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    /// Instance whose agent receives the offer.
    pub instance: name::Instance,
    /// Address at which the agent accepts attempts.
    pub traffic_address: net::SocketAddr,
    /// Boot identifier of the agent process.
    pub boot: u64,
    /// Serving group and fencing number.
    pub group: Option<(name::Group, number::Fence)>,
    /// Whether the upstream can resume a stream.
    pub can_resume: bool,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Request that the attempt belongs to.
    pub request: u64,
    /// Where it was offered.
    pub destination: Destination,
    /// Progress.
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
/// Invariant: a process never uses an identifier twice. An event for an attempt that is not in
/// flight is a late duplicate and changes nothing.
#[derive(Clone, Debug)]
pub struct Attempts {
    boot: u64,
    last_count: u64,
    in_flight: BTreeMap<attempt::Identifier, Attempt>,
}

impl Attempts {
    /// No attempts, for the process with the boot identifier `boot`.
    pub fn new(boot: u64) -> Attempts {
        Attempts { boot, last_count: 0, in_flight: BTreeMap::new() }
    }

    /// A new identifier.
    pub fn next_identifier(&mut self) -> attempt::Identifier {
        self.last_count += 1;
        attempt::Identifier { boot: self.boot, count: self.last_count }
    }

    /// Adds an attempt that is being offered.
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

    /// Removes the attempt from those in flight.
    pub fn remove(&mut self, identifier: attempt::Identifier) -> Option<Attempt> {
        self.in_flight.remove(&identifier)
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }
}
