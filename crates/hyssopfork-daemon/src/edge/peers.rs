//! RPC between the edge processes.

use crate::edge::{control, engine};
use crate::{listener, mailbox, rpc};
use hyssopfork_fleet::groups::order;
use hyssopfork_fleet::{action, announcement, event, peer};
use hyssopfork_wire::{consensus, envelope};
use std::cell::Cell;
use std::net;
use std::time::Duration;
use tarpc::{client, context, serde_transport, tokio_serde};
use tokio::sync::oneshot;

/// Timeout of a greeting, an introduction and an evidence report. All are repeated soon.
const GREETING_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a probe through a peer; the peer's own probe takes up to 80 ms. If the peer failed
/// together with the upstream, the decision about the upstream is delayed by this long.
const PROBE_TIMEOUT: Duration = Duration::from_millis(180);

/// Timeout of a registration that is forwarded to the leader. The upstream waits 1 s for the
/// response.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(850);

/// Outcome of a message of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It arrived.
    Delivered,
    /// It may be lost.
    Failed,
    /// The peer's address refused the connection.
    Refused,
}

/// RPC clients of the peers.
#[derive(Default)]
pub struct Peers {
    clients: rpc::Cache<peer::PeerClient>,
    /// Clients for messages of the replicated log, which wait behind no answer with an update.
    log_clients: rpc::Cache<peer::PeerClient>,
    /// Clients for introductions: an older release closes the connection.
    introduction_clients: rpc::Cache<peer::PeerClient>,
}

impl Peers {
    /// Delivers a replicated log message.
    pub async fn deliver(&self, to: net::SocketAddr, packet: consensus::Packet) -> Delivery {
        let timeout = rpc::DELIVERY_TIMEOUT;
        let outcome = Cell::new(Delivery::Failed);
        let connecting = || connect_or_refused(to, || outcome.set(Delivery::Refused));
        let Some((number, client)) = self.log_clients.get(to, connecting).await else {
            return outcome.get();
        };
        let call =
            client.deliver(rpc::context_with_timeout(timeout), envelope::Envelope::new(packet));
        let response = rpc::with_timeout(timeout, call).await;
        match self.log_clients.remove_if_failed(to, number, response) {
            Some(()) => Delivery::Delivered,
            None => Delivery::Failed,
        }
    }

    /// Greets a peer.
    pub async fn greet(&self, to: net::SocketAddr, hello: peer::Hello) -> Option<peer::Greeting> {
        let (number, client) = self.client(to).await?;
        let call = client
            .greet(rpc::context_with_timeout(GREETING_TIMEOUT), envelope::Envelope::new(hello));
        self.clients.remove_if_failed(to, number, rpc::with_timeout(GREETING_TIMEOUT, call).await)
    }

    /// Introduces this process to a peer.
    pub async fn introduce(&self, to: net::SocketAddr, introduction: peer::Introduction) {
        let clients = &self.introduction_clients;
        let Some((number, client)) = clients.get(to, || connect(to)).await else { return };
        let call = client.introduce(
            rpc::context_with_timeout(GREETING_TIMEOUT),
            envelope::Envelope::new(introduction),
        );
        clients.remove_if_failed(to, number, rpc::with_timeout(GREETING_TIMEOUT, call).await);
    }

    /// Asks the leader for changes.
    pub async fn watch(&self, to: net::SocketAddr, watch: peer::Watch) -> Option<peer::Answer> {
        let timeout = action::WATCH_TIMEOUT;
        let (number, client) = self.client(to).await?;
        let call = client.watch(rpc::context_with_timeout(timeout), envelope::Envelope::new(watch));
        self.clients.remove_if_failed(to, number, rpc::with_timeout(timeout, call).await)
    }

    /// Sends evidence to the leader. A lost report is made up for by the next watch, which includes
    /// the evidence.
    pub async fn send_evidence(
        &self,
        to: net::SocketAddr,
        from: net::SocketAddr,
        evidence: peer::Evidence,
    ) {
        let Some((number, client)) = self.client(to).await else { return };
        let call = client.report_evidence(
            rpc::context_with_timeout(GREETING_TIMEOUT),
            from,
            envelope::Envelope::new(evidence),
        );
        self.clients.remove_if_failed(to, number, rpc::with_timeout(GREETING_TIMEOUT, call).await);
    }

    /// Asks a peer to probe an upstream; returns whether the upstream responded.
    pub async fn probe(&self, to: net::SocketAddr, upstream: net::SocketAddr) -> bool {
        let Some((number, client)) = self.client(to).await else { return false };
        let call = client
            .probe(rpc::context_with_timeout(PROBE_TIMEOUT), envelope::Envelope::new(upstream));
        self.clients
            .remove_if_failed(to, number, rpc::with_timeout(PROBE_TIMEOUT, call).await)
            .unwrap_or(false)
    }

