//! Settings of the entry role: the `entry` section.

use crate::section;
use std::net;
use std::time::Duration;

/// The `entry` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Listen address for clients (HTTP).
    pub listen: net::SocketAddr,
    /// Maximum length of a request body, in bytes.
    pub body_limit_bytes: u64,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub keep_alive: Duration,
    /// Maximum number of concurrent client connections.
    pub connection_limit: u64,
}

/// Default of `body_limit_bytes`.
pub const DEFAULT_BODY_LIMIT_BYTES: u64 = 1 << 20;
/// Default of `head_timeout_ms`.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of `body_timeout_ms`.
pub const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Default of `keep_alive_ms`.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Default of `connection_limit`.
pub const DEFAULT_CONNECTION_LIMIT: u64 = 4096;

/// Reads the `entry` section; faults are added to the section's collector.
pub fn read(section: section::Section<'_>) -> Option<Entry> {
    let listen = section.address("listen");
    let body_limit_bytes =
        section.number("body_limit_bytes", DEFAULT_BODY_LIMIT_BYTES, 1..=1 << 26);
    let head_timeout = section.millis("head_timeout_ms", DEFAULT_HEAD_TIMEOUT, 1..=60_000);
    let body_timeout = section.millis("body_timeout_ms", DEFAULT_BODY_TIMEOUT, 1..=600_000);
    let keep_alive = section.millis("keep_alive_ms", DEFAULT_KEEP_ALIVE, 1..=3_600_000);
    let connection_limit =
        section.number("connection_limit", DEFAULT_CONNECTION_LIMIT, 1..=1 << 20);
    section.finish();
    Some(Entry {
        listen: listen?,
        body_limit_bytes,
        head_timeout,
        body_timeout,
        keep_alive,
        connection_limit,
    })
}
