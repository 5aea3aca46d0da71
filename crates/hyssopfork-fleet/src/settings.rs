//! Settings of one process, and the limits derived from them.

use crate::peer;
use hyssopfork_wire::name;
use std::net;
use std::time::Duration;

/// Time for which an upstream waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address at which this process serves its peers. It is also its name in the replicated log,
    /// since after a power loss a voter knows only the names of the others.
    pub address: net::SocketAddr,
    /// Availability zone of this process's instance.
    pub zone: name::Zone,
    /// Addresses of the first peers to contact.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether this is the system's first start, with blank folders everywhere.
    pub first_start: bool,
    /// Whether this process has a data folder.
    pub has_folder: bool,
    /// Number of instances with a folder that may be lost at the same time.
    pub tolerated_losses: u32,
    /// Bytes per second that the link of this process's instance transmits.
    pub link_rate: u64,
    /// Time between two heartbeats of an upstream.
    pub heartbeat_interval: Duration,
    /// Time after which the platform breaks a group whose member doesn't answer.
    pub stall_timeout: Duration,
}

impl Settings {
    /// Introduction of this process to others, if it has a data folder. `had_seat` tells whether its
    /// folder has been that of a voter.
    pub fn introduction(&self, had_seat: bool) -> Option<peer::Introduction> {
        let is_initial = self.first_start || had_seat;
        let folder = peer::Folder { zone: self.zone.clone(), is_initial };
        self.has_folder.then_some(peer::Introduction { address: self.address, folder })
    }

    /// Voters required for a majority to remain after the loss of [`Settings::tolerated_losses`] of
    /// them.
    pub fn required_voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    /// Time for which an upstream of a zone that is out counts as cold for a new leader, unless it
    /// announces otherwise: two heartbeats and a call that times out.
    pub fn assumed_cold_time(&self) -> Duration {
        self.heartbeat_interval * 2 + CALL_TIMEOUT
    }

    /// Time without a call after which an upstream counts as silent: two missed heartbeats, and
    /// about a third of one for network delay.
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval * 23 / 10
    }
}
