//! Actions that a control instance takes in response to events.

use hyssopfork_wire::{consensus, control};
use std::time::Duration;

/// Longest interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// An action for the shell to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another voter; it may be lost.
    Send(consensus::Packet),
    /// Write to the journal and sync, then report [`super::event::Event::Persisted`].
    Persist(hyssopfork_consensus::write::Write),
    /// Respond to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The response.
        response: control::Response,
    },
    /// Log a numbered event.
    Notice(super::notice::Notice),
    /// The handover is complete or has timed out: the process may end.
    Stopped,
    /// The log holds an entry that this release cannot read: log the reason and end the process at
    /// once. The core takes no further action.
    Fail(String),
}
