//! Messages of the replicated log between voters.

use crate::{name, number};
use serde::{Deserialize, Serialize};

/// Identity of a voter: its instance, and a random number written when its data folder was made.
///
/// A folder that was lost comes back under another number, so that a voter which may have voted
/// or acknowledged before never speaks under its old identity again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// Instance of the control process.
    pub instance: name::Instance,
    /// Random identity of its data folder; [`VACANT`] in a list of voters for a seat whose folder
    /// was lost.
    pub folder: u64,
}

/// Folder number of a seat without a voter: it counts in the size of a quorum and never answers.
pub const VACANT: u64 = 0;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, from 1 and without gaps.
    pub index: number::Index,
    /// Term in which a leader appended it.
    pub term: number::Term,
    /// What it carries.
    pub payload: Payload,
}

/// What a log entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Empty,
    /// A command of the state, encoded by its owner.
    Command(Vec<u8>),
    /// The voters from this entry on; in force as soon as it is appended.
    Voters(Vec<Voter>),
}

/// A message and who sent it to whom.
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
    /// Asks for a vote, or (`pre`) whether a vote would be given.
    Vote {
        /// Whether this only asks.
        pre: bool,
        /// Term that the candidate stands for.
        term: number::Term,
        /// Index of the candidate's last entry.
        last_index: number::Index,
        /// Term of the candidate's last entry.
        last_term: number::Term,
    },
    /// Answer to [`Message::Vote`].
    Voted {
        /// As asked.
        pre: bool,
        /// Term asked for when granted; the voter's own term otherwise.
        term: number::Term,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries after `previous`; empty ones are heartbeats.
    Append {
        /// Leader's term.
        term: number::Term,
        /// Counts the leader's messages, so that an answer tells which one it answers: the
        /// quorum lease is measured from when that one was sent.
        round: u64,
        /// Index before the entries.
        previous_index: number::Index,
        /// Term of that index.
        previous_term: number::Term,
        /// Entries.
        entries: Vec<Entry>,
        /// Leader's committed index.
        committed: number::Index,
    },
    /// Answer to [`Message::Append`] and [`Message::Snapshot`].
    Appended {
        /// Receiver's term.
        term: number::Term,
        /// Round that is answered.
        round: u64,
        /// Whether the receiver's log matches up to `matched`, synced to its disk.
        accepted: bool,
        /// Last index known to match; when not accepted, where the leader may try next.
        matched: number::Index,
    },
    /// A part of a snapshot for a follower that is too far behind.
    Snapshot {
        /// Leader's term.
        term: number::Term,
        /// Leader's round, as in [`Message::Append`].
        round: u64,
        /// Last index that the snapshot covers.
        index: number::Index,
        /// Term of that index.
        index_term: number::Term,
        /// Voters at that index.
        voters: Vec<Voter>,
        /// Offset of `data` in the whole snapshot.
        offset: u64,
        /// Part of the snapshot.
        data: Vec<u8>,
        /// Whether this is the last part.
        last: bool,
    },
    /// The leader gives up its quorum lease and every voter's duty to withhold votes that rests on
    /// hearing from it; `successor` stands for election at once.
    Release {
        /// Leader's term.
        term: number::Term,
        /// Voter that is to lead next.
        successor: Voter,
    },
    /// The sender's folder is not a voter's: asks the leader to be caught up and admitted.
    Join {
        /// Whether a follower passed it on to the leader; it is passed on once at most.
        relayed: bool,
    },
    /// The first of the listed instances, whose folder is blank, asks whether the receiver's is
    /// blank as well, so as to form the log.
    Form {
        /// Instances that are to be the first voters, in order of name.
        instances: Vec<name::Instance>,
    },
    /// Answer to [`Message::Form`] from a folder that has never written anything.
    Blank {
        /// Folder of the asker: an answer to a folder that has since been lost is void.
        folder: u64,
    },
}

impl Payload {
    /// Bytes of its command; nothing else is large.
    pub fn bytes(&self) -> usize {
        match self {
            Payload::Command(command) => command.len(),
            Payload::Empty | Payload::Voters(_) => 0,
        }
    }
}

impl Message {
    /// Bytes of the log's content that it carries.
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
