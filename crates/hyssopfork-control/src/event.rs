//! What happens to a control instance.

use hyssopfork_wire::{consensus, control};

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; comes at least every [`super::action::TICK`].
    Tick,
    /// A message of the replicated log arrived.
    Received(consensus::Packet),
    /// Everything up to and including the write with this mark is synced to disk.
    Persisted(u64),
    /// A request arrived; answered by exactly one [`super::action::Action::Reply`].
    Called {
        /// The shell's number of the call.
        call: u64,
        /// The request.
        request: control::Request,
    },
    /// The connection of a call closed before its reply.
    Abandoned(u64),
    /// The process was asked to stop: hand over leadership.
    Stop,
}
