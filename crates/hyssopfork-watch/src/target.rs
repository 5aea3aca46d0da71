//! Selection of the control instance that requests go to.

use std::net;

/// Selected control instance, out of the configured ones and the hinted leaders.
#[derive(Clone, Debug)]
pub struct Target {
    addresses: Vec<net::SocketAddr>,
    current: Option<net::SocketAddr>,
    next: usize,
}

impl Target {
    /// Selects the address at index `offset` modulo their number: with different offsets a fleet
    /// that restarts spreads its requests over the control instances.
    pub fn new(addresses: Vec<net::SocketAddr>, offset: u64) -> Target {
        let count = addresses.len().max(1) as u64;
        let next = (offset % count) as usize;
        let current = addresses.get(next).copied();
        Target { addresses, current, next }
    }

    /// Selected address; `None` if none is configured.
    pub fn current(&self) -> Option<net::SocketAddr> {
        self.current
    }

    /// Selects the next address after a request to `from` failed, unless another is selected
    /// already.
    pub fn on_failure(&mut self, from: net::SocketAddr) {
        if self.current != Some(from) || self.addresses.is_empty() {
            return;
        }
        self.next = (self.next + 1) % self.addresses.len();
        self.current = Some(self.addresses[self.next]);
    }

    /// Selects the address in `hint` after `from` responded that it is not the leader, or the next
    /// address if it gave none.
    ///
    /// A hint is followed only from the selected instance: a late one from another would lead away
    /// from a leader found since, and two instances with stale hints could redirect a watcher back
    /// and forth. A hint of `from` to itself is ignored.
    pub fn on_not_leader(&mut self, from: net::SocketAddr, hint: Option<net::SocketAddr>) {
        match hint {
            Some(hint) if self.current == Some(from) && hint != from => self.current = Some(hint),
            _ => self.on_failure(from),
        }
    }
}
