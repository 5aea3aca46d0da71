//! Choice of the control instance to ask.

use std::net;

/// The choice.
#[derive(Clone, Debug)]
pub struct Target {
    addresses: Vec<net::SocketAddr>,
    current: Option<net::SocketAddr>,
    next: usize,
}

impl Target {
    /// Starts at the address that `offset` picks, so that a restarted fleet spreads over them.
    pub fn new(addresses: Vec<net::SocketAddr>, offset: u64) -> Target {
        let count = addresses.len().max(1) as u64;
        let next = (offset % count) as usize;
        let current = addresses.get(next).copied();
        Target { addresses, current, next }
    }

    /// Address to ask now; `None` when none is configured.
    pub fn current(&self) -> Option<net::SocketAddr> {
        self.current
    }

    /// `from` failed: moves on to the next address, unless another was chosen meanwhile.
    pub fn on_failure(&mut self, from: net::SocketAddr) {
        if self.current != Some(from) || self.addresses.is_empty() {
            return;
        }
        self.next = (self.next + 1) % self.addresses.len();
        self.current = Some(self.addresses[self.next]);
    }

    /// `from` doesn't lead: follows its hint, or moves on where it gave none.
    ///
    /// A hint is followed only from the instance that is asked now. A late one from another would
    /// lead away from a leader that was found since, and two instances with stale hints could
    /// send a watcher to and fro; a hint to the instance itself is none.
    pub fn on_not_leader(&mut self, from: net::SocketAddr, hint: Option<net::SocketAddr>) {
        match hint {
            Some(hint) if self.current == Some(from) && hint != from => self.current = Some(hint),
            _ => self.on_failure(from),
        }
    }
}
