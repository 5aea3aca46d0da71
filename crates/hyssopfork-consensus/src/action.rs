//! Actions that a node requests from its owner.

use crate::{notice, write};
use hyssopfork_wire::{consensus, number};

/// An action. The owner carries out a node's actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message. Delivery is not guaranteed.
    Send(consensus::Packet),
    /// Write to the journal and sync it, then report
    /// [`Persisted`](crate::event::Event::Persisted). Writes must be made in order.
    Persist(write::Write),
    /// Apply a committed entry to the state. Entries are issued in order of index, each once per
    /// process run, starting after the last restored snapshot.
    Apply(consensus::Entry),
    /// Replace the state with that of the snapshot. Also the first action of a process whose data
    /// folder holds a snapshot.
    Restore(write::Snapshot),
    /// The proposal was appended to the log at this position. It is committed once an entry with
    /// this index **and** term is applied, and lost once an entry with this index and another term
    /// is applied.
    Proposed {
        /// Ticket that the owner gave the proposal.
        ticket: u64,
        /// Index of the entry.
        index: number::Index,
        /// Term of the entry.
        term: number::Term,
    },
    /// The proposal was not appended and never will be.
    Rejected {
        /// Ticket that the owner gave the proposal.
        ticket: u64,
        /// Current leader, if known. This node itself when it leads but cannot accept the proposal
        /// now.
        leader: Option<consensus::Voter>,
    },
    /// Log a numbered event.
    Notice(notice::Notice),
}
