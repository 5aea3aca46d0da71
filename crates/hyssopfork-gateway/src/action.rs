//! What an entry does about an event.

use crate::{measurement, notice};
use hyssopfork_fleet::{peer, quarantine};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Time between two ticks, which also bounds the age of what the leader is told.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// This process knows no declaration yet.
    NotReady,
    /// No route covers the request.
    NoRoute,
    /// It shows no key that is known.
    #[strum(serialize = "no_key")]
    Unauthorized,
    /// No upstream is there for it.
    NoUpstream,
    /// The upstreams are full.
    Overloaded,
    /// Upstreams crash when they run it.
    Quarantined,
    /// The upstreams that were tried did not take it.
    #[strum(serialize = "not_taken")]
    NotAccepted,
    /// Its time was over before an upstream had it.
    TooLate,
    /// Its time was over while an upstream had it.
    TimedOut,
    /// The upstream failed; the work may have run.
    Failed,
}

impl Reason {
    /// Whether the request surely has not run and never will.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Reason::TimedOut | Reason::Failed)
    }
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// A refusal for `reason`.
    pub const fn new(reason: Reason, retry_after: Option<Duration>) -> Rejection {
        Rejection { reason, retry_after }
    }
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Upstream; another at the address refuses the request.
    pub instance: name::Instance,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Team of the caller.
    pub team: Option<name::Team>,
    /// When the request's time is over.
    pub deadline: clock::Instant,
    /// Last event that the caller has, or that an earlier attempt delivered.
    pub last_event: Option<u64>,
    /// Whether the connection must be new: on one that was used before, the upstream may have
    /// closed it just now, and whether the request ran would not be known.
    pub new_connection: bool,
    /// Whether the answer is a stream of events.
    pub is_event_stream: bool,
    /// Silence after which to ask what to do.
    pub idle_timeout: Duration,
}

/// What is to be done about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make an attempt; an earlier one ends here.
    Start(Box<Start>),
    /// Forward the stream.
    ForwardStream,
    /// Deliver the whole answer.
    ForwardResponse,
    /// Wait on; ask again after this long without bytes.
    Wait(Duration),
    /// Hold the request until another decision about it comes, or ask again after this long.
    Queue(Duration),
    /// Refuse.
    Reject(Rejection),
    /// Break the answer off, so that it can't look whole.
    Abort,
}

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Do this about a request.
    Decide(u64, Decision),
    /// Open a connection to the process's address, to learn whether it refuses any.
    Probe(quarantine::Process, net::SocketAddr),
    /// Tell the leader what was seen.
    Report(peer::Evidence),
    /// Measure a request that ended.
    Measure(measurement::Measurement),
    /// Log a numbered event.
    Notice(notice::Notice),
}
