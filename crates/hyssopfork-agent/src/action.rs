//! What an agent does about an event.

use hyssopfork_wire::{attempt, control, frame, member, name, number, refusal};
use std::net;
use std::time::Duration;

/// Longest time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// An order to the engine: hold a model as one member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Fencing number of the placement.
    pub fence: number::Fence,
    /// Group that is formed.
    pub group: name::Group,
    /// Model to load.
    pub model: name::Model,
    /// Place of this instance among the members, from 0.
    pub rank: u32,
    /// All members in order.
    pub members: Vec<name::Instance>,
}

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
    /// Ask another member; answered by [`super::event::Event::Stood`].
    RequestGrant {
        /// Number of the call.
        call: u64,
        /// The other agent's peer address.
        to: net::SocketAddr,
        /// Request.
        request: member::Request,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Answer the first member.
    ReplyGrant {
        /// The call.
        call: u64,
        /// The answer.
        response: member::Response,
    },
    /// The attempt is admitted: open the upstream's connection, then report
    /// [`super::event::Event::Ready`] just before the first byte.
    Connect {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Load to send ahead.
        load: frame::Load,
    },
    /// The identifier is known: let the entry read the attempt's answer from where it left off.
    Resume(attempt::Identifier),
    /// Write the request to the upstream now.
    Forward(attempt::Identifier),
    /// End the attempt towards the entry with a refusal, after which nothing more is sent.
    Reject {
        /// The attempt.
        attempt: attempt::Identifier,
        /// The refusal.
        rejection: refusal::Refusal,
        /// Load to send ahead.
        load: frame::Load,
    },
    /// Stop the upstream's work on an attempt (close its connection, and cancel where it can).
    Abort(attempt::Identifier),
    /// Answer a cancel.
    ReplyCancel {
        /// The call.
        call: u64,
        /// The answer.
        outcome: attempt::Cancelled,
    },
    /// Order the engine to load; answered by [`super::event::Event::Ordered`].
    Order(Order),
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// Everything in flight has ended and leaving is announced: the process may end.
    Stopped,
}
