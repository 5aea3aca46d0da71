//! Writes to the journal that the step function asks for.

use hyssopfork_wire::{consensus, number};
use serde::{Deserialize, Serialize};

/// Term and vote that must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Newest term seen.
    pub term: number::Term,
    /// Voter that got this one's vote in the term.
    pub vote: Option<consensus::Voter>,
}

/// A snapshot of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that it covers.
    pub index: number::Index,
    /// Term of that index.
    pub term: number::Term,
    /// Voters at that index.
    pub voters: Vec<consensus::Voter>,
    /// The state as its owner encoded it.
    pub data: Vec<u8>,
}

/// One write; its parts are applied in the order of the fields and are synced before it is
/// reported as persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Counts the writes of this process, from 1.
    pub number: u64,
    /// New ballot.
    pub ballot: Option<Ballot>,
    /// New snapshot; entries that it covers may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Drop this index and all after it.
    pub truncate: Option<number::Index>,
    /// Entries to append.
    pub entries: Vec<consensus::Entry>,
}
