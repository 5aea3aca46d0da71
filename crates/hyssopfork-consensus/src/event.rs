//! What happens to a node.

use crate::voters;
use hyssopfork_wire::{consensus, name, number};

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed; comes at least every 20 ms.
    Tick,
    /// A message arrived.
    Received(consensus::Packet),
    /// Every write up to and including the one with this mark is synced to disk.
    Persisted(u64),
    /// The owner wants a command in the log; answered by one
    /// [`Proposed`](crate::action::Action::Proposed) or
    /// [`Rejected`](crate::action::Action::Rejected).
    Propose {
        /// Owner's number for the answer.
        ticket: u64,
        /// The command, at most [`crate::node::COMMAND_LIMIT`] bytes.
        command: Vec<u8>,
    },
    /// The owner wants other voters; answered as a proposal is, for an addition once the new
    /// voter has caught up.
    ChangeVoters {
        /// Owner's number for the answer.
        ticket: u64,
        /// The change.
        change: voters::Change,
    },
    /// The owner took a snapshot of its state after applying `index`.
    Snapshotted {
        /// Last index that was applied to the state.
        index: number::Index,
        /// The state as its owner encodes it.
        data: Vec<u8>,
    },
    /// Instances that may hold a voter's folder, in place of those of the settings: this node asks
    /// them to be let in, and a leader lets them in by themselves.
    SetListedVoters(Vec<name::Instance>),
    /// This folder alone is to form the log; nothing happens unless it is blank. The owner names
    /// one folder in the life of the system: two would make two logs.
    Form,
    /// The process is to stop: hand over leadership, and propose nothing more.
    Resign,
}
