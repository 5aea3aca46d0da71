//! Settings of an entry.

use hyssopfork_wire::name;
use std::net;
use std::time::Duration;

/// Settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this process among the entries.
    pub address: net::SocketAddr,
    /// Availability zone of this process.
    pub zone: name::Zone,
    /// Sends beyond a request's first for each request of a window, over all processes.
    pub retry_ratio: f64,
    /// Sends beyond a request's first in a window besides, over all processes.
    pub retry_extra: f64,
    /// The window.
    pub retry_window: Duration,
}