    /// Forwards an upstream's registration to the leader; returns whether the leader accepted it.
    pub async fn register(&self, to: net::SocketAddr, registration: peer::Registration) -> bool {
        let timeout = REGISTRATION_TIMEOUT;
        let Some((number, client)) = self.client(to).await else { return false };
        let call = client
            .register(rpc::context_with_timeout(timeout), envelope::Envelope::new(registration));
        self.clients
            .remove_if_failed(to, number, rpc::with_timeout(timeout, call).await)
            .unwrap_or(false)
    }

    /// Forwards announcements of upstreams to the leader; returns whether the leader accepted them.
    pub async fn announce(
        &self,
        to: net::SocketAddr,
        announcements: Vec<announcement::Announcement>,
    ) -> bool {
        let timeout = REGISTRATION_TIMEOUT;
        let Some((number, client)) = self.client(to).await else { return false };
        let call = client
            .announce(rpc::context_with_timeout(timeout), envelope::Envelope::new(announcements));
        self.clients
            .remove_if_failed(to, number, rpc::with_timeout(timeout, call).await)
            .unwrap_or(false)
    }

    async fn client(&self, to: net::SocketAddr) -> Option<(u64, peer::PeerClient)> {
        self.clients.get(to, || connect(to)).await
    }
}

async fn connect(to: net::SocketAddr) -> Option<peer::PeerClient> {
    connect_or_refused(to, || {}).await
}

async fn connect_or_refused(
    to: net::SocketAddr,
    on_refused: impl FnOnce(),
) -> Option<peer::PeerClient> {
    let mut connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    connecting.config_mut().max_frame_length(listener::MAX_MESSAGE_BYTES);
    let transport = rpc::connect_or_refused(connecting, on_refused).await?;
    Some(peer::PeerClient::new(client::Config::default(), transport).spawn())
}

/// RPC server for the peers.
#[derive(Clone, Debug)]
pub struct Server(pub mailbox::Mailbox<control::Input>);

impl Server {
    async fn call(&self, request: event::Request) -> Option<action::Reply> {
        let (sender, receiver) = oneshot::channel();
        self.0.post(control::Input::Call(Box::new(request), sender));
        receiver.await.ok()
    }

    fn post(&self, event: event::Event) {
        self.0.post(control::Input::Event(Box::new(event)));
    }
}

impl peer::Peer for Server {
    async fn deliver(
        self,
        _context: context::Context,
        message: envelope::Envelope<consensus::Packet>,
    ) {
        if let Ok(packet) = message.open() {
            self.0.post_urgent(control::Input::Event(Box::new(event::Event::Received(packet))));
        }
    }

    async fn greet(
        self,
        _context: context::Context,
        hello: envelope::Envelope<peer::Hello>,
    ) -> peer::Greeting {
        let Ok(hello) = hello.open() else { return peer::Greeting::default() };
        match self.call(event::Request::Greet(hello)).await {
            Some(action::Reply::Greeting(greeting)) => greeting,
            _ => peer::Greeting::default(),
        }
    }

    async fn watch(
        self,
        _context: context::Context,
        watch: envelope::Envelope<peer::Watch>,
    ) -> peer::Answer {
        let Ok(watch) = watch.open() else { return peer::Answer::NotLeader(None) };
        match self.call(event::Request::Watch(Box::new(watch))).await {
            Some(action::Reply::Watched(answer)) => answer,
            _ => peer::Answer::NotLeader(None),
        }
    }

    async fn report_evidence(
        self,
        _context: context::Context,
        from: net::SocketAddr,
        evidence: envelope::Envelope<peer::Evidence>,
    ) {
        if let Ok(evidence) = evidence.open() {
            self.post(event::Event::Observed(from, evidence));
        }
    }

    async fn probe(
        self,
        _context: context::Context,
        address: envelope::Envelope<net::SocketAddr>,
    ) -> bool {
        let Ok(address) = address.open() else { return false };
        engine::probe(address).await == order::Liveness::Alive
    }

    async fn announce(
        self,
        _context: context::Context,
        announcements: envelope::Envelope<Vec<announcement::Announcement>>,
    ) -> bool {
        let Ok(announcements) = announcements.open() else { return false };
        let reply = self.call(event::Request::AnnounceRelayed(announcements)).await;
        matches!(reply, Some(action::Reply::Registered(_)))
    }

    async fn register(
        self,
        _context: context::Context,
        registration: envelope::Envelope<peer::Registration>,
    ) -> bool {
        let Ok(registration) = registration.open() else { return false };
        let reply = self.call(event::Request::RegisterRelayed(registration)).await;
        matches!(reply, Some(action::Reply::Registered(_)))
    }

    async fn introduce(
        self,
        _context: context::Context,
        introduction: envelope::Envelope<peer::Introduction>,
    ) {
        if let Ok(introduction) = introduction.open() {
            self.post(event::Event::Introduced(introduction));
        }
    }
}

/// Serves the peers' RPC requests.
pub async fn serve(
    address: net::SocketAddr,
    mailbox: mailbox::Mailbox<control::Input>,
) -> Result<(), listener::Error> {
    use peer::Peer;
    listener::serve("calls of peers", address, Server(mailbox).serve()).await
}
