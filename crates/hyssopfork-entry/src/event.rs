//! Events that the entry's state machine handles.

use bytes::Bytes;
use hyssopfork_wire::{attempt, control, frame, refusal};

/// A client's request as read by the shell, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// SHA-256 of the bearer token in lower-case hexadecimal; `None` without a token.
    pub token_sha256: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are forwarded to the upstream.
    pub headers: Vec<(String, String)>,
    /// Value of the client's `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// SHA-256 of method, path and body.
    pub digest: [u8; 32],
    /// Length of the body.
    pub body_bytes: u64,
    /// Hash of the prompt prefix, for affinity; `None` where the body has no prompt.
    pub prefix_hash: Option<u64>,
    /// Estimated cost.
    pub cost_tokens: u32,
}

/// Why an attempt ended without a complete response or a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No connection could be made: no byte of the offer was sent.
    Unreachable,
    /// The offer was sent, and neither the offer nor its response could be resumed on a new
    /// connection.
    Lost,
    /// The agent process is not the one that the offer was meant for.
    Restarted,
    /// The frames, the length or the checksum of the response were wrong.
    Corrupt,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; arrives at least every [`super::action::TICK_INTERVAL`].
    Tick,
    /// A call to control was answered; `None` when it failed or timed out.
    ControlResponded {
        /// Number of the call, from [`super::action::Action::CallControl`].
        call: u64,
        /// The response.
        response: Option<control::Response>,
    },
    /// A client's request arrived.
    RequestArrived {
        /// Number that the shell gave the request.
        request: u64,
        /// The request.
        arrival: Arrival,
    },
    /// The client disconnected.
    ClientGone(u64),
    /// The agent reported its load.
    LoadReported(attempt::Identifier, frame::Load),
    /// The agent sent the attempt to the upstream: from here on it may have run.
    AttemptStarted(attempt::Identifier),
    /// The agent or the upstream rejected the attempt.
    AttemptRejected(attempt::Identifier, refusal::Refusal),
    /// The head of the response arrived; it is forwarded to the client only after
    /// [`super::action::Action::ForwardResponse`].
    HeadReceived(attempt::Identifier, frame::Head),
    /// The first part of the response body arrived.
    ResponseStarted(attempt::Identifier),
    /// Number of stream events delivered completely to the client. Precedes
    /// [`Event::AttemptCompleted`], and [`Event::AttemptRejected`] of an attempt that was being
    /// forwarded: without it such a stream is not resumed on another upstream.
    EventsDelivered(attempt::Identifier, u64),
    /// The complete response was verified and forwarded to the client.
    AttemptCompleted(attempt::Identifier),
    /// The complete response of a collected attempt arrived and was verified.
    ResponseCollected {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Head of the response.
        head: frame::Head,
        /// Body of the response.
        body: Bytes,
    },
    /// The attempt ended without a complete response or a rejection.
    AttemptFailed {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Why it ended.
        fault: Fault,
        /// Number of stream events that the client has received completely.
        delivered: u64,
    },
    /// A cancel was answered; `None` when the agent could not be reached in time.
    CancelResponded {
        /// The attempt.
        attempt: attempt::Identifier,
        /// The response to the cancel.
        outcome: Option<attempt::Cancelled>,
    },
    /// The process was asked to stop gracefully.
    Stop,
}
