//! Datagrams with counts that the entries share, on the traffic thread.
//!
//! A datagram holds the protocol number and a [`Message`](occupancy::Message) in bincode. One that
//! can't be decoded is dropped and counted; the core drops those of unknown entries.

use crate::edge::traffic;
use bincode::Options;
use hyssopfork_gateway::{event, occupancy};
use hyssopfork_telemetry::metrics;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;
use std::{io, net};
use tokio::net::UdpSocket;
use tokio::time;

/// Number of the protocol. Datagrams of another number are dropped, and both entries estimate the
/// load.
pub const PROTOCOL: u8 = 1;

/// Longest datagram; with its headers it fits into a packet of 1,500 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Datagrams that are read in one [`occupancy::INTERVAL`]. More than the rate limits of all entries
/// lead to are a flood: the kernel drops the rest, and it takes no time from requests.
const MAX_DATAGRAMS_PER_INTERVAL: usize = 100;

/// Distance of the port from the peer port, which identifies an entry.
pub const PORT_OFFSET: u16 = 1;

/// Socket for datagrams.
pub struct Channel {
    socket: UdpSocket,
    registry: Arc<metrics::Registry>,
}

impl Channel {
    /// Creates a channel from a socket in non-blocking mode.
    pub fn new(socket: net::UdpSocket, registry: Arc<metrics::Registry>) -> io::Result<Channel> {
        Ok(Channel { socket: UdpSocket::from_std(socket)?, registry })
    }

    /// Sends a message to the entry with this peer address. If the socket accepts no data the
    /// message is lost, as it may be on the network.
    pub fn send(&self, to: net::SocketAddr, message: &occupancy::Message) {
        let to = to.port().checked_add(PORT_OFFSET).map(|port| net::SocketAddr::new(to.ip(), port));
        let sent = to.zip(encode(message)).map(|(to, bytes)| self.socket.try_send_to(&bytes, to));
        match sent {
            Some(Ok(_)) => self.registry.count_shared_load_sent(),
            Some(Err(_)) | None => self.registry.count_shared_load_drop(),
        }
    }

    /// Receives a message and the peer address of its sender; `None` for one that is dropped.
    async fn receive(&self) -> Option<(net::SocketAddr, occupancy::Message)> {
        // One more byte than allowed shows that a datagram is too long.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = match self.socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "cannot receive counts of other entries");
                return None;
            }
        };
        self.registry.count_shared_load_received();
        let port = from.port().checked_sub(PORT_OFFSET);
        let received = port.zip(decode(&bytes[..length]));
        if received.is_none() {
            self.registry.count_shared_load_drop();
        }
        received.map(|(port, message)| (net::SocketAddr::new(from.ip(), port), message))
    }
}

/// Exchanges counts for the entry until the process exits.
pub async fn run(entry: Rc<traffic::Entry>, channel: Rc<Channel>) {
    let mut intervals = time::interval(occupancy::INTERVAL);
    intervals.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut received = 0;
    loop {
        tokio::select! {
            biased;
            _ = intervals.tick() => {
                received = 0;
                entry.step(event::Event::SharingInterval);
            }
            message = channel.receive(), if received < MAX_DATAGRAMS_PER_INTERVAL => {
                received += 1;
                if let Some((from, message)) = message {
                    entry.step(event::Event::CountsReceived(from, message));
                }
            }
        }
    }
}

/// Boot number of this process: its start in ms since 1970.
pub fn boot_number() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Encodes a message; `None` if it is too long.
pub fn encode(message: &occupancy::Message) -> Option<Vec<u8>> {
    format().serialize(&(PROTOCOL, message)).ok()
}

/// Decodes a message; `None` if it is malformed, too long or of another protocol.
pub fn decode(bytes: &[u8]) -> Option<occupancy::Message> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.first() != Some(&PROTOCOL) {
        return None;
    }
    let decoded: Option<(u8, occupancy::Message)> = format().deserialize(bytes).ok();
    decoded.map(|(_, message)| message)
}

/// Integers take as many bytes as their value needs; bytes after the message are an error.
fn format() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_DATAGRAM_BYTES as u64)
}
