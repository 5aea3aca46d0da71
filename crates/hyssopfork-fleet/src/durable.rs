//! The replicated state machine: state that was acknowledged to operators and must never be lost.

use crate::{document, quarantine};
use hyssopfork_wire::name;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Departures that are remembered: more than upstreams depart between two saves of the view.
const MAX_DEPARTURES: usize = 1_024;

quick_error! {
    /// Error when decoding a command or snapshot of the log.
    #[derive(Debug)]
    pub enum Error {
        /// The data has the format of another release.
        Format(cause: bincode::Error) {
            from()
            source(cause)
            display("the replicated log holds data that this release cannot read: {}", cause)
        }
    }
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a declaration in force if its version is the highest so far.
    Declare(document::Document),
    /// Takes a zone out.
    TakeOut(name::Zone),
    /// Brings a zone back in.
    BringIn(name::Zone),
    /// Adds a part of a declaration that is longer than one part; the last part puts it in force. A
    /// leader appends all parts of a declaration consecutively.
    DeclarePart(document::Part),
    /// Records that a process of an upstream has departed or is draining.
    Depart(quarantine::Process),
}

/// Result of applying a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The state changed.
    Changed,
    /// The state did not change: the command had no effect, or more parts of a declaration are
    /// needed.
    Unchanged,
    /// The declaration was dropped, since its parts in the log are not complete.
    Incomplete,
}

impl Command {
    /// The commands that declare `document`. It is not encoded against another document, because it
    /// is not known which one will be in force when the commands are applied.
    pub fn declare(document: document::Document) -> Vec<Command> {
        if document.bytes.len() <= document::MAX_PART_BYTES {
            return vec![Command::Declare(document)];
        }
        document.encode(None).parts().map(Command::DeclarePart).collect()
    }

    /// Whether the command declares a document or a part of one.
    pub fn is_declaration(&self) -> bool {
        matches!(self, Command::Declare(_) | Command::DeclarePart(_))
    }

    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serialize(self).expect("commands are plain data")
    }

    /// Decodes a command of the log.
    pub fn decode(bytes: &[u8]) -> Result<Command, Error> {
        Ok(bincode::deserialize(bytes)?)
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The declaration in force.
    ///
    /// Invariant: its version never decreases.
    pub document: Option<document::Document>,
    /// Zones that are out.
    pub zones_out: BTreeSet<name::Zone>,
    /// Parts of a declaration whose last part has not been applied yet.
    ///
    /// Invariant: empty in a snapshot.
    #[serde(skip)]
    partial: document::Partial,
    /// Processes of upstreams whose departure was acknowledged, the newest last. A view that a process
    /// has saved may be older.
    ///
    /// Invariant: at most [`MAX_DEPARTURES`].
    departures: VecDeque<quarantine::Process>,
}

/// The state as releases without departures encoded it.
#[derive(Deserialize)]
struct StateWithoutDepartures {
    document: Option<document::Document>,
    zones_out: BTreeSet<name::Zone>,
}

impl State {
    /// Decodes a snapshot; an empty one is the state before the first command.
    pub fn decode(bytes: &[u8]) -> Result<State, Error> {
        if bytes.is_empty() {
            return Ok(State::default());
        }
        bincode::deserialize(bytes).or_else(|_| {
            let StateWithoutDepartures { document, zones_out } = bincode::deserialize(bytes)?;
            Ok(State { document, zones_out, ..State::default() })
        })
    }

    /// Encodes the state as a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        bincode::serialize(self).expect("the state is plain data")
    }

    /// Version of the declaration in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Whether a snapshot would contain everything that was applied, with no declaration in parts.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the parts of a declaration that an earlier leader left incomplete.
    pub fn drop_partial(&mut self) {
        self.partial = document::Partial::default();
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Applied {
        let changed = match command {
            Command::Declare(document) => self.declare(document),
            Command::DeclarePart(part) => {
                let last = part.is_last();
                let encoding = self.partial.add(part);
                match encoding.and_then(|encoding| encoding.decode(None).ok()) {
                    Some(document) => self.declare(document),
                    None if last => return Applied::Incomplete,
                    None => false,
                }
            }
            Command::TakeOut(zone) => self.zones_out.insert(zone),
            Command::BringIn(zone) => self.zones_out.remove(&zone),
            Command::Depart(process) => self.record_departure(process),
        };
        if changed { Applied::Changed } else { Applied::Unchanged }
    }

    /// Whether the process's departure was recorded.
    pub fn has_departed(&self, process: &quarantine::Process) -> bool {
        self.departures.contains(process)
    }

    /// Processes whose departures were recorded.
    pub fn departed(&self) -> BTreeSet<&quarantine::Process> {
        self.departures.iter().collect()
    }

    fn record_departure(&mut self, process: quarantine::Process) -> bool {
        if self.has_departed(&process) {
            return false;
        }
        self.departures.push_back(process);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.pop_front();
        }
        true
    }

    fn declare(&mut self, document: document::Document) -> bool {
        let newer = document.version > self.version();
        if newer {
            self.document = Some(document);
        }
        newer
    }
}
