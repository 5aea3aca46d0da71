//! Allocation of free loopback ports for processes that are started later.

use rand::RngExt;
use std::{io, net};

/// Range of allocated ports. It lies below the usual ephemeral port range: otherwise an outgoing
/// connection of the trial itself could take a port between its allocation and its use.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Allocates each port at most once.
#[derive(Debug)]
pub struct Allocator {
    next: u16,
    attempted: usize,
}

impl Allocator {
    /// Creates an allocator that starts at a random port, so that concurrent trials seldom collide.
    pub fn new() -> Self {
        Allocator { next: rand::rng().random_range(PORT_RANGE), attempted: 0 }
    }

    /// Returns the loopback address with the next port that no process listens on.
    pub fn allocate(&mut self) -> io::Result<net::SocketAddr> {
        while self.attempted < PORT_RANGE.len() {
            let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, self.next));
            self.next =
                if self.next + 1 < PORT_RANGE.end { self.next + 1 } else { PORT_RANGE.start };
            self.attempted += 1;
            if net::TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::Error::other("no free loopback port is left"))
    }
}

impl Default for Allocator {
    fn default() -> Self {
        Allocator::new()
    }
}
