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
    Stranger,
    /// The connection broke off.
    Broken,
    /// What came is no answer to the request.
    Wrong,
}

impl Fault {
    /// Whether the request surely has not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::NotRun | Fault::Stranger)
    }
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes every [`crate::action::TICK`].
    Tick,
    /// What is new in the fleet, and the declaration where it is.
    Viewed(Box<view::Update>, Option<Arc<declaration::Declaration>>),
    /// A request arrived.
    Arrived(u64, Box<arrival::Arrival>),
    /// The head of a stream's answer came, in answer to its newest attempt.
    Headed(u64, Head),
    /// Events of the stream came; the last one's identifier.
    Moved(u64, Option<u64>),
    /// A whole answer came, that has not gone to the caller.
    Answered(u64, Head),
    /// The whole answer has gone to the caller.
    Ended(u64),
    /// The newest attempt failed.
    Failed(u64, Fault, Option<load::Report>),
    /// A process was probed; whether its address refuses connections.
    Probed(quarantine::Process, bool),
    /// Nothing came for the time that was last given.
    Quiet(u64),
    /// The time for which the request may wait for a place is over.
    Waited(u64),
    /// The request's time is over.
    Expired(u64),
    /// The caller went away.
    Gone(u64),
    /// The process is to stop.
    Stop,
}

impl Event {
    /// Number of the request that it is about.
    pub fn request(&self) -> Option<u64> {
        match self {
            Event::Arrived(number, _)
            | Event::Headed(number, _)
            | Event::Moved(number, _)
            | Event::Answered(number, _)
            | Event::Ended(number)
            | Event::Failed(number, ..)
            | Event::Quiet(number)
            | Event::Waited(number)
            | Event::Expired(number)
            | Event::Gone(number) => Some(*number),
            Event::Tick | Event::Viewed(..) | Event::Probed(..) | Event::Stop => None,
        }
    }
}
