//! Splits a stream into complete events and checks their order.
//!
//! Only complete events are forwarded to the client, each once and without gaps, so that a stream
//! whose connection is lost can resume at another upstream after the last forwarded event.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. An event is held until it is complete.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event identifier that does not follow the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfOrder {
    /// Received identifier.
    pub received: u64,
    /// Identifier before it.
    pub previous: u64,
}

/// Splits the bytes of a stream into events and tracks their identifiers.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    last_event: Option<u64>,
    /// Whether the current attempt has sent an event.
    has_events: bool,
}

impl Scanner {
    /// Creates a scanner for a stream of which the client has received all events up to
    /// `last_event`.
    pub fn new(last_event: Option<u64>) -> Scanner {
        Scanner { buffer: BytesMut::new(), last_event, has_events: false }
    }

    /// Takes the next bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] if an identifier does not follow the previous one: the output of two runs
    /// would be joined with a gap or a repetition.
    pub fn feed(&mut self, data: &[u8]) -> Result<Bytes, OutOfOrder> {
        let mut scanned = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(data);
        let mut complete = 0;
        while let Some(end) = event_end(&self.buffer, scanned.max(complete)) {
            self.check_order(complete, end)?;
            complete = end;
            scanned = end;
        }
        self.has_events |= complete > 0;
        Ok(self.buffer.split_to(complete).freeze())
    }

    /// Last event that was returned.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether an event has been returned since the attempt began.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Whether the bytes so far end with a complete event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the beginning of an event is larger than an event may be.
    pub fn is_event_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Begins another attempt: discards the beginning of an event whose rest will not arrive.
    pub fn discard_partial(&mut self) {
        self.buffer = BytesMut::new();
        self.has_events = false;
    }

    fn check_order(&mut self, from: usize, to: usize) -> Result<(), OutOfOrder> {
        let Some(received) = event_identifier(&self.buffer[from..to]) else { return Ok(()) };
        if let Some(previous) = self.last_event.filter(|previous| received != previous + 1) {
            return Err(OutOfOrder { received, previous });
        }
        self.last_event = Some(received);
        Ok(())
    }
}

/// End of the first event whose terminating empty line begins at or after `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
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

/// Identifier of the event, if it is a number.
fn event_identifier(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
