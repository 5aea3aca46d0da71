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
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which a message of the replicated log must be acknowledged by its receiver's shell.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Clients of one service, one for each address; owned by one thread.
pub struct Cache<Client> {
    clients: RefCell<HashMap<net::SocketAddr, (u64, Client)>>,
    last_number: Cell<u64>,
}

impl<Client> Default for Cache<Client> {
    fn default() -> Cache<Client> {
        Cache { clients: RefCell::new(HashMap::new()), last_number: Cell::new(0) }
    }
}

impl<Client: Clone> Cache<Client> {
    /// The client at `to`, opened by `open` where there is none; with its number.
    pub async fn get<Opened>(
        &self,
        to: net::SocketAddr,
        open: impl FnOnce() -> Opened,
    ) -> Option<(u64, Client)>
    where
        Opened: Future<Output = Option<Client>>,
    {
        if let Some(known) = self.clients.borrow().get(&to) {
            return Some(known.clone());
        }
        let client = open().await?;
        self.last_number.set(self.last_number.get() + 1);
        let numbered = (self.last_number.get(), client);
        self.clients.borrow_mut().insert(to, numbered.clone());
        Some(numbered)
    }

    /// Takes one client out of use, unless another has taken its place already.
    pub fn remove(&self, to: net::SocketAddr, number: u64) {
        let mut open = self.clients.borrow_mut();
        if open.get(&to).is_some_and(|(current, _)| *current == number) {
            open.remove(&to);
        }
    }

    /// Keeps a client whose call was answered, and takes it out of use otherwise.
    pub fn remove_if_failed<T>(
        &self,
        to: net::SocketAddr,
        number: u64,
        response: Option<T>,
    ) -> Option<T> {
        if response.is_none() {
            self.remove(to, number);
        }
        response
    }
}

/// Connections to control instances and agents.
#[derive(Default)]
pub struct Clients {
    control_clients: Cache<control::ControlClient>,
    member_clients: Cache<member::MemberClient>,
}

impl Clients {
    /// Calls a control instance; `None` when the call failed or its time ran out.
    pub async fn call_control(
        &self,
        to: net::SocketAddr,
        request: control::Request,
        timeout: Duration,
    ) -> Option<control::Response> {
        let (number, client) = self.control_clients.get(to, || connect_control(to)).await?;
        let call = client.call(context_with_timeout(timeout), envelope::Envelope::new(request));
        self.control_clients.remove_if_failed(to, number, with_timeout(timeout, call).await)
    }

    /// Delivers a message of the replicated log; whether it arrived.
    pub async fn deliver(&self, to: net::SocketAddr, packet: consensus::Packet) -> bool {
        let Some((number, client)) = self.control_clients.get(to, || connect_control(to)).await
        else {
            return false;
        };
        let call =
            client.deliver(context_with_timeout(DELIVERY_TIMEOUT), envelope::Envelope::new(packet));
        self.control_clients
            .remove_if_failed(to, number, with_timeout(DELIVERY_TIMEOUT, call).await)
            .is_some()
    }

    /// Asks another agent; `None` when the call failed or its time ran out.
    pub async fn request_grant(
        &self,
        to: net::SocketAddr,
        request: member::Request,
        timeout: Duration,
    ) -> Option<member::Response> {
        let (number, client) = self.member_clients.get(to, || connect_member(to)).await?;
        let call =
            client.request_grant(context_with_timeout(timeout), envelope::Envelope::new(request));
        self.member_clients.remove_if_failed(to, number, with_timeout(timeout, call).await)
    }
}

async fn connect_control(to: net::SocketAddr) -> Option<control::ControlClient> {
    let mut connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    connecting.config_mut().max_frame_length(crate::listener::MAX_MESSAGE_BYTES);
    let transport = connect(connecting).await?;
    Some(control::ControlClient::new(client::Config::default(), transport).spawn())
}

async fn connect_member(to: net::SocketAddr) -> Option<member::MemberClient> {
    let connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    let transport = connect(connecting).await?;
    Some(member::MemberClient::new(client::Config::default(), transport).spawn())
}

/// Context of a call that lasts for `timeout` at most.
pub fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// The connection, if it opens in time.
pub async fn connect<Transport>(
    connecting: impl Future<Output = io::Result<Transport>>,
) -> Option<Transport> {
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}

/// The answer of a call, if it comes in time.
pub async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, client::RpcError>>,
) -> Option<T> {
    let call = std::pin::pin!(call);
    let timeout = std::pin::pin!(tokio::time::sleep(timeout));
    match futures::future::select(call, timeout).await {
        Either::Left((response, _)) => response.ok(),
        Either::Right(_) => None,
    }
}
