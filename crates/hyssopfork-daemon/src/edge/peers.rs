//! Calls between the system's processes.

use crate::edge::{control, engine};
use crate::{listener, mailbox, rpc};
use hyssopfork_fleet::groups::order;
use hyssopfork_fleet::{action, event, peer};
use hyssopfork_wire::{consensus, envelope};
use std::net;
use std::time::Duration;
use tarpc::{client, context, serde_transport, tokio_serde};
use tokio::sync::oneshot;

/// Time in which a greeting must be answered; it is sent again soon.
const GREET_LIMIT: Duration = Duration::from_millis(300);

/// Time in which a peer must say whether it reaches an upstream: its own question takes 80 ms. A
/// peer that was lost with the upstream holds the verdict up for as long.
const PROBE_LIMIT: Duration = Duration::from_millis(180);

/// Time in which the leader must take an upstream's call: the upstream waits for a second.
const REGISTER_LIMIT: Duration = Duration::from_millis(850);

/// Calls to peers.
#[derive(Default)]
pub struct Peers(rpc::Cache<peer::PeerClient>);

impl Peers {
    /// Delivers a message of the replicated log; whether it arrived.
    pub async fn deliver(&self, to: net::SocketAddr, packet: consensus::Packet) -> bool {
        let limit = rpc::DELIVERY_TIMEOUT;
        let Some((number, client)) = self.client(to).await else { return false };
        let call =
            client.deliver(rpc::context_with_timeout(limit), envelope::Envelope::new(packet));
        self.0.remove_if_failed(to, number, rpc::with_timeout(limit, call).await).is_some()
    }

    /// Greets a peer.
    pub async fn greet(&self, to: net::SocketAddr, hello: peer::Hello) -> Option<peer::Greeting> {
        let (number, client) = self.client(to).await?;
        let call =
            client.greet(rpc::context_with_timeout(GREET_LIMIT), envelope::Envelope::new(hello));
        self.0.remove_if_failed(to, number, rpc::with_timeout(GREET_LIMIT, call).await)
    }

    /// Asks the leader for what is new.
    pub async fn watch(&self, to: net::SocketAddr, watch: peer::Watch) -> Option<peer::Answer> {
        let limit = action::WATCH_TIMEOUT;
        let (number, client) = self.client(to).await?;
        let call = client.watch(rpc::context_with_timeout(limit), envelope::Envelope::new(watch));
        self.0.remove_if_failed(to, number, rpc::with_timeout(limit, call).await)
    }

    /// Tells the leader what was seen; it is told again with the next watch.
    pub async fn note(&self, to: net::SocketAddr, from: net::SocketAddr, seen: peer::Evidence) {
        let Some((number, client)) = self.client(to).await else { return };
        let call = client.note(
            rpc::context_with_timeout(GREET_LIMIT),
            from,
            envelope::Envelope::new(seen),
        );
        self.0.remove_if_failed(to, number, rpc::with_timeout(GREET_LIMIT, call).await);
    }

    /// Has a peer ask an upstream for a sign of life; whether it got one.
    pub async fn probe(&self, to: net::SocketAddr, upstream: net::SocketAddr) -> bool {
        let Some((number, client)) = self.client(to).await else { return false };
        let call =
            client.probe(rpc::context_with_timeout(PROBE_LIMIT), envelope::Envelope::new(upstream));
        self.0
            .remove_if_failed(to, number, rpc::with_timeout(PROBE_LIMIT, call).await)
            .unwrap_or(false)
    }

    /// Passes an upstream's call on to the leader; whether it has it.
    pub async fn register(&self, to: net::SocketAddr, registration: peer::Registration) -> bool {
        let limit = REGISTER_LIMIT;
        let Some((number, client)) = self.client(to).await else { return false };
        let call = client
            .register(rpc::context_with_timeout(limit), envelope::Envelope::new(registration));
        self.0.remove_if_failed(to, number, rpc::with_timeout(limit, call).await).unwrap_or(false)
    }

    async fn client(&self, to: net::SocketAddr) -> Option<(u64, peer::PeerClient)> {
        self.0.get(to, || connect(to)).await
    }
}

async fn connect(to: net::SocketAddr) -> Option<peer::PeerClient> {
    let mut connecting = serde_transport::tcp::connect(to, tokio_serde::formats::Bincode::default);
    connecting.config_mut().max_frame_length(listener::MAX_MESSAGE_BYTES);
    let transport = rpc::connect(connecting).await?;
    Some(peer::PeerClient::new(client::Config::default(), transport).spawn())
}

/// The server's handler.
#[derive(Clone, Debug)]
pub struct Server(pub mailbox::Mailbox<control::Input>);

impl Server {
    async fn call(&self, request: event::Request) -> Option<action::Reply> {
        let (reply, answered) = oneshot::channel();
        self.0.post(control::Input::Call(Box::new(request), reply));
        answered.await.ok()
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
            self.post(event::Event::Received(packet));
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

    async fn note(
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

    async fn register(
        self,
        _context: context::Context,
        registration: envelope::Envelope<peer::Registration>,
    ) -> bool {
        let Ok(registration) = registration.open() else { return false };
        let reply = self.call(event::Request::RegisterRelayed(registration)).await;
        matches!(reply, Some(action::Reply::Registered(_)))
    }
}

/// Serves peers' calls.
pub async fn serve(
    address: net::SocketAddr,
    mailbox: mailbox::Mailbox<control::Input>,
) -> Result<(), listener::Error> {
    use peer::Peer;
    listener::serve("calls of peers", address, Server(mailbox).serve()).await
}
