//! Record framing: each record has a sequence number, a length and a checksum.
//!
//! A record consists of the marker, the sequence number (8 bytes), the length of the body (4 bytes)
//! and the CRC-32 of these two and the body (4 bytes), all little-endian, then the body.

use std::ops;

const MARKER: [u8; 4] = *b"hfj1";

const HEADER_BYTES: usize = 20;

/// Record in a file.
#[derive(Debug, PartialEq, Eq)]
pub struct Record {
    /// Sequence number in the file, from 0.
    pub sequence: u64,
    /// Byte range of the body in the file.
    pub body: ops::Range<usize>,
}

/// Result of scanning a file.
#[derive(Debug)]
pub struct Scan {
    /// Intact records, in order.
    pub records: Vec<Record>,
    /// End offset of the last intact record.
    pub end: usize,
    /// Whether an intact record follows bytes that are not one. Each record is synced before the
    /// next is written, so the bytes before an intact record were synced and have changed since.
    pub damaged: bool,
}

/// Encodes a record and appends it to `bytes`.
pub fn encode(sequence: u64, body: &[u8], bytes: &mut Vec<u8>) {
    assert!(u32::try_from(body.len()).is_ok(), "the length of a record fits into four bytes");
    bytes.extend(MARKER);
    bytes.extend(sequence.to_le_bytes());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(checksum(sequence, body).to_le_bytes());
    bytes.extend(body);
}

/// Decodes the records of a file up to the first that is torn or damaged.
pub fn scan(bytes: &[u8]) -> Scan {
    let mut records = Vec::new();
    let mut end = 0;
    while let Some(record) = decode(bytes, end) {
        if record.sequence != records.len() as u64 {
            break;
        }
        end = record.body.end;
        records.push(record);
    }
    let damaged = (end..bytes.len()).any(|offset| decode(bytes, offset).is_some());
    Scan { records, end, damaged }
}

fn decode(bytes: &[u8], offset: usize) -> Option<Record> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let (marker, rest) = header.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (expected, _) = rest.split_first_chunk::<4>()?;
    if *marker != MARKER {
        return None;
    }
    let sequence = u64::from_le_bytes(*sequence);
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(u32::from_le_bytes(*length) as usize)?;
    let body = bytes.get(start..end)?;
    let intact = checksum(sequence, body) == u32::from_le_bytes(*expected);
    intact.then_some(Record { sequence, body: start..end })
}

fn checksum(sequence: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
