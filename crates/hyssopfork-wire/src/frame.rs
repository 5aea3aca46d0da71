//! Framing of an attempt's response, from an agent to an entry over HTTP.
//!
//! The body of the agent's HTTP response is a sequence of frames: one byte of kind, four bytes of
//! length (big-endian), the payload. A response is complete only when [`Frame::End`] was received
//! and its length and checksum match the data frames before it; a connection that closes earlier
//! has truncated the response.

use crate::{number, refusal};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Longest payload of one frame; a longer one is a fault of the sender.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

const HEADER_BYTES: usize = 5;

/// Status and headers of an upstream's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the headers forwarded to the client.
    pub headers: Vec<(String, String)>,
}

/// End marker of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Total length of the body in bytes, from the beginning of the response.
    pub length: u64,
    /// CRC-32 of the body.
    pub checksum: u32,
}

/// Load of an agent's upstream, sent ahead of each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Version of the agent's view.
    pub version: number::Version,
    /// Attempts in flight.
    pub running: u32,
    /// Current concurrency limit of the agent, in attempts.
    pub limit: u32,
    /// Whether the upstream is warm.
    pub warm: bool,
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// The agent accepted the attempt and forwards it to the upstream: from now on it may have run.
    Started,
    /// The agent or the upstream rejected the attempt.
    Refused(refusal::Refusal),
    /// Status and headers of the response.
    Head(Head),
    /// Part of the response body.
    Data(Bytes),
    /// The attempt is still running; sent when there is no other frame to send.
    KeepAlive,
    /// The response is complete.
    End(End),
    /// Load of the upstream.
    Load(Load),
}

quick_error! {
    /// Error in decoding a frame.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
        TooLong(length: usize) {
            display(
                "frame of {} bytes exceeds the limit of {}; run compatible releases at both ends",
                length,
                MAX_PAYLOAD_BYTES
            )
        }
        /// The kind byte is unknown, or the payload cannot be parsed.
        Unknown(kind: u8) {
            display(
                "unknown frame kind {} or payload; run compatible releases at both ends",
                kind
            )
        }
    }
}

/// Appends `frame` to `buffer`.
pub fn encode(frame: &Frame, buffer: &mut BytesMut) {
    let (kind, payload) = match frame {
        Frame::Started => (1, Bytes::new()),
        Frame::Refused(refusal) => (2, encode_json(refusal)),
        Frame::Head(head) => (3, encode_json(head)),
        Frame::Data(data) => (4, data.clone()),
        Frame::KeepAlive => (5, Bytes::new()),
        Frame::End(end) => (6, encode_json(end)),
        Frame::Load(load) => (7, encode_json(load)),
    };
    buffer.reserve(HEADER_BYTES + payload.len());
    buffer.put_u8(kind);
    buffer.put_u32(payload.len() as u32);
    buffer.put(payload);
}

/// Removes one frame from the front of `buffer`; `None` while it does not hold a complete frame.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, Error> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let kind = buffer[0];
    let length = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(Error::TooLong(length));
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let payload = buffer.split_to(length).freeze();
    let frame = match kind {
        1 => Frame::Started,
        2 => Frame::Refused(decode_json(kind, &payload)?),
        3 => Frame::Head(decode_json(kind, &payload)?),
        4 => Frame::Data(payload),
        5 => Frame::KeepAlive,
        6 => Frame::End(decode_json(kind, &payload)?),
        7 => Frame::Load(decode_json(kind, &payload)?),
        _ => return Err(Error::Unknown(kind)),
    };
    Ok(Some(frame))
}

fn encode_json<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).expect("frame payloads always serialize to JSON"))
}

fn decode_json<'a, T: Deserialize<'a>>(kind: u8, payload: &'a [u8]) -> Result<T, Error> {
    serde_json::from_slice(payload).map_err(|_| Error::Unknown(kind))
}
