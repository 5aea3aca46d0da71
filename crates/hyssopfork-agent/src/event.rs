//! What happens to an agent.

use hyssopfork_wire::{attempt, clock, control, member, number};

/// State of the back end as a probe found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// What the back end calls its own incarnation, where it says so.
    pub incarnation: Option<String>,
    /// Requests that it says are running, where it says so.
    pub running: Option<u32>,
    /// Newest fencing number that it was loaded under, where it says so.
    pub loaded: Option<number::Fence>,
}

/// Why the upstream's answer did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made: no byte of the request was sent.
    Unreachable,
    /// The connection ended, or the answer broke its own framing, after bytes were sent.
    Broken,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes at least every [`super::action::TICK`].
    Tick,
    /// A call to control was answered; `None` when it failed or its time ran out.
    ControlResponse {
        /// Number of the call, from [`super::action::Action::Control`].
        call: u64,
        /// The answer.
        response: Option<control::Response>,
    },
    /// The group's first member asks; answered by exactly one
    /// [`super::action::Action::ReplyStand`].
    GrantRequest {
        /// The shell's number of the call.
        call: u64,
        /// The request.
        request: member::Request,
    },
    /// Another member answered; `None` when the call failed or its time ran out.
    GrantResponse {
        /// Number of the call, from [`super::action::Action::Stand`].
        call: u64,
        /// The answer.
        response: Option<member::Response>,
    },
    /// An entry offers an attempt. A known identifier is taken up again, not started twice; the
    /// shell handles the bytes, the core says which.
    Offer(attempt::Offer),
    /// The shell is about to write the first byte of an attempt to the upstream and asks again:
    /// answered at once by [`super::action::Action::Forward`] or
    /// [`super::action::Action::Refuse`]. The clock was read anew.
    Connected(attempt::Identifier),
    /// An entry cancels an attempt; answered by exactly one
    /// [`super::action::Action::ReplyCancel`].
    CancelRequest {
        /// The shell's number of the call.
        call: u64,
        /// The attempt.
        attempt: attempt::Identifier,
        /// Boot of the agent's process that the attempt was offered to.
        boot: u64,
    },
    /// The first byte of the upstream's answer came.
    ResponseStarted(attempt::Identifier),
    /// The upstream's answer is whole.
    ResponseFinished(attempt::Identifier),
    /// The upstream's answer will not be whole.
    ResponseFailed(attempt::Identifier, Fault),
    /// A probe of the back end came back; `None` when it doesn't answer. Counts as sent now: use
    /// [`Event::ProbedAt`] where the answer may have waited.
    Probed(Option<Health>),
    /// A probe of the back end that was sent at `sent` came back. Its answer says what was true
    /// then: one that was read only after a pause of the process may be long out of date.
    ProbedAt {
        /// When the probe was sent, on the clock that steps are given.
        sent_at: clock::Instant,
        /// What it found; `None` when the back end doesn't answer.
        health: Option<Health>,
    },
    /// The engine answered an order to load; `false` when it refused or failed.
    LoadFinished {
        /// Fencing number of the order.
        fence: number::Fence,
        /// Whether the engine now holds the model.
        succeeded: bool,
    },
    /// The process was asked to stop gracefully.
    Stop,
}
