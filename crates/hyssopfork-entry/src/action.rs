//! Actions that the entry's state machine asks its shell to carry out.

use bytes::Bytes;
use hyssopfork_wire::{attempt, control, frame, refusal};
use std::net;
use std::time::Duration;

/// Maximum time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a control instance; answered by [`super::event::Event::ControlResponded`].
    CallControl {
        /// Number of the call.
        call: u64,
        /// Control instance to call.
        to: net::SocketAddr,
        /// Request.
        request: Box<control::Request>,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Offer an attempt to an agent and read its response.
    StartAttempt {
        /// Request that the attempt belongs to.
        request: u64,
        /// Traffic address of the agent.
        to: net::SocketAddr,
        /// Offer, to which the shell adds the body of the request.
        offer: Box<attempt::Offer>,
        /// Whether the complete response is collected ([`super::event::Event::ResponseCollected`])
        /// instead of being forwarded as it arrives.
        collect: bool,
    },
    /// Forward the response of this attempt to the client, including the head, or, for a resumed
    /// stream, from the point where the client's part ends. Responses of other attempts of the
    /// request are dropped.
    ForwardResponse {
        /// The request.
        request: u64,
        /// The attempt.
        attempt: attempt::Identifier,
    },
    /// Cancel an attempt; answered by [`super::event::Event::CancelResponded`].
    CancelAttempt {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Traffic address of the agent.
        to: net::SocketAddr,
        /// Boot identifier of the agent process that the attempt was offered to.
        boot: u64,
    },
    /// Stop reading the response of an attempt.
    DropAttempt(attempt::Identifier),
    /// Send a complete response to the client.
    Respond {
        /// The request.
        request: u64,
        /// Head of the response.
        head: frame::Head,
        /// Body of the response.
        body: Bytes,
    },
    /// Respond to the client with a problem document.
    Reject {
        /// The request.
        request: u64,
        /// The rejection.
        refusal: refusal::Refusal,
    },
    /// End the client's stream with an error marker, never cleanly: a part of the response was
    /// forwarded and the rest will not follow.
    Abort {
        /// The request.
        request: u64,
        /// Rejection that the error marker carries.
        refusal: refusal::Refusal,
    },
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// Record the measurement of a request that ended.
    RecordMeasurement(super::measurement::Measurement),
    /// All requests have ended and the departure is announced: the process may exit.
    Stopped,
}
