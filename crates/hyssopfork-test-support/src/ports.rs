//! Free loopback ports for processes that are started later.

use rand::RngExt;
use std::{io, net};

/// Below the range from which systems commonly take the ports of outgoing connections: a port that
/// was free when it was drawn is otherwise soon taken by a connection of the trial itself.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Draws ports, each once.
#[derive(Debug)]
pub struct Allocator {
    next: u16,
    attempted: usize,
}

impl Allocator {
    /// Starts at a random port, so that trials at the same time seldom meet.
    pub fn new() -> Self {
        Allocator { next: rand::rng().random_range(PORT_RANGE), attempted: 0 }
    }

    /// The next port that nobody listens on.
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
