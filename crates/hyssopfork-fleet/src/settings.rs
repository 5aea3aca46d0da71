//! Settings of one process, and the figures that follow from them.

use std::net;
use std::time::Duration;

/// Settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where this process takes peers' calls; also its name in the replicated log, since after a
    /// loss of power the names are all that a voter remembers of the others.
    pub address: net::SocketAddr,
    /// Where the first peers take calls.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the system starts for the first time, with blank folders everywhere.
    pub first_start: bool,
    /// Whether this process has a data folder.
    pub has_folder: bool,
    /// Instances with a folder whose loss at the same time is to be borne.
    pub tolerated_losses: u32,
    /// Time between heartbeats of an upstream.
    pub heartbeat_interval: Duration,
}

impl Settings {
    /// Voters that bear the loss of [`Settings::tolerated`] of them: a majority must remain.
    pub fn required_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    /// Silence after which an upstream counts as silent: two heartbeats that did not come, and a
    /// share of a third for the way.
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval * 23 / 10
    }
}
