//! The replicated state: what was acknowledged to operators and must never be lost.

use crate::view;
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
    Declare(view::Document),
    /// Takes a zone out.
    TakeOut(name::Zone),
    /// Takes a zone back in.
    BringIn(name::Zone),
}

impl Command {
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
    pub document: Option<view::Document>,
    /// Zones that are out.
    pub out: BTreeSet<name::Zone>,
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

    /// Applies a command; returns whether it changed anything.
    pub fn apply(&mut self, command: Command) -> bool {
        match command {
            Command::Declare(document) => {
                let newer = document.version > self.version();
                if newer {
                    self.document = Some(document);
                }
                newer
            }
            Command::TakeOut(zone) => self.out.insert(zone),
            Command::BringIn(zone) => self.out.remove(&zone),
        }
    }
}
