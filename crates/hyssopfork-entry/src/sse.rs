//! Server-sent events, told apart in an answer's bytes.
//!
//! Only whole events reach a caller. A half event could not be completed by another upstream,
//! which resumes a stream at an event's beginning: the caller would get the half and then the
//! whole one.

use bytes::{Bytes, BytesMut};

/// Tells whole events apart and counts them.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    delivered_events: u64,
    ended: bool,
}

/// Data of the event that ends an engine's stream.
const DONE_DATA: &[u8] = b"[DONE]";

impl Splitter {
    /// Takes the next bytes of the answer; gives the events that are whole by now.
    pub fn feed(&mut self, data: &[u8]) -> Bytes {
        // An end mark may straddle the old bytes and the new ones, by three bytes at most.
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

    /// Events with data that were given out whole. Comments don't count: engines send them as
    /// they like and don't number them.
    pub fn delivered_events(&self) -> u64 {
        self.delivered_events
    }

    /// Whether the event that ends the stream was given out: the caller has all of it, whatever
    /// becomes of the connection that brought it.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops the half event of a stream that broke off: the upstream that resumes it sends that
    /// event whole.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// End of the first event whose end mark, an empty line, lies at or after `from`.
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
