//! Journal writes that a node requests.

use hyssopfork_wire::{consensus, number};
use serde::{Deserialize, Serialize};

/// Term and vote, which must survive a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Highest term seen.
    pub term: number::Term,
    /// Voter that received this node's vote in the term.
    pub vote: Option<consensus::Voter>,
}

/// A snapshot of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: number::Index,
    /// Term of that index.
    pub term: number::Term,
    /// Voters at that index.
    pub voters: Vec<consensus::Voter>,
    /// State, encoded by its owner.
    pub data: Vec<u8>,
}

/// One write. Its parts are applied in the order of the fields and synced before the write is
/// reported as persisted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Number of the write, counted from 1 since process start.
    pub number: u64,
    /// Ballot to store.
    pub ballot: Option<Ballot>,
    /// Snapshot to store; entries that it covers may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Index from which on entries are dropped.
    pub truncate: Option<number::Index>,
    /// Entries to append.
    pub entries: Vec<consensus::Entry>,
}
