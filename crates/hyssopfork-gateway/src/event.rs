//! Events that an entry handles.

use crate::{arrival, load, occupancy, response};
use hyssopfork_fleet::{declaration, quarantine, rate, view};
use hyssopfork_wire::clock;
use std::net;
use std::sync::Arc;

/// Head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Load that the upstream reports.
    pub load: Option<load::Report>,
    /// Rate limit that the upstream names for the whole fleet; `None` if it names none.
    pub rate: Option<rate::Rate>,
    /// Pause that the upstream asks for.
    pub pause: response::Pause,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
}

impl Head {
    /// A head in which the upstream states nothing about itself.
    pub const fn new(status: u16) -> Head {
        Head { status, load: None, rate: None, pause: response::Pause::None, leaving: false }
    }
}

/// Why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The upstream is full or leaving, and states that it has not run the request.
    NotRun,
    /// A different upstream has this address; it has not run the request.
    #[strum(serialize = "stranger")]
    WrongInstance,
    /// The connection was lost.
    #[strum(serialize = "broken")]
    ConnectionLost,
    /// The response is not a valid response to this request.
    #[strum(serialize = "wrong")]
    InvalidResponse,
    /// The upstream stopped reading the request's body.
    BodyNotRead,
    /// The upstream ended a response that the client had not read for some time, which is no fault
    /// of the upstream.
    ResponseNotRead,
}

impl Fault {
    /// Whether the request is certain not to have run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Fault::Unreachable | Fault::NotRun | Fault::WrongInstance)
    }
}

/// An event. The number identifies the request.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Occurs every [`crate::action::TICK_INTERVAL`].
    Tick,
    /// The leader stated which accepted declaration is the newest.
    VersionConfirmed {
        /// No declaration newer than `newest_version` was acknowledged before this time.
        confirmed_at: clock::Instant,
        /// Version of the newest accepted declaration; 0 for none.
        newest_version: u64,
    },
    /// A newer declaration arrived, ahead of the view that it belongs to.
    Declared(Arc<declaration::Declaration>),
    /// The fleet's view changed; with the declaration if that is new.
    ViewUpdated(Box<view::Update>, Option<Arc<declaration::Declaration>>),
    /// A request arrived.
    Arrived(u64, Box<arrival::Arrival>),
    /// The newest attempt received the head of a stream.
    HeadReceived(u64, Head),
    /// Complete events of the stream arrived; with the identifier of the last one.
    EventsReceived(u64, Option<u64>),
    /// A complete response arrived, of which nothing has been forwarded to the client.
    ResponseReceived(u64, Head),
    /// The first part of a complete response arrived that is too large to be buffered. Nothing has
    /// been forwarded to the client.
    LargeResponseReceived(u64, Head),
    /// The stream or large response has been forwarded to its end.
    StreamCompleted(u64),
    /// The newest attempt failed; with the head of the response if one arrived.
    AttemptFailed(u64, Fault, Option<Head>),
    /// A process was probed; true if its address refuses connections.
    Probed(quarantine::Process, bool),
    /// No bytes arrived within the idle timeout.
    IdleTimeout(u64),
    /// The queue timeout of the request passed.
    QueueTimeout(u64),
    /// The deadline of the request passed.
    DeadlineExceeded(u64),
    /// The client disconnected.
    ClientDisconnected(u64),
    /// [`occupancy::INTERVAL`] has passed.
    SharingInterval,
    /// Counts of the entry with this address arrived.
    CountsReceived(net::SocketAddr, occupancy::Message),
    /// The process is to stop.
    Stop,
}

impl Event {
    /// Number of the request that the event concerns.
    pub fn request(&self) -> Option<u64> {
        match self {
            Event::Arrived(number, _)
            | Event::HeadReceived(number, _)
            | Event::EventsReceived(number, _)
            | Event::ResponseReceived(number, _)
            | Event::LargeResponseReceived(number, _)
            | Event::StreamCompleted(number)
            | Event::AttemptFailed(number, ..)
            | Event::IdleTimeout(number)
            | Event::QueueTimeout(number)
            | Event::DeadlineExceeded(number)
            | Event::ClientDisconnected(number) => Some(*number),
            Event::Tick
            | Event::VersionConfirmed { .. }
            | Event::Declared(_)
            | Event::ViewUpdated(..)
            | Event::Probed(..)
            | Event::SharingInterval
            | Event::CountsReceived(..)
            | Event::Stop => None,
        }
    }
}
