//! Declarations as operators sent them, with delta encoding and chunking for transfer between
//! processes.
//!
//! A large document sent in one message occupies the link: heartbeats queued behind it are late,
//! leaders lose their quorum, and receivers whose transfer is aborted start over. Documents are
//! therefore encoded as a difference from one that the receiver has, and sent in parts. Each part
//! is a separate message with its own deadline, and received parts are kept across a change of
//! leader.

use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use zstd::stream::{read, write};

/// Maximum size of a part: 7 ms on a 40 Mbit/s link.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// Maximum size of a document.
pub const MAX_BYTES: usize = 8 << 20;

/// Compression level: the fastest one, since leader processes have a third of a CPU core.
const COMPRESSION_LEVEL: i32 = 1;

/// Base-2 logarithm of the encoder's minimum window.
const MIN_WINDOW_LOG: u32 = 17;

quick_error! {
    /// Error when decoding a document.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes are damaged, or encoded against another document.
        Damaged(cause: io::Error) {
            from()
            source(cause)
            display("could not decode the parts of a declaration, fetching them again: {}", cause)
        }
        /// The base document is not available.
        NoBase(version: u64) {
            display("a declaration is encoded against version {}, which is not available; fetching it in full", version)
        }
    }
}

/// A declaration as operators sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version.
    pub version: u64,
    /// The bytes as received; they are read back unchanged.
    pub bytes: Bytes,
}

impl Document {
    /// Encodes the document for a receiver that has `base`.
    pub fn encode(&self, base: Option<&Document>) -> Encoding {
        let bytes = compress(&self.bytes, base.map_or(&[], |base| &base.bytes));
        Encoding {
            version: self.version,
            base: base.map_or(0, |base| base.version),
            bytes: Bytes::from(bytes.expect("writing to memory does not fail")),
        }
    }
}

/// An encoded document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoding {
    /// Version of the document.
    pub version: u64,
    /// Version of the document that it is encoded against; 0 for none.
    pub base: u64,
    bytes: Bytes,
}

impl Encoding {
    /// Decodes the document; `base_document` is the document that the receiver has.
    pub fn decode(&self, base_document: Option<&Document>) -> Result<Document, Error> {
        let base = base_document.filter(|document| document.version == self.base);
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
    /// Offset of the part in the encoding.
    pub offset: u64,
    /// Bytes of the part.
    pub bytes: Bytes,
}

impl Part {
    /// Whether this is the last part.
    pub fn is_last(&self) -> bool {
        self.offset + self.bytes.len() as u64 >= self.size
    }
}

/// How far a follower has received documents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Version of its newest document; 0 for none.
    pub version: u64,
    /// Version of the document that it is receiving; 0 for none.
    pub partial_version: u64,
    /// Version that the parts are encoded against; 0 for none.
    pub base: u64,
    /// Bytes of the encoding that it has received.
    pub offset: u64,
}

/// An incomplete encoding: its first parts.
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

    /// The progress of a follower whose newest complete document is `version`.
    pub fn progress(&self, version: u64) -> Progress {
        let offset = self.bytes.len() as u64;
        Progress { version, partial_version: self.version, base: self.base, offset }
    }

    /// Adds a part and returns the encoding once it is complete. A first part discards all earlier
    /// parts; any other is ignored unless it continues them.
    pub fn add(&mut self, part: Part) -> Option<Encoding> {
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
        let complete = std::mem::take(self);
        let bytes = Bytes::from(complete.bytes);
        Some(Encoding { version: complete.version, base: complete.base, bytes })
    }
}

/// Compresses `bytes` for a receiver that has `base`.
pub(crate) fn compress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    // The window must cover the whole base.
    let reach = (bytes.len() + base.len()).next_power_of_two().ilog2();
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.window_log(reach.max(MIN_WINDOW_LOG))?;
    encoder.long_distance_matching(true)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(bytes.len() as u64))?;
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Reverses [`compress`].
pub(crate) fn decompress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    let limit = MAX_BYTES as u64 + 1;
    read::Decoder::with_ref_prefix(bytes, base)?.take(limit).read_to_end(&mut document)?;
    if document.len() > MAX_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            "document exceeds the maximum size",
        ));
    }
    Ok(document)
}
