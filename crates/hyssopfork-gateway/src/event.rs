//! What happens to an entry.

use crate::{arrival, load};
use hyssopfork_fleet::{declaration, quarantine, rate, view};
use std::sync::Arc;

/// Head of an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// What the upstream says of its load.
    pub load: Option<load::Report>,
    /// Rate that it takes of the whole fleet; `None` where it names none.
    pub rate: Option<rate::Rate>,
}

/// Why an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The upstream says that it has not run the request, and is full or leaving.
    NotRun,
    /// Another upstream has the address; it has not run the request.
    #[strum(serialize = "stranger")]
    WrongInstance,
    /// The connection broke off.
    #[strum(serialize = "broken")]
    ConnectionLost,
    /// What came is no answer to the request.
    #[strum(serialize = "wrong")]
    InvalidResponse,
}

impl Fault {
    /// Whether the request surely has not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::NotRun | Fault::WrongInstance)
    }
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes every [`crate::action::TICK`].
    Tick,
    /// What is new in the fleet, and the declaration where it is.
    ViewUpdated(Box<view::Update>, Option<Arc<declaration::Declaration>>),
    /// A request arrived.
    Arrived(u64, Box<arrival::Arrival>),
    /// The head of a stream's answer came, in answer to its newest attempt.
    HeadReceived(u64, Head),
    /// Events of the stream came; the last one's identifier.
    EventsReceived(u64, Option<u64>),
    /// A whole answer came, that has not gone to the caller.
    ResponseReceived(u64, Head),
    /// The whole answer has gone to the caller.
    StreamCompleted(u64),
    /// The newest attempt failed.
    AttemptFailed(u64, Fault, Option<load::Report>),
    /// A process was probed; whether its address refuses connections.
    Probed(quarantine::Process, bool),
    /// Nothing came for the time that was last given.
    IdleTimeout(u64),
    /// The time for which the request may wait for a place is over.
    QueueTimeout(u64),
    /// The request's time is over.
    DeadlineExceeded(u64),
    /// The caller went away.
    ClientDisconnected(u64),
    /// The process is to stop.
    Stop,
}

impl Event {
    /// Number of the request that it is about.
    pub fn request(&self) -> Option<u64> {
        match self {
            Event::Arrived(number, _)
            | Event::HeadReceived(number, _)
            | Event::EventsReceived(number, _)
            | Event::ResponseReceived(number, _)
            | Event::StreamCompleted(number)
            | Event::AttemptFailed(number, ..)
            | Event::IdleTimeout(number)
            | Event::QueueTimeout(number)
            | Event::DeadlineExceeded(number)
            | Event::ClientDisconnected(number) => Some(*number),
            Event::Tick | Event::ViewUpdated(..) | Event::Probed(..) | Event::Stop => None,
        }
    }
}
