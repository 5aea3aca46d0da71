//! Messages between the voters of the replicated log (Raft, with pre-vote and leader leases).

use crate::{name, number};
use serde::{Deserialize, Serialize};

/// Identity of a voter: its instance, and a random number written when its data folder was created.
///
/// A folder that replaces a lost one gets another number, so that a voter that has lost its votes
/// and acknowledged entries never acts under its old identity again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// Instance of the control process.
    pub instance: name::Instance,
    /// Random number of its data folder; [`VACANT`] in a list of voters if the folder was lost.
    pub folder: u64,
}

/// Folder number of a voter whose data folder was lost: it counts towards the quorum size, and no
/// process votes or acknowledges for it.
pub const VACANT: u64 = 0;

/// Folder number of an entry in a list of voters that is no seat: its instance gave its vote to a newer
/// one and is a learner.
pub const SUPERSEDED: u64 = u64::MAX;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, from 1 and without gaps.
    pub index: number::Index,
    /// Term in which a leader appended it.
    pub term: number::Term,
    /// Payload.
    pub payload: Payload,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No payload: the first entry of a leader's term.
    Empty,
    /// A command of the replicated state machine, in its own encoding.
    Command(Vec<u8>),
    /// The list of voters, in effect as soon as the entry is appended.
    Voters(Vec<Voter>),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub from: Voter,
    /// Receiver's instance; a receiver with another name drops the message.
    pub to: name::Instance,
    /// The message.
    pub message: Message,
}

/// A message of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Vote request, or pre-vote request (`pre`).
    Vote {
        /// Whether this is a pre-vote, which grants nothing.
        pre: bool,
        /// Term of the candidacy.
        term: number::Term,
        /// Index of the candidate's last entry.
        last_index: number::Index,
        /// Term of the candidate's last entry.
        last_term: number::Term,
    },
    /// Response to [`Message::Vote`].
    Voted {
        /// Whether the request was a pre-vote.
        pre: bool,
        /// Term of the candidacy if the vote is granted; the voter's own term otherwise.
        term: number::Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries to append after `previous_index`; a heartbeat if there are none.
    Append {
        /// Leader's term.
        term: number::Term,
        /// Number of the leader's message, returned in the response: the quorum lease is measured
        /// from when that message was sent.
        round: u64,
        /// Index of the entry before `entries`.
        previous_index: number::Index,
        /// Term of the entry at `previous_index`.
        previous_term: number::Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's commit index.
        committed: number::Index,
    },
    /// Response to [`Message::Append`] and [`Message::Snapshot`].
    Appended {
        /// Receiver's term.
        term: number::Term,
        /// Round of the request.
        round: u64,
        /// Whether the receiver's log matches the leader's up to `matched` and is synced to disk.
        accepted: bool,
        /// Last index known to match; if not accepted, the index for the leader's next try.
        matched: number::Index,
    },
    /// Part of a snapshot, for a follower whose next entries are no longer in the leader's log.
    Snapshot {
        /// Leader's term.
        term: number::Term,
        /// Leader's round, as in [`Message::Append`].
        round: u64,
        /// Last index that the snapshot covers.
        index: number::Index,
        /// Term of the entry at `index`.
        index_term: number::Term,
        /// Voters at `index`.
        voters: Vec<Voter>,
        /// Offset of `data` in the snapshot.
        offset: u64,
        /// Bytes of this part.
        data: Vec<u8>,
        /// Whether this is the last part.
        last: bool,
    },
    /// Leadership transfer: the leader gives up its quorum lease, voters no longer withhold votes
    /// because they have heard from it, and `successor` starts an election at once.
    Release {
        /// Leader's term.
        term: number::Term,
        /// Voter that becomes a candidate.
        successor: Voter,
    },
    /// Request of a process whose folder is not a voter's: the leader replicates the log to it and
    /// then adds it as a voter.
    Join {
        /// Whether a follower has forwarded the request to the leader; it is forwarded once at
        /// most.
        relayed: bool,
    },
    /// Bootstrap of the log: the first of the listed instances, whose folder is blank, asks whether
    /// the receiver's folder is blank too.
    Form {
        /// Initial voters, ordered by name.
        instances: Vec<name::Instance>,
    },
    /// Response to [`Message::Form`] from a folder to which nothing was ever written.
    Blank {
        /// Folder number of the process that asked; a response to a folder that has since been lost
        /// is ignored.
        folder: u64,
    },
    /// A voter's process is stopping: the leader may remove its seat.
    Leave,
    /// Request of a candidate for the folder of the receiver's instance.
    FolderRequest {
        /// Random number, returned in the response.
        nonce: u64,
    },
    /// Response to [`Message::FolderRequest`]; the sender's identity has the folder.
    FolderResponse {
        /// Random number of the request.
        nonce: u64,
    },
}

impl Payload {
    /// Size of the command in bytes; other payloads are small and count as 0.
    pub fn bytes(&self) -> usize {
        match self {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Voters(_) => 0,
        }
    }
}

impl Message {
    /// Size in bytes of the commands or snapshot data in the message.
    pub fn bytes(&self) -> usize {
        match self {
            Message::Append { entries, .. } => {
                entries.iter().map(|entry| entry.payload.bytes()).sum()
            }
            Message::Snapshot { data, .. } => data.len(),
            _ => 0,
        }
    }
}
