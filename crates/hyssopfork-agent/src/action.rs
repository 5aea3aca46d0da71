//! Actions: what the core asks its process to do in response to an event.

use hyssopfork_wire::{attempt, control, frame, member, name, number, refusal};
use std::net;
use std::time::Duration;

/// Maximum time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Order to the engine to load a model as one member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the placement.
    pub fence: number::Fence,
    /// Group that the placement is for.
    pub group: name::Group,
    /// Model to load.
    pub model: name::Model,
    /// Rank of this instance among the members, from 0.
    pub rank: u32,
    /// All members, in the order of their ranks.
    pub members: Vec<name::Instance>,
}

/// Action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Call a control instance; ends with [`super::event::Event::ControlResponded`].
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
    /// Request a grant from another member; ends with [`super::event::Event::GrantResponded`].
    RequestGrant {
        /// Number of the call.
        call: u64,
        /// Peer address of the member's agent.
        to: net::SocketAddr,
        /// Request.
        request: member::Request,
        /// Time after which the call counts as failed.
        timeout: Duration,
    },
    /// Respond to a grant request of the first member.
    ReplyGrant {
        /// Number of the call.
        call: u64,
        /// Response.
        response: member::Response,
    },
    /// Open a connection to the upstream for an admitted attempt, then report
    /// [`super::event::Event::Connected`] or [`super::event::Event::EngineConnected`] just before the
    /// first byte is written.
    Connect {
        /// Attempt.
        attempt: attempt::Identifier,
        /// Load report to send before the response.
        load: frame::Load,
    },
    /// The identifier is known: let the entry resume reading the attempt's response where it
    /// stopped.
    Resume(attempt::Identifier),
    /// Write the request to the upstream.
    Forward(attempt::Identifier),
    /// End the attempt with a rejection, the last message that the entry gets for it.
    Reject {
        /// Attempt.
        attempt: attempt::Identifier,
        /// Rejection.
        rejection: refusal::Refusal,
        /// Load report to send before the response.
        load: frame::Load,
    },
    /// Stop the upstream's work on an attempt: close the connection, and cancel if the upstream
    /// supports it.
    Abort(attempt::Identifier),
    /// Respond to a cancel request.
    ReplyCancel {
        /// Number of the call.
        call: u64,
        /// Response.
        outcome: attempt::Cancelled,
    },
    /// Order the engine to load a model; ends with [`super::event::Event::LoadFinished`].
    Order(Order),
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// The graceful stop is complete, or was cut short by its time limit or a second stop: the
    /// process may exit.
    Stopped,
}
