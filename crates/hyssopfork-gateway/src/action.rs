//! Actions that an entry takes in response to events.

use crate::{measurement, notice, occupancy};
use hyssopfork_fleet::{peer, quarantine};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Interval between ticks, which also bounds the age of the evidence that the leader receives.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Why a request was rejected or its response aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// This process holds no declaration yet, or one that may be stale.
    NotReady,
    /// No route matches the request.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    #[strum(serialize = "no_key")]
    Unauthorized,
    /// No upstream is available for the request.
    NoUpstream,
    /// Every upstream is at its limit.
    Overloaded,
    /// The request needs more memory than a group of its model has.
    TooLarge,
    /// Every upstream has asked this entry for a pause.
    Paused,
    /// This process holds too many bytes for other requests.
    Memory,
    /// Upstreams crash when they run this request.
    Quarantined,
    /// None of the upstreams that were tried accepted the request.
    #[strum(serialize = "not_taken")]
    NotAccepted,
    /// The deadline passed before the request was sent to an upstream.
    TooLate,
    /// The deadline passed while the request was in flight at an upstream.
    TimedOut,
    /// The upstream failed; the work may have run.
    Failed,
}

impl Reason {
    /// Whether the request is certain not to have run, and will never run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Reason::TimedOut | Reason::Failed)
    }
}

/// Rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Reason for the rejection.
    pub reason: Reason,
    /// Time after which the client should retry.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection.
    pub const fn new(reason: Reason, retry_after: Option<Duration>) -> Rejection {
        Rejection { reason, retry_after }
    }
}

/// An attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Upstream. Another one at the same address rejects the request.
    pub instance: name::Instance,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Team of the client.
    pub team: Option<name::Team>,
    /// Priority among the requests that wait at the upstream, 0 for the first; `None` for the
    /// upstream's default.
    pub priority: Option<u8>,
    /// Deadline of the request.
    pub deadline: clock::Instant,
    /// Last event that the client has received, or that an earlier attempt delivered.
    pub last_event: Option<u64>,
    /// Whether a new connection is required. The upstream may just have closed a reused one, and
    /// whether the request ran would then be unknown.
    pub new_connection: bool,
    /// Whether the response is an event stream.
    pub is_event_stream: bool,
    /// Time without bytes after which the core is asked what to do.
    pub idle_timeout: Duration,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start an attempt; the previous one ends.
    Start(Box<Start>),
    /// Forward the stream or large response to the client as it arrives.
    ForwardStream,
    /// Forward the complete response to the client.
    ForwardResponse,
    /// Keep waiting; report an idle timeout after this time without bytes.
    Wait(Duration),
    /// Queue the request until another decision about it follows; report a queue timeout after this
    /// time.
    Queue(Duration),
    /// Reject the request.
    Reject(Rejection),
    /// Abort the response, so that a partial one can't be taken for a complete one.
    Abort,
}

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Carry out the decision about the request with this number.
    Decide(u64, Decision),
    /// Connect to the address of the process, to learn whether it refuses connections.
    Probe(quarantine::Process, net::SocketAddr),
    /// Send evidence to the leader.
    Report(peer::Evidence),
    /// Record the measurement of a finished request.
    Measure(measurement::Measurement),
    /// Send counts to the entry with this address.
    SendCounts(net::SocketAddr, occupancy::Message),
    /// Count a message of another entry that was dropped.
    CountsDropped,
    /// Record the age of a total that a request was sent by.
    ObserveTotalAge(Duration),
    /// Log a numbered event.
    Notice(notice::Notice),
}
