//! Declarations as operators sent them, and the parts in which they travel between processes.
//!
//! A document sent in one message keeps a link busy for as long as it takes. Heartbeats behind it are
//! late, leaders lose their quorum, and whoever waited for it starts over. Each part is a message of
//! its own with a deadline of its own, and what has arrived is kept across a change of leader.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Most bytes of a part: 7 ms on a link of 40 Mbit/s.
pub const PART_BYTES: usize = 32 << 10;

/// Most bytes of a document.
pub const MAX_BYTES: usize = 8 << 20;

/// A declaration as operators sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version.
    pub version: u64,
    /// The bytes as they came: read back, they are the same.
    pub bytes: Bytes,
}

impl Document {
    /// The part that begins at `offset`.
    pub fn part(&self, offset: usize) -> Part {
        let begin = offset.min(self.bytes.len());
        let end = self.bytes.len().min(begin + PART_BYTES);
        Part {
            version: self.version,
            size: self.bytes.len() as u64,
            offset: begin as u64,
            bytes: self.bytes.slice(begin..end),
        }
    }

    /// All parts, in order.
    pub fn parts(&self) -> impl Iterator<Item = Part> {
        let offsets = (0..self.bytes.len().max(1)).step_by(PART_BYTES);
        offsets.map(|offset| self.part(offset))
    }
}

/// A part of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Version of the document.
    pub version: u64,
    /// Bytes of the whole document.
    pub size: u64,
    /// Place of the part's first byte in it.
    pub offset: u64,
    /// The part.
    pub bytes: Bytes,
}

impl Part {
    /// Whether it is the last one.
    pub fn is_last(&self) -> bool {
        self.offset + self.bytes.len() as u64 >= self.size
    }
}

/// What a follower holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Version of its newest whole document; 0 for none.
    pub version: u64,
    /// Version of the document that it has parts of; 0 for none.
    pub partial: u64,
    /// Bytes that it has of that one.
    pub offset: u64,
}

/// The first parts of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    version: u64,
    size: u64,
    bytes: Vec<u8>,
}

impl Partial {
    /// Whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// What is held, beside a whole document of `version`.
    pub fn held(&self, version: u64) -> Held {
        Held { version, partial: self.version, offset: self.bytes.len() as u64 }
    }

    /// Takes a part; gives the document once it is whole. A first part replaces what there was; any
    /// other counts only when it continues it.
    pub fn take(&mut self, part: Part) -> Option<Document> {
        if part.size > MAX_BYTES as u64 {
            return None;
        }
        if part.offset == 0 {
            *self = Partial { version: part.version, size: part.size, bytes: Vec::new() };
        }
        let continues = (part.version, part.size, part.offset)
            == (self.version, self.size, self.bytes.len() as u64);
        if !continues {
            return None;
        }
        self.bytes.extend_from_slice(&part.bytes);
        if !part.is_last() {
            return None;
        }
        let whole = std::mem::take(self);
        Some(Document { version: whole.version, bytes: Bytes::from(whole.bytes) })
    }
}
