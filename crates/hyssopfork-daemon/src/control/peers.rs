//! Sends messages of the replicated log to the other voters.

use crate::rpc;
use hyssopfork_wire::{consensus, name};
use std::cell::Cell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;

/// Concurrent messages to one voter. Further ones are dropped, which the consensus protocol allows:
/// a voter that doesn't keep up would otherwise use unbounded memory.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;

/// Sends to the other voters.
pub struct Peers {
    clients: Rc<rpc::Clients>,
    addresses: HashMap<name::Instance, net::SocketAddr>,
    in_flight: HashMap<name::Instance, Rc<Cell<usize>>>,
}

impl Peers {
    /// Sends to the voters at `addresses`.
    pub fn new(addresses: HashMap<name::Instance, net::SocketAddr>) -> Peers {
        let in_flight = addresses.keys().map(|name| (name.clone(), Rc::default())).collect();
        Peers { clients: Rc::default(), addresses, in_flight }
    }

    /// Sends a message, or drops it when too many are in flight.
    pub fn send(&self, packet: consensus::Packet) {
        let Some(to) = self.addresses.get(&packet.to).copied() else { return };
        let Some(in_flight) = self.in_flight.get(&packet.to).cloned() else { return };
        if in_flight.get() >= MAX_IN_FLIGHT_MESSAGES {
            return;
        }
        in_flight.set(in_flight.get() + 1);
        let clients = self.clients.clone();
        actix_rt::spawn(async move {
            clients.deliver(to, packet).await;
            in_flight.set(in_flight.get() - 1);
        });
    }
}
