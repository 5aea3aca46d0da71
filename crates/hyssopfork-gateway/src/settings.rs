//! Settings of an entry.

use hyssopfork_wire::name;
use std::net;
use std::time::Duration;

/// Settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this process, which identifies the entry.
    pub address: net::SocketAddr,
    /// Availability zone of this process.
    pub zone: name::Zone,
    /// Retries per request within a window, over all processes.
    pub retry_ratio: f64,
    /// Additional retries within a window, over all processes.
    pub retry_extra: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
}
