//! What a control instance does about an event.

use hyssopfork_wire::{consensus, control};
use std::time::Duration;

/// Longest time between two ticks.
pub const TICK: Duration = Duration::from_millis(20);

/// An action.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another voter; may be lost.
    Send(consensus::Packet),
    /// Write to the journal and sync, then report [`super::event::Event::Persisted`].
    Persist(hyssopfork_consensus::write::Write),
    /// Answer a call.
    Reply {
        /// The call.
        call: u64,
        /// The answer.
        response: control::Response,
    },
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// Everything is handed over: the process may end.
    Stopped,
    /// The log holds what this release cannot read: log the reason and end the process at once.
    /// The core answers nothing any more.
    Fail(String),
}
