//! Declarations as operators sent them, and the parts in which they travel between processes.
//!
//! A document sent in one message keeps a link busy for as long as it takes. Heartbeats behind it are
//! late, leaders lose their quorum, and whoever waited for it starts over. So a document is encoded
//! against one that the receiver holds, which leaves what has changed, and travels in parts: each is
//! a message of its own with a deadline of its own, and what has arrived is kept across a change of
//! leader.

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use zstd::stream::{read, write};

/// Most bytes of a part: 7 ms on a link of 40 Mbit/s.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// Most bytes of a document.
pub const MAX_BYTES: usize = 8 << 20;

/// Level of compression: the fastest one, since the processes that lead have a third of a processor.
const COMPRESSION_LEVEL: i32 = 1;

/// Least window of the encoder, as a power of two.
const MIN_WINDOW_LOG: u32 = 17;

quick_error! {
    /// Why an encoding can't be read.
    #[derive(Debug)]
    pub enum Error {
        /// Its bytes are damaged, or encoded against another document.
        Damaged(cause: io::Error) {
            from()
            source(cause)
            display("the parts of a declaration don't make one and are fetched anew: {}", cause)
        }
        /// It is encoded against a document that isn't held.
        NoBase(version: u64) {
            display("a declaration rests on version {}, which isn't held; it is fetched whole", version)
        }
    }
}

/// A declaration as operators sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version.
    pub version: u64,
    /// The bytes as they came: read back, they are the same.
    pub bytes: Bytes,
}

impl Document {
    /// Encodes the document for a receiver that holds `base`.
    pub fn encode(&self, base: Option<&Document>) -> Encoding {
        let bytes = compress(&self.bytes, base.map_or(&[], |base| &base.bytes));
        Encoding {
            version: self.version,
            base: base.map_or(0, |base| base.version),
            bytes: Bytes::from(bytes.expect("memory takes every byte")),
        }
    }
}

/// A document, encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoding {
    /// Version of the document.
    pub version: u64,
    /// Version of the document that it is encoded against; 0 for none.
    pub base: u64,
    bytes: Bytes,
}

impl Encoding {
    /// Reads the document; `held` is the one that the reader holds.
    pub fn decode(&self, held: Option<&Document>) -> Result<Document, Error> {
        let base = held.filter(|held| held.version == self.base);
        if self.base != 0 && base.is_none() {
            return Err(Error::NoBase(self.base));
        }
        let bytes = decompress(&self.bytes, base.map_or(&[], |base| &base.bytes))?;
        Ok(Document { version: self.version, bytes: Bytes::from(bytes) })
    }

    /// The part that begins at `offset`.
    pub fn part(&self, offset: usize) -> Part {
        let begin = offset.min(self.bytes.len());
        let end = self.bytes.len().min(begin + MAX_PART_BYTES);
        Part {
            version: self.version,
            base: self.base,
            size: self.bytes.len() as u64,
            offset: begin as u64,
            bytes: self.bytes.slice(begin..end),
        }
    }

    /// All parts, in order.
    pub fn parts(&self) -> impl Iterator<Item = Part> {
        (0..self.bytes.len()).step_by(MAX_PART_BYTES).map(|offset| self.part(offset))
    }
}

/// A part of an encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Version of the document.
    pub version: u64,
    /// Version of the document that it is encoded against; 0 for none.
    pub base: u64,
    /// Bytes of the whole encoding.
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
pub struct Progress {
    /// Version of its newest document; 0 for none.
    pub version: u64,
    /// Version of the document that it has parts of; 0 for none.
    pub partial_version: u64,
    /// Version that those parts are encoded against; 0 for none.
    pub base: u64,
    /// Bytes that it has of the encoding.
    pub offset: u64,
}

/// The first parts of an encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    version: u64,
    base: u64,
    size: u64,
    bytes: Vec<u8>,
}

impl Partial {
    /// Whether there are no parts.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// What is held, beside a document of `version`.
    pub fn progress(&self, version: u64) -> Progress {
        let offset = self.bytes.len() as u64;
        Progress { version, partial_version: self.version, base: self.base, offset }
    }

    /// Takes a part; gives the encoding once it is whole. A first part replaces what there was; any
    /// other counts only when it continues it.
    pub fn take(&mut self, part: Part) -> Option<Encoding> {
        if part.size > MAX_BYTES as u64 {
            return None;
        }
        if part.offset == 0 {
            *self = Partial {
                version: part.version,
                base: part.base,
                size: part.size,
                bytes: Vec::new(),
            };
        }
        let continues = (part.version, part.base, part.size, part.offset)
            == (self.version, self.base, self.size, self.bytes.len() as u64);
        if !continues {
            return None;
        }
        self.bytes.extend_from_slice(&part.bytes);
        if !part.is_last() {
            return None;
        }
        let whole = std::mem::take(self);
        let bytes = Bytes::from(whole.bytes);
        Some(Encoding { version: whole.version, base: whole.base, bytes })
    }
}

fn compress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    // The window must reach back over the whole base.
    let reach = (bytes.len() + base.len()).next_power_of_two().ilog2();
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.window_log(reach.max(MIN_WINDOW_LOG))?;
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(bytes.len() as u64))?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

fn decompress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let limit = MAX_BYTES as u64 + 1;
    read::Decoder::with_ref_prefix(bytes, base)?.take(limit).read_to_end(&mut document)?;
    if document.len() > MAX_BYTES {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, "it is too long"));
    }
    Ok(document)
}
