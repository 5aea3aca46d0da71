//! Connections to other processes of the system.
//!
//! A connection can go silent for good while new ones work, because something between its ends
//! has lost track of it. Each call therefore has a short time, and one that runs out takes the
//! connection out of use: the next call opens another.

use futures::future::Either;
use hyssopfork_wire::{consensus, control, envelope, member};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use std::{io, net};
use tarpc::{client, context, serde_transport, tokio_serde};

/// Time in which a connection must open.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time in which a message of the replicated log must be acknowledged by its receiver's shell.
pub const DELIVER_LIMIT: Duration = Duration::from_millis(400);

/// Connections to control instances and agents, one for each address; owned by one thread.
#[derive(Default)]
pub struct Links {
    controls: RefCell<HashMap<net::SocketAddr, (u64, control::ControlClient)>>,
    members: RefCell<HashMap<net::SocketAddr, (u64, member::MemberClient)>>,
    opened: RefCell<u64>,
}

impl Links {
    /// Calls a control instance; `None` when the call failed or its time ran out.
    pub async fn control(
        &self,
        to: net::SocketAddr,
        request: control::Request,
        timeout: Duration,
    ) -> Option<control::Response> {
        let (number, client) = self.control_client(to).await?;
        let called = client.call(until(timeout), envelope::Envelope::new(request));
        let answered = within(timeout, called).await;
        if answered.is_none() {
            forget(&self.controls, to, number);
        }
        answered
    }

    /// Delivers a message of the replicated log; whether it arrived.
    pub async fn deliver(&self, to: net::SocketAddr, packet: consensus::Packet) -> bool {
        let Some((number, client)) = self.control_client(to).await else { return false };
        let called = client.deliver(until(DELIVER_LIMIT), envelope::Envelope::new(packet));
        let arrived = within(DELIVER_LIMIT, called).await.is_some();
        if !arrived {
            forget(&self.controls, to, number);
        }
        arrived
    }

    /// Asks another agent; `None` when the call failed or its time ran out.
    pub async fn stand(
        &self,
        to: net::SocketAddr,
        request: member::Request,
        timeout: Duration,
    ) -> Option<member::Response> {
        let (number, client) = self.member_client(to).await?;
        let called = client.stand(until(timeout), envelope::Envelope::new(request));
        let answered = within(timeout, called).await;
        if answered.is_none() {
            forget(&self.members, to, number);
        }
        answered
    }

    async fn control_client(&self, to: net::SocketAddr) -> Option<(u64, control::ControlClient)> {
        if let Some(known) = self.controls.borrow().get(&to) {
            return Some(known.clone());
        }
        let mut connecting =
            serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
        connecting.config_mut().max_frame_length(crate::listener::MESSAGE_LIMIT);
        let transport = opened(connecting).await?;
        let client = control::ControlClient::new(client::Config::default(), transport).spawn();
        let number = self.count();
        self.controls.borrow_mut().insert(to, (number, client.clone()));
        Some((number, client))
    }

    async fn member_client(&self, to: net::SocketAddr) -> Option<(u64, member::MemberClient)> {
        if let Some(known) = self.members.borrow().get(&to) {
            return Some(known.clone());
        }
        let connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
        let transport = opened(connecting).await?;
        let client = member::MemberClient::new(client::Config::default(), transport).spawn();
        let number = self.count();
        self.members.borrow_mut().insert(to, (number, client.clone()));
        Some((number, client))
    }

    fn count(&self) -> u64 {
        *self.opened.borrow_mut() += 1;
        *self.opened.borrow()
    }
}

/// Takes one connection out of use, unless another has taken its place already.
fn forget<Client>(
    clients: &RefCell<HashMap<net::SocketAddr, (u64, Client)>>,
    to: net::SocketAddr,
    number: u64,
) {
    let mut clients = clients.borrow_mut();
    if clients.get(&to).is_some_and(|(current, _)| *current == number) {
        clients.remove(&to);
    }
}

fn until(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

async fn opened<Transport>(
    connecting: impl Future<Output = io::Result<Transport>>,
) -> Option<Transport> {
    tokio::time::timeout(CONNECT_LIMIT, connecting).await.ok()?.ok()
}

async fn within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, client::RpcError>>,
) -> Option<T> {
    let call = std::pin::pin!(call);
    let limit = std::pin::pin!(tokio::time::sleep(timeout));
    match futures::future::select(call, limit).await {
        Either::Left((answered, _)) => answered.ok(),
        Either::Right(_) => None,
    }
}
