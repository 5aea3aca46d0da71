//! The loop that owns the control core: inputs become events, actions become calls of the shell.

use crate::edge::{engine, folder, peers, traffic};
use crate::{clock, log, mailbox};
use hyssopfork_fleet::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::consensus;
use std::cell::Cell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Messages of the log on their way to one voter at once; more are dropped, which the log's rules
/// allow: a voter that doesn't keep up would cost memory without bound.
const IN_FLIGHT_LIMIT: usize = 64;

/// What servers, timers and other threads hand to the loop.
#[derive(Debug)]
pub enum Input {
    /// An event of the core.
    Event(Box<event::Event>),
    /// A call, and where its reply goes.
    Call(Box<event::Request>, oneshot::Sender<action::Reply>),
}

/// The loop.
pub struct Role {
    core: core::Core,
    own: net::SocketAddr,
    peers: Rc<peers::Peers>,
    /// Messages of the log on their way, by voter.
    in_flight: HashMap<net::SocketAddr, Rc<Cell<usize>>>,
    folder: Option<folder::Writer>,
    mailbox: mailbox::Mailbox<Input>,
    news: mpsc::UnboundedSender<traffic::News>,
    registry: Arc<metrics::Registry>,
    calls: HashMap<u64, oneshot::Sender<action::Reply>>,
    count: u64,
}

impl Role {
    /// A loop around `core`.
    pub fn new(
        core: core::Core,
        own: net::SocketAddr,
        folder: Option<folder::Writer>,
        mailbox: mailbox::Mailbox<Input>,
        news: mpsc::UnboundedSender<traffic::News>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        Role {
            core,
            own,
            peers: Rc::default(),
            in_flight: HashMap::new(),
            folder,
            mailbox,
            news,
            registry,
            calls: HashMap::new(),
            count: 0,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self, inputs: mpsc::UnboundedReceiver<Input>) {
        mailbox::drain(&mut self, inputs, action::TICK_INTERVAL).await;
    }

    fn step(&mut self, event: event::Event) {
        let failed = matches!(event, event::Event::FolderFailed);
        for action in self.core.step(clock::now(), event) {
            self.act(action);
        }
        if let Some(folder) = self.folder.as_ref().filter(|_| failed) {
            folder.reopen();
        }
    }

    fn act(&mut self, action: action::Action) {
        match action {
            action::Action::Send(packet) => self.send(packet),
            action::Action::Persist(write) => {
                if let Some(folder) = &self.folder {
                    folder.write(write);
                }
            }
            action::Action::Reply(call, reply) => {
                self.registry.add_published_bytes(reply.document_bytes());
                if let Some(caller) = self.calls.remove(&call) {
                    let _caller_gone = caller.send(reply);
                }
            }
            action::Action::Greet(to, hello) => {
                let peers = self.peers.clone();
                self.later(async move {
                    peers.greet(to, hello).await.map(event::Event::GreetingAnswered)
                });
            }
            action::Action::Watch(to, watch) => {
                let peers = self.peers.clone();
                self.later(async move {
                    let answer = peers.watch(to, *watch).await;
                    Some(event::Event::WatchAnswered { from: to, answer })
                });
            }
            action::Action::Relay { call, to, registration } => {
                let peers = self.peers.clone();
                self.later(async move {
                    let accepted = peers.register(to, registration).await;
                    Some(event::Event::RelayAnswered { call, accepted })
                });
            }
            action::Action::SendEvidence(to, seen) => {
                let (peers, own) = (self.peers.clone(), self.own);
                self.later(async move {
                    peers.note(to, own, seen).await;
                    None
                });
            }
            action::Action::Order(order) => self.later(async move {
                let outcome = engine::order(&order).await;
                Some(event::Event::OrderAnswered(order.id, outcome))
            }),
            action::Action::Probe(instance, to) => self.later(async move {
                let sign = engine::probe(to).await;
                Some(event::Event::Probed(instance, sign))
            }),
            action::Action::RequestReport(instance, to) => self.later(async move {
                let report = engine::report(&instance, to).await?;
                Some(event::Event::Reported(instance, report))
            }),
            action::Action::ProbeViaPeer { peer, instance, address } => {
                let peers = self.peers.clone();
                self.later(async move {
                    let alive = peers.probe(peer, address).await;
                    Some(event::Event::PeerProbed(peer, instance, alive))
                });
            }
            action::Action::Publish(update, declaration) => {
                if self.news.send((update, declaration)).is_err() {
                    tracing::error!("the traffic thread has ended");
                }
            }
            action::Action::Notice(notice) => log::notice(&notice),
        }
    }

    /// Carries out `work` beside the loop and hands its event to it.
    fn later(&self, work: impl Future<Output = Option<event::Event>> + 'static) {
        let mailbox = self.mailbox.clone();
        actix_rt::spawn(async move {
            if let Some(event) = work.await {
                mailbox.post(Input::Event(Box::new(event)));
            }
        });
    }

    /// Sends a message of the log, or drops it.
    fn send(&mut self, packet: consensus::Packet) {
        let Some(to) = core::address_of(&packet.to) else { return };
        let in_flight = self.in_flight.entry(to).or_default().clone();
        if in_flight.get() >= IN_FLIGHT_LIMIT {
            return;
        }
        in_flight.set(in_flight.get() + 1);
        self.registry.add_replicated_bytes(packet.message.bytes());
        let peers = self.peers.clone();
        actix_rt::spawn(async move {
            peers.deliver(to, packet).await;
            in_flight.set(in_flight.get() - 1);
        });
    }
}

impl mailbox::Owner for Role {
    type Input = Input;

    fn tick(&mut self) {
        self.step(event::Event::Tick);
        if let Some((term, committed)) = self.core.progress() {
            self.registry.set_consensus(term, committed, self.core.is_active_leader());
        }
        let closed: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in closed {
            self.calls.remove(&call);
            self.step(event::Event::Abandoned(call));
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(*event),
            Input::Call(request, reply) => {
                self.count += 1;
                self.calls.insert(self.count, reply);
                self.step(event::Event::Called { call: self.count, request: *request });
            }
        }
    }

    fn has_stopped(&self) -> bool {
        false
    }
}
