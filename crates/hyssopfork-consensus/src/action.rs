//! What a node asks of its owner.

use crate::{notice, write};
use hyssopfork_wire::{consensus, number};

/// An action. A node's actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send(consensus::Packet),
    /// Write to the journal and sync, then report
    /// [`Persisted`](crate::event::Event::Persisted). Writes are made in order.
    Persist(write::Write),
    /// Apply a committed entry to the state. Entries come in order of index, each once in the
    /// life of the process, from the one after the last restored snapshot.
    Apply(consensus::Entry),
    /// Replace the state by the snapshot's. Also the first action of a process whose folder holds
    /// a snapshot.
    Restore(write::Snapshot),
    /// The proposal was appended here; it is committed when an entry of this index **and** term is
    /// applied, and lost when one of this index and another term is.
    Proposed {
        /// Owner's number.
        ticket: u64,
        /// Index of the entry.
        index: number::Index,
        /// Term of the entry.
        term: number::Term,
    },
    /// The proposal was not appended and never will be.
    Rejected {
        /// Owner's number.
        ticket: u64,
        /// Voter that leads, as far as is known. This node itself when it leads and the proposal
        /// cannot be taken on now.
        leader: Option<consensus::Voter>,
    },
    /// Log a numbered event.
    Notice(notice::Notice),
}
