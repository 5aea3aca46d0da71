//! The replicated state: what was acknowledged to operators and must never be lost.

use crate::document;
use hyssopfork_wire::name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

quick_error! {
    /// Why the log's content cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// It was written by a release with another format.
        Format(cause: bincode::Error) {
            from()
            source(cause)
            display("the replicated log holds what this release cannot read: {}", cause)
        }
    }
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Declares; changes nothing unless its version is the highest so far.
    Declare(document::Document),
    /// Takes a zone out.
    TakeOut(name::Zone),
    /// Takes a zone back in.
    BringIn(name::Zone),
    /// A part of a declaration that is longer than one part; the last one declares. A leader appends
    /// all parts of one declaration one after the other.
    DeclarePart(document::Part),
}

/// What applying a command has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The state.
    Changed,
    /// Nothing: it held already, or a part of a declaration waits for the others.
    Unchanged,
    /// Nothing, and it never will: the declaration's parts in the log don't make a whole.
    Incomplete,
}

impl Command {
    /// The commands that declare `document`. They rest on no other document: which one is in force
    /// when they are applied is not known before.
    pub fn declare(document: document::Document) -> Vec<Command> {
        if document.bytes.len() <= document::MAX_PART_BYTES {
            return vec![Command::Declare(document)];
        }
        document.encode(None).parts().map(Command::DeclarePart).collect()
    }

    /// The command as the log carries it.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serialize(self).expect("commands are plain data")
    }

    /// Reads a command of the log.
    pub fn decode(bytes: &[u8]) -> Result<Command, Error> {
        Ok(bincode::deserialize(bytes)?)
    }
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The declaration in force.
    ///
    /// Invariant: its version never goes down.
    pub document: Option<document::Document>,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Parts of a declaration whose last part was not applied yet.
    ///
    /// Invariant: empty in a snapshot.
    #[serde(skip)]
    partial: document::Partial,
}

impl State {
    /// Reads a snapshot; an empty one is the state before the first command.
    pub fn decode(bytes: &[u8]) -> Result<State, Error> {
        if bytes.is_empty() {
            return Ok(State::default());
        }
        Ok(bincode::deserialize(bytes)?)
    }

    /// The state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serialize(self).expect("the state is plain data")
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Whether a snapshot holds all that was applied.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the parts of a declaration that an earlier leader did not complete.
    pub fn drop_partial(&mut self) {
        self.partial = document::Partial::default();
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Applied {
        let changed = match command {
            Command::Declare(document) => self.declare(document),
            Command::DeclarePart(part) => {
                let last = part.is_last();
                let whole = self.partial.take(part);
                match whole.and_then(|encoding| encoding.decode(None).ok()) {
                    Some(document) => self.declare(document),
                    None if last => return Applied::Incomplete,
                    None => false,
                }
            }
            Command::TakeOut(zone) => self.zones_out.insert(zone),
            Command::BringIn(zone) => self.zones_out.remove(&zone),
        };
        if changed { Applied::Changed } else { Applied::Unchanged }
    }

    fn declare(&mut self, document: document::Document) -> bool {
        let newer = document.version > self.version();
        if newer {
            self.document = Some(document);
        }
        newer
    }
}
