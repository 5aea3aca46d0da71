//! Requests that crash the upstreams that run them.

use hyssopfork_wire::name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What a request asks for, the same for each repeat of it: a hash of its team, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Bytes of the body. It is compared first, so that few requests need to be hashed.
    pub length: u64,
    /// Start of the SHA-256 hash.
    pub digest: [u8; 16],
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = u64::from_be_bytes(self.digest[..8].try_into().unwrap_or_default());
        write!(formatter, "{prefix:016x}")
    }
}

/// One process of an upstream; the next one at the same address is another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The upstream.
    pub instance: name::Instance,
    /// Start of the process, in milliseconds since the Unix epoch by the upstream's own clock.
    pub born: u64,
}
