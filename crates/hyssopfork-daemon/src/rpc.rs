//! RPC clients for other processes of the system.
//!
//! A connection can become permanently silent while new ones work, for example when a middlebox
//! loses its state. Each call therefore has a short timeout, and a call that times out removes its
//! connection: the next call opens another. What silences one connection may silence all of them, so a
//! call to control also removes those that have been idle since it began: otherwise a caller that tries
//! one instance after the other would wait for each of them.

use futures::future::Either;
use hyssopfork_wire::{consensus, control, envelope, member};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use std::{io, net};
use tarpc::{client, context, serde_transport, tokio_serde};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which the receiving process must acknowledge a message of the replicated log.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Cached clients of one service, one for each address; owned by one thread.
pub struct Cache<Client> {
    clients: RefCell<HashMap<net::SocketAddr, Cached<Client>>>,
    last_number: Cell<u64>,
}

struct Cached<Client> {
    number: u64,
    client: Client,
    /// When the connection was opened, or when the last response arrived on it.
    last_active: Instant,
}

impl<Client> Default for Cache<Client> {
    fn default() -> Cache<Client> {
        Cache { clients: RefCell::new(HashMap::new()), last_number: Cell::new(0) }
    }
}

impl<Client: Clone> Cache<Client> {
    /// The client for `to`, opened by `open` if there is none, with its number.
    pub async fn get<Opened>(
        &self,
        to: net::SocketAddr,
        open: impl FnOnce() -> Opened,
    ) -> Option<(u64, Client)>
    where
        Opened: Future<Output = Option<Client>>,
    {
        if let Some(known) = self.clients.borrow().get(&to) {
            return Some((known.number, known.client.clone()));
        }
        let client = open().await?;
        self.last_number.set(self.last_number.get() + 1);
        let number = self.last_number.get();
        let cached = Cached { number, client: client.clone(), last_active: Instant::now() };
        self.clients.borrow_mut().insert(to, cached);
        Some((number, client))
    }

    /// Removes a client, unless it has already been replaced.
    pub fn remove(&self, to: net::SocketAddr, number: u64) {
        let mut open = self.clients.borrow_mut();
        if open.get(&to).is_some_and(|current| current.number == number) {
            open.remove(&to);
        }
    }

    /// Removes all clients that have been idle since `since`.
    pub fn remove_idle(&self, since: Instant) {
        self.clients.borrow_mut().retain(|_, cached| cached.last_active >= since);
    }

    /// Passes the response through; removes the client if there is none.
    pub fn remove_if_failed<T>(
        &self,
        to: net::SocketAddr,
        number: u64,
        response: Option<T>,
    ) -> Option<T> {
        if response.is_none() {
            self.remove(to, number);
        } else if let Some(cached) = self.clients.borrow_mut().get_mut(&to)
            && cached.number == number
        {
            cached.last_active = Instant::now();
        }
        response
    }
}

/// Clients for control instances and agents.
#[derive(Default)]
pub struct Clients {
    control_clients: Cache<control::ControlClient>,
    member_clients: Cache<member::MemberClient>,
}

impl Clients {
    /// Calls a control instance; `None` when the call failed or timed out.
    pub async fn call_control(
        &self,
        to: net::SocketAddr,
        request: control::Request,
        timeout: Duration,
    ) -> Option<control::Response> {
        let (number, client) = self.control_clients.get(to, || connect_control(to)).await?;
        let called_at = Instant::now();
        let call = client.call(context_with_timeout(timeout), envelope::Envelope::new(request));
        let response = with_timeout(timeout, call).await;
        if response.is_none() {
            self.control_clients.remove_idle(called_at);
        }
        self.control_clients.remove_if_failed(to, number, response)
    }

    /// Delivers a message of the replicated log; returns whether it was acknowledged.
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

    /// Requests a grant from another agent; `None` when the call failed or timed out.
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

/// The connection, if it opens within `CONNECT_TIMEOUT`; `on_refused` is called if the other side refuses
/// it, as where no process listens.
pub async fn connect_or_refused<Transport>(
    connecting: impl Future<Output = io::Result<Transport>>,
    on_refused: impl FnOnce(),
) -> Option<Transport> {
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()? {
        Ok(transport) => Some(transport),
        Err(error) => {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                on_refused();
            }
            None
        }
    }
}

/// Context of a call with this timeout.
pub fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}

/// The connection, if it opens within `CONNECT_TIMEOUT`.
pub async fn connect<Transport>(
    connecting: impl Future<Output = io::Result<Transport>>,
) -> Option<Transport> {
    tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()
}

/// The response to a call, if it arrives within `timeout`.
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
