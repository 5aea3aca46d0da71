//! Events that a control instance reacts to.

use hyssopfork_wire::{consensus, control};

/// An event from the shell.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at least every [`super::action::TICK_INTERVAL`].
    Tick,
    /// A message of the replicated log arrived.
    Received(consensus::Packet),
    /// Everything up to and including the write with this mark is synced to disk.
    Persisted(u64),
    /// A request arrived; answered by exactly one [`super::action::Action::Reply`].
    Request {
        /// Number that the shell gave the call.
        call: u64,
        /// The request.
        request: control::Request,
    },
    /// The connection of a call closed before its response was sent.
    Abandoned(u64),
    /// The process was asked to stop: hand over leadership.
    Stop,
}
