//! What happens to an entry.

use bytes::Bytes;
use hyssopfork_wire::{attempt, control, frame, refusal};

/// A caller's request as the shell read it, without its body's bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// SHA-256 of the bearer token in lower-case hexadecimal; `None` without a token.
    pub token_sha256: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that travel to the upstream.
    pub headers: Vec<(String, String)>,
    /// The caller's Idempotency-Key.
    pub idempotency_key: Option<String>,
    /// SHA-256 of method, path and body.
    pub digest: [u8; 32],
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// Prompt prefix hash for affinity; `None` where the body has no prompt.
    pub prefix_hash: Option<u64>,
    /// Estimated cost in tokens.
    pub cost_tokens: u32,
}

/// Why an attempt ended without a whole answer or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made: no byte of the offer was sent.
    Unreachable,
    /// The offer was sent, and neither it nor its answer could be taken up on a new connection.
    Lost,
    /// The agent's process is another one than the offer was meant for.
    Restarted,
    /// The answer's frames, length or checksum were wrong.
    Corrupt,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes at least every [`super::action::TICK`].
    Tick,
    /// A call to control was answered; `None` when it failed or its time ran out.
    ControlResponded {
        /// Number of the call, from [`super::action::Action::Control`].
        call: u64,
        /// The answer.
        response: Option<control::Response>,
    },
    /// A caller's request arrived.
    RequestArrived {
        /// The shell's number of the request.
        request: u64,
        /// What was asked.
        arrival: Arrival,
    },
    /// The caller went away.
    ClientGone(u64),
    /// The agent told its load.
    LoadReported(attempt::Identifier, frame::Load),
    /// The agent handed the attempt to the upstream: from here on it may have run.
    AttemptStarted(attempt::Identifier),
    /// The agent or upstream refused the attempt.
    AttemptRejected(attempt::Identifier, refusal::Refusal),
    /// The answer's head came; forwarded to the caller only after
    /// [`super::action::Action::Forward`].
    HeadReceived(attempt::Identifier, frame::Head),
    /// The first part of the answer's body came.
    ResponseStarted(attempt::Identifier),
    /// So many events of the stream were delivered to the caller whole. Comes before
    /// [`Event::Ended`], and before a [`Event::Refused`] of an attempt that was being forwarded:
    /// without it such a stream is not resumed elsewhere.
    EventsDelivered(attempt::Identifier, u64),
    /// The whole answer was forwarded to the caller, checked.
    AttemptCompleted(attempt::Identifier),
    /// The whole answer of a collected attempt is here, checked.
    ResponseCollected {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Head of the answer.
        head: frame::Head,
        /// Body of the answer.
        body: Bytes,
    },
    /// The attempt ended without a whole answer or a refusal.
    AttemptFailed {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Why.
        fault: Fault,
        /// Events of the stream that the caller has whole.
        delivered: u64,
    },
    /// A cancel was answered; `None` when the agent could not be reached in time.
    CancelResponded {
        /// The attempt.
        attempt: attempt::Identifier,
        /// The answer.
        outcome: Option<attempt::Cancelled>,
    },
    /// The process was asked to stop gracefully.
    Stop,
}
