//! Events that a node is stepped with.

use crate::voters;
use hyssopfork_wire::{consensus, name, number};

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. The owner sends a tick at least every 20 ms.
    Tick,
    /// A message arrived.
    Received(consensus::Packet),
    /// All writes up to and including the one with this number are synced to disk.
    Persisted(u64),
    /// The owner proposes a command. The node responds with exactly one
    /// [`Proposed`](crate::action::Action::Proposed) or
    /// [`Rejected`](crate::action::Action::Rejected).
    Propose {
        /// Ticket that identifies the response.
        ticket: u64,
        /// Encoded command, at most [`crate::node::MAX_COMMAND_BYTES`] bytes.
        command: Vec<u8>,
    },
    /// The owner requests a change of the voters. The response is that of a proposal; for an
    /// addition it comes once the new voter has caught up.
    ChangeVoters {
        /// Ticket that identifies the response.
        ticket: u64,
        /// Requested change.
        change: voters::Change,
    },
    /// The owner took a snapshot of its state after applying the entry at `index`.
    Snapshotted {
        /// Last index applied to the state.
        index: number::Index,
        /// State, encoded by the owner.
        data: Vec<u8>,
    },
    /// Replaces the instances of [`Settings::voters`](crate::node::Settings::voters): this node
    /// sends them its requests to join, and as leader admits them without an operator.
    SetListedVoters(Vec<name::Instance>),
    /// Replaces the instances of [`Settings::learners`](crate::node::Settings::learners).
    SetLearners(Vec<name::Instance>),
    /// Records which of the superseded and displaced instances are absent; the others are present. Dropped
    /// while another change of the voters is in progress.
    SetAbsent(Vec<name::Instance>),
    /// Form the log with this node as its only voter. Ignored unless the data folder is blank. The
    /// owner designates one folder in the lifetime of the system; two would form two logs.
    Form,
    /// The process is stopping: hand over leadership and reject further proposals.
    Resign,
}
