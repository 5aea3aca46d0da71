//! Server-sent events: splits the bytes of a response into events.
//!
//! Only complete events are passed to a client. A partial event could not be completed by another
//! upstream, which resumes a stream at the start of an event: the client would get the partial
//! event followed by the complete one.

use bytes::{Bytes, BytesMut};

/// Splits a stream into complete events and counts those with data.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    delivered_events: u64,
    ended: bool,
}

/// Data of the event that ends an engine's stream.
const DONE_DATA: &[u8] = b"[DONE]";

impl Splitter {
    /// Adds the next bytes of the response and returns the events that are complete by now.
    pub fn feed(&mut self, data: &[u8]) -> Bytes {
        // A terminator may span the old and the new bytes; at most three of its bytes are old.
        let mut scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(data);
        let mut complete = 0;
        while let Some(end) = find_event_end(&self.partial, scanned.max(complete)) {
            if has_data(&self.partial[complete..end]) {
                self.delivered_events += 1;
            }
            self.ended |= is_done_event(&self.partial[complete..end]);
            complete = end;
            scanned = end;
        }
        self.partial.split_to(complete).freeze()
    }

    /// Number of complete events with data that were returned. Comments are not counted: engines
    /// send them at will and don't number them.
    pub fn delivered_events(&self) -> u64 {
        self.delivered_events
    }

    /// Whether the event that ends the stream was returned: the client then has all of the stream,
    /// whatever happens to the connection to the upstream.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the partial event of an interrupted stream. The upstream that resumes the stream sends
    /// that event completely.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// End of the first event whose terminating empty line starts at or after `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|index| {
        let rest = &bytes[index..];
        if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
            Some(index + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(index + 4)
        } else {
            None
        }
    })
}

fn has_data(event: &[u8]) -> bool {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .any(|line| line.starts_with(b"data:") || line == b"data")
}

fn is_done_event(event: &[u8]) -> bool {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter_map(|line| line.strip_prefix(b"data:"))
        .any(|data| data.trim_ascii() == DONE_DATA)
}
