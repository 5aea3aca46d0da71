//! Token buckets for the updates that a leader sends to its followers.
//!
//! Heartbeats of the replicated log share the link and the processor with updates for all followers.
//! Updates that are held back are merged with later changes, so a slower rate also means fewer
//! messages and bytes. After a pause, a change is sent to all followers at once.

use hyssopfork_wire::clock;
use std::time::Duration;

/// Share of the link that updates may use.
const UPDATE_SHARE: f64 = 0.4;

/// Time for which the link transmits updates at full rate after a pause; bounds how long a message
/// waits behind them.
const MAX_BURST: Duration = Duration::from_millis(30);

/// Updates per second. One takes a tenth of a millisecond of a processor, and a leader may have a
/// third of one.
const MESSAGE_RATE: f64 = 800.0;

/// Updates that may be sent at once after a pause.
const MAX_MESSAGE_BURST: f64 = 400.0;

/// Buckets of the updates and their bytes that may be sent now.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// Bytes per second of the link.
    rate: f64,
    /// Bytes that may be sent at `updated_at`; below 0 after a message larger than the burst.
    bytes: f64,
    /// Updates that may be sent at `updated_at`.
    messages: f64,
    updated_at: clock::Instant,
}

impl Bucket {
    /// Creates full buckets for a link that transmits `rate` bytes per second.
    pub fn new(now: clock::Instant, rate: u64) -> Bucket {
        let rate = rate as f64;
        let bytes = rate * MAX_BURST.as_secs_f64();
        Bucket { rate, bytes, messages: MAX_MESSAGE_BURST, updated_at: now }
    }

    /// Whether an update may be sent now.
    pub fn has_capacity(&mut self, now: clock::Instant) -> bool {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let added = self.rate * UPDATE_SHARE * elapsed;
        self.bytes = (self.bytes + added).min(self.rate * MAX_BURST.as_secs_f64());
        self.messages = (self.messages + MESSAGE_RATE * elapsed).min(MAX_MESSAGE_BURST);
        self.updated_at = self.updated_at.max(now);
        self.bytes > 0.0 && self.messages >= 1.0
    }

    /// Takes an update of `bytes`, which may exceed what is left.
    pub fn take(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
        self.messages -= 1.0;
    }
}
