//! Envelope of every message between processes: the protocol version and the message.

use serde::{Deserialize, Serialize};

/// Version of the protocol that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// A message with the protocol version of its sender.
///
/// A receiver with another version rejects the message with an error that names both versions, so
/// that a fleet of incompatible releases reports the fault instead of misreading bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Protocol version of the sender.
    pub protocol: u16,
    /// The message.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Wraps `body` with this build's protocol version.
    pub fn new(body: T) -> Self {
        Envelope { protocol: PROTOCOL_VERSION, body }
    }

    /// Returns the message if the sender's version is this build's, or else the sender's version.
    pub fn open(self) -> Result<T, u16> {
        if self.protocol == PROTOCOL_VERSION { Ok(self.body) } else { Err(self.protocol) }
    }
}
