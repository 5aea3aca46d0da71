//! Events: inputs of the core.

use hyssopfork_wire::{attempt, clock, control, member, number};

/// Health of the upstream as reported by a probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Incarnation that the upstream reports, if it reports one.
    pub incarnation: Option<String>,
    /// Number of running requests that it reports, if it reports one.
    pub running: Option<u32>,
    /// Newest fencing number that it was loaded under, if it reports one.
    pub loaded: Option<number::Fence>,
}

/// Why the upstream's response is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection failed before any byte of the request was sent.
    Unreachable,
    /// The connection ended, or the response violated its framing, after bytes of the request were
    /// sent.
    Broken,
}

/// Event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; occurs at least every [`super::action::TICK_INTERVAL`].
    Tick,
    /// A call to control ended.
    ControlResponded {
        /// Number of the call, from [`super::action::Action::CallControl`].
        call: u64,
        /// Response; `None` if the call failed or timed out.
        response: Option<control::Response>,
    },
    /// The group's first member requests a grant; the core responds with exactly one
    /// [`super::action::Action::ReplyGrant`].
    GrantRequested {
        /// Number of the call, assigned by the process.
        call: u64,
        /// Request.
        request: member::Request,
    },
    /// A grant request to another member ended.
    GrantResponded {
        /// Number of the call, from [`super::action::Action::RequestGrant`].
        call: u64,
        /// Response; `None` if the call failed or timed out.
        response: Option<member::Response>,
    },
    /// An entry offers an attempt. An attempt with a known identifier is resumed, not started
    /// again; the core decides which, and the process transfers the bytes.
    OfferArrived(attempt::Offer),
    /// The upstream's connection is open and the first byte of the attempt is about to be written.
    /// The core checks admission again, with a new reading of the clock, and responds at once with
    /// [`super::action::Action::Forward`] or [`super::action::Action::Reject`].
    Connected(attempt::Identifier),
    /// As [`Event::Connected`], for an engine. Its process has reported its health on this
    /// connection, which ends with the process, so no other process can receive the attempt.
    EngineConnected {
        /// Attempt.
        attempt: attempt::Identifier,
        /// When the health was requested, on the clock of the steps.
        sent_at: clock::Instant,
        /// Health.
        health: Health,
    },
    /// An entry cancels an attempt; the core responds with exactly one
    /// [`super::action::Action::ReplyCancel`].
    CancelRequested {
        /// Number of the call, assigned by the process.
        call: u64,
        /// Attempt.
        attempt: attempt::Identifier,
        /// Boot of the agent process that the attempt was offered to.
        boot: u64,
    },
    /// The first byte of the upstream's response arrived.
    ResponseStarted(attempt::Identifier),
    /// The upstream's response is complete.
    ResponseCompleted(attempt::Identifier),
    /// The upstream's response failed and will not be complete.
    ResponseFailed(attempt::Identifier, Fault),
    /// A probe of the upstream ended; `None` if it did not respond. Counts as sent now: use
    /// [`Event::ProbedAt`] if the response may have waited to be read.
    Probed(Option<Health>),
    /// A probe of the upstream ended. Its response describes the time at which the probe was sent:
    /// one that is read after a pause of the process may be stale.
    ProbedAt {
        /// When the probe was sent, on the clock of the steps.
        sent_at: clock::Instant,
        /// Health; `None` if the upstream did not respond.
        health: Option<Health>,
    },
    /// The engine responded to an order to load.
    LoadFinished {
        /// Fencing number of the order.
        fence: number::Fence,
        /// Whether the model is loaded; `false` if the engine rejected the order or failed.
        succeeded: bool,
    },
    /// The process was asked to stop gracefully; a second time, to stop at once.
    Stop,
}
