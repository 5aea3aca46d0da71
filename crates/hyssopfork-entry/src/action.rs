//! What an entry does about an event.

use bytes::Bytes;
use hyssopfork_wire::{attempt, control, frame, refusal};
use std::net;
use std::time::Duration;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a control instance; answered by [`super::event::Event::Controlled`].
    CallControl {
        /// Number of the call.
        call: u64,
        /// Control instance to ask.
        to: net::SocketAddr,
        /// Request.
        request: Box<control::Request>,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Offer an attempt to an agent and read its answer.
    StartAttempt {
        /// The request it is for.
        request: u64,
        /// The agent's traffic address.
        to: net::SocketAddr,
        /// The offer; the shell adds the request's body.
        offer: Box<attempt::Offer>,
        /// Whether the whole answer is collected ([`super::event::Event::Collected`]) in place of
        /// being forwarded as it comes.
        collect: bool,
    },
    /// Forward this attempt's answer to the caller, head and all (or, for a resumed stream, from
    /// where the caller's part ends). Answers of the request's other attempts are dropped.
    ForwardResponse {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: attempt::Identifier,
    },
    /// Cancel an attempt; answered by [`super::event::Event::CancelAnswered`].
    CancelAttempt {
        /// The attempt.
        attempt: attempt::Identifier,
        /// The agent's traffic address.
        to: net::SocketAddr,
        /// Boot of the agent's process that the attempt was offered to.
        boot: u64,
    },
    /// Stop reading an attempt's answer.
    DropAttempt(attempt::Identifier),
    /// Answer the caller whole.
    Respond {
        /// The request.
        request: u64,
        /// Head of the answer.
        head: frame::Head,
        /// Body of the answer.
        body: Bytes,
    },
    /// Answer the caller with a problem document.
    Reject {
        /// The request.
        request: u64,
        /// The refusal.
        refusal: refusal::Refusal,
    },
    /// Part of the answer was forwarded and the rest will not come: end the caller's stream with
    /// an error mark, never cleanly.
    Abort {
        /// The request.
        request: u64,
        /// The refusal that the mark carries.
        refusal: refusal::Refusal,
    },
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// Measure a request that ended.
    RecordMeasurement(super::measurement::Measurement),
    /// Everything in flight has ended and leaving is announced: the process may end.
    Stopped,
}
