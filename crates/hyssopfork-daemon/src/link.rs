//! Connections to other processes of the system.
//!
//! A connection can go silent for good while new ones work, because something between its ends
//! has lost track of it. Each call therefore has a short time, and one that runs out takes the
//! connection out of use: the next call opens another.

use futures::future::Either;
use hyssopfork_wire::{consensus, control, envelope, member};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use std::{io, net};
use tarpc::{client, context, serde_transport, tokio_serde};

/// Time in which a connection must open.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time in which a message of the replicated log must be acknowledged by its receiver's shell.
pub const DELIVER_LIMIT: Duration = Duration::from_millis(400);

/// Clients of one service, one for each address; owned by one thread.
pub struct Clients<Client> {
    open: RefCell<HashMap<net::SocketAddr, (u64, Client)>>,
    opened: Cell<u64>,
}

impl<Client> Default for Clients<Client> {
    fn default() -> Clients<Client> {
        Clients { open: RefCell::new(HashMap::new()), opened: Cell::new(0) }
    }
}

impl<Client: Clone> Clients<Client> {
    /// The client at `to`, opened by `open` where there is none; with its number.
    pub async fn get<Opened>(
        &self,
        to: net::SocketAddr,
        open: impl FnOnce() -> Opened,
    ) -> Option<(u64, Client)>
    where
        Opened: Future<Output = Option<Client>>,
    {
        if let Some(known) = self.open.borrow().get(&to) {
            return Some(known.clone());
        }
        let client = open().await?;
        self.opened.set(self.opened.get() + 1);
        let numbered = (self.opened.get(), client);
        self.open.borrow_mut().insert(to, numbered.clone());
        Some(numbered)
    }

    /// Takes one client out of use, unless another has taken its place already.
    pub fn forget(&self, to: net::SocketAddr, number: u64) {
        let mut open = self.open.borrow_mut();
        if open.get(&to).is_some_and(|(current, _)| *current == number) {
            open.remove(&to);
        }
    }

    /// Keeps a client whose call was answered, and takes it out of use otherwise.
    pub fn settle<T>(&self, to: net::SocketAddr, number: u64, answered: Option<T>) -> Option<T> {
        if answered.is_none() {
            self.forget(to, number);
        }
        answered
    }
}

/// Connections to control instances and agents.
#[derive(Default)]
pub struct Links {
    controls: Clients<control::ControlClient>,
    members: Clients<member::MemberClient>,
}

impl Links {
    /// Calls a control instance; `None` when the call failed or its time ran out.
    pub async fn control(
        &self,
        to: net::SocketAddr,
        request: control::Request,
        timeout: Duration,
    ) -> Option<control::Response> {
        let (number, client) = self.controls.get(to, || control_client(to)).await?;
        let called = client.call(until(timeout), envelope::Envelope::new(request));
        self.controls.settle(to, number, within(timeout, called).await)
    }

    /// Delivers a message of the replicated log; whether it arrived.
    pub async fn deliver(&self, to: net::SocketAddr, packet: consensus::Packet) -> bool {
        let Some((number, client)) = self.controls.get(to, || control_client(to)).await else {
            return false;
        };
        let called = client.deliver(until(DELIVER_LIMIT), envelope::Envelope::new(packet));
        self.controls.settle(to, number, within(DELIVER_LIMIT, called).await).is_some()
    }

    /// Asks another agent; `None` when the call failed or its time ran out.
    pub async fn stand(
        &self,
        to: net::SocketAddr,
        request: member::Request,
        timeout: Duration,
    ) -> Option<member::Response> {
        let (number, client) = self.members.get(to, || member_client(to)).await?;
        let called = client.request_grant(until(timeout), envelope::Envelope::new(request));
        self.members.settle(to, number, within(timeout, called).await)
    }
}

async fn control_client(to: net::SocketAddr) -> Option<control::ControlClient> {
    let mut connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    connecting.config_mut().max_frame_length(crate::listener::MESSAGE_LIMIT);
    let transport = opened(connecting).await?;
    Some(control::ControlClient::new(client::Config::default(), transport).spawn())
}

async fn member_client(to: net::SocketAddr) -> Option<member::MemberClient> {
    let connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    let transport = opened(connecting).await?;
    Some(member::MemberClient::new(client::Config::default(), transport).spawn())
}

/// Context of a call that lasts for `timeout` at most.
pub fn until(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// The connection, if it opens in time.
pub async fn opened<Transport>(
    connecting: impl Future<Output = io::Result<Transport>>,
) -> Option<Transport> {
    tokio::time::timeout(CONNECT_LIMIT, connecting).await.ok()?.ok()
}

/// The answer of a call, if it comes in time.
pub async fn within<T>(
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
