//! The outermost layer of every message between processes.

use serde::{Deserialize, Serialize};

/// Version of the protocol that this build speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// A message with the protocol version of its sender.
///
/// A receiver that doesn't know the version refuses the message with an error that names both
/// versions, so that a mixed fleet fails loudly in place of misreading bytes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Protocol version of the sender.
    pub protocol: u16,
    /// The message.
    pub body: T,
}

impl<T> Envelope<T> {
    /// Wraps `body` for this build's protocol version.
    pub fn new(body: T) -> Self {
        Envelope { protocol: PROTOCOL_VERSION, body }
    }

    /// The message, when this build speaks the sender's version; the sender's version otherwise.
    pub fn open(self) -> Result<T, u16> {
        if self.protocol == PROTOCOL_VERSION { Ok(self.body) } else { Err(self.protocol) }
    }
}
