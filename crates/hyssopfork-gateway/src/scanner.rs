//! Whole events of a stream, in order.
//!
//! Only whole events go to the caller, each once and none left out: a stream that breaks off can
//! then go on at another upstream after the last one.

use bytes::{Bytes, BytesMut};

/// Why a stream's bytes are none of this stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfOrder {
    /// Identifier that came.
    pub received: u64,
    /// Last identifier before it.
    pub previous: u64,
}

/// Tells whole events apart and follows their identifiers.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    last_event: Option<u64>,
}

impl Scanner {
    /// A scanner of a stream of which the caller has all up to event `last`.
    pub fn new(last_event: Option<u64>) -> Scanner {
        Scanner { buffer: BytesMut::new(), last_event }
    }

    /// Takes the next bytes and gives the events that are whole by now.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] when an identifier does not follow the one before it: the bytes of two runs
    /// would be joined with a gap or a repetition.
    pub fn feed(&mut self, data: &[u8]) -> Result<Bytes, OutOfOrder> {
        let mut scanned = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(data);
        let mut whole = 0;
        while let Some(end) = event_end(&self.buffer, scanned.max(whole)) {
            self.check_order(whole, end)?;
            whole = end;
            scanned = end;
        }
        Ok(self.buffer.split_to(whole).freeze())
    }

    /// Last event that was given out.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether the bytes so far end with a whole event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Drops the beginning of an event whose rest will not come.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    fn check_order(&mut self, from: usize, to: usize) -> Result<(), OutOfOrder> {
        let Some(came) = event_identifier(&self.buffer[from..to]) else { return Ok(()) };
        if let Some(last) = self.last_event.filter(|last| came != last + 1) {
            return Err(OutOfOrder { received: came, previous: last });
        }
        self.last_event = Some(came);
        Ok(())
    }
}

/// End of the first event whose end, an empty line, lies at or after `from`.
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

/// The event's identifier, where it has a number for one.
fn event_identifier(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
