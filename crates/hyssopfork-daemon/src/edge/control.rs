//! Control role: an event loop around the fleet core that turns inputs into events and executes the
//! core's actions.

use crate::edge::{engine, journal, peers, traffic, view_store};
use crate::{clock, log, mailbox};
use hyssopfork_fleet::groups::order;
use hyssopfork_fleet::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::consensus;
use std::cell::Cell;
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of replicated log messages in flight to one voter. Further messages are dropped,
/// which the log protocol tolerates; a voter that can't keep up would otherwise use unbounded
/// memory.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;

/// Input from servers, timers and other threads.
#[derive(Debug)]
pub enum Input {
    /// Event of the core.
    Event(Box<event::Event>),
    /// Request, and the channel for its reply.
    Call(Box<event::Request>, oneshot::Sender<action::Reply>),
}

/// Threads that write to the data folder.
#[derive(Debug)]
pub struct Storage {
    /// Writer of the journal.
    pub journal: journal::Writer,
    /// Writer of the view.
    pub views: view_store::Store,
}

/// Event loop of the control role.
pub struct Role {
    core: core::Core,
    own_address: net::SocketAddr,
    peers: Rc<peers::Peers>,
    /// Number of replicated log messages in flight, by voter.
    in_flight: HashMap<net::SocketAddr, Rc<Cell<usize>>>,
    storage: Option<Storage>,
    mailbox: mailbox::Mailbox<Input>,
    publisher: mpsc::UnboundedSender<traffic::Publication>,
    registry: Arc<metrics::Registry>,
    pending_calls: HashMap<u64, oneshot::Sender<action::Reply>>,
    call_count: u64,
}

impl Role {
    /// Creates an event loop around `core`. `own_address` is the address of this process among its peers.
    pub fn new(
        core: core::Core,
        own_address: net::SocketAddr,
        storage: Option<Storage>,
        mailbox: mailbox::Mailbox<Input>,
        publisher: mpsc::UnboundedSender<traffic::Publication>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        Role {
            core,
            own_address,
            peers: Rc::default(),
            in_flight: HashMap::new(),
            storage,
            mailbox,
            publisher,
            registry,
            pending_calls: HashMap::new(),
            call_count: 0,
        }
    }

    /// Runs until the process exits.
    pub async fn run(mut self, inputs: mailbox::Receiver<Input>) {
        mailbox::run(&mut self, inputs, action::TICK_INTERVAL).await;
    }

    fn step(&mut self, event: event::Event) {
        let folder_failed = matches!(event, event::Event::FolderFailed);
        for action in self.core.step(clock::now(), event) {
            self.execute(action);
        }
        if let Some(storage) = self.storage.as_ref().filter(|_| folder_failed) {
            storage.journal.reopen();
        }
    }

    fn execute(&mut self, action: action::Action) {
        match action {
            action::Action::Send(packet) => self.send(packet),
            action::Action::Persist(write) => {
                if let Some(storage) = &self.storage {
                    storage.journal.write(write);
                }
            }
            action::Action::SaveView(view) => {
                if let Some(storage) = &self.storage {
                    storage.views.save(view);
                }
            }
            action::Action::Reply(call, reply) => {
                self.registry.add_published_bytes(reply.document_bytes());
                self.registry.add_update_bytes(reply.update_bytes());
                if let Some(sender) = self.pending_calls.remove(&call) {
                    let _client_gone = sender.send(reply);
                }
            }
            action::Action::Greet(to, hello) => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    peers.greet(to, hello).await.map(event::Event::GreetingAnswered)
                });
            }
            action::Action::Introduce(to, introduction) => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    peers.introduce(to, introduction).await;
                    None
                });
            }
            action::Action::Watch(to, watch) => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    let answer = peers.watch(to, *watch).await;
                    Some(event::Event::WatchAnswered { from: to, answer })
                });
            }
            action::Action::Relay { call, to, registration } => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    let accepted = peers.register(to, registration).await;
                    Some(event::Event::RelayAnswered { call, accepted })
                });
            }
            action::Action::RelayBatch(to, batch) => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    let accepted = peers.announce(to, batch.announcements).await;
                    Some(event::Event::BatchAnswered { number: batch.number, accepted })
                });
            }
            action::Action::SendEvidence(to, evidence) => {
                let (peers, own_address) = (self.peers.clone(), self.own_address);
                self.spawn(async move {
                    peers.send_evidence(to, own_address, evidence).await;
                    None
                });
            }
            action::Action::Order(order) => self.spawn(async move {
                let outcome = engine::send_order(&order).await;
                Some(event::Event::OrderAnswered(order.id, outcome))
            }),
            action::Action::Probe(instance, to, probe) => self.spawn(async move {
                let liveness = match probe {
                    order::Probe::Report => engine::probe(to).await,
                    order::Probe::Connection => engine::probe_connection(to).await,
                };
                Some(event::Event::Probed(instance, liveness))
            }),
            action::Action::RequestReport(instance, to) => self.spawn(async move {
                let report = engine::request_report(&instance, to).await?;
                Some(event::Event::Reported(instance, report))
            }),
            action::Action::ProbeViaPeer { peer, instance, address } => {
                let peers = self.peers.clone();
                self.spawn(async move {
                    let alive = peers.probe(peer, address).await;
                    Some(event::Event::PeerProbed(peer, instance, alive))
                });
            }
            action::Action::Confirm { confirmed_at, newest_version } => {
                self.publish(traffic::Publication::Confirmed { confirmed_at, newest_version });
            }
            action::Action::Declare(declaration) => {
                self.publish(traffic::Publication::Declared(declaration));
            }
            action::Action::Publish(update, declaration) => {
                self.publish(traffic::Publication::Updated(update, declaration));
            }
            action::Action::Notice(notice) => log::notice(&notice),
        }
    }

    fn publish(&self, publication: traffic::Publication) {
        if self.publisher.send(publication).is_err() {
            tracing::error!("cannot publish a view update: the traffic thread has ended");
        }
    }

    /// Runs `work` as a separate task and passes its event to the loop.
    fn spawn(&self, work: impl Future<Output = Option<event::Event>> + 'static) {
        let mailbox = self.mailbox.clone();
        actix_rt::spawn(async move {
            if let Some(event) = work.await {
                mailbox.post(Input::Event(Box::new(event)));
            }
        });
    }

    /// Sends a replicated log message, or drops it if too many are in flight to that voter.
    fn send(&mut self, packet: consensus::Packet) {
        let Some(to) = core::address_of(&packet.to) else { return };
        let in_flight = self.in_flight.entry(to).or_default().clone();
        if in_flight.get() >= MAX_IN_FLIGHT_MESSAGES {
            return;
        }
        in_flight.set(in_flight.get() + 1);
        self.registry.add_replicated_bytes(packet.message.bytes());
        let peers = self.peers.clone();
        self.spawn(async move {
            let delivery = peers.deliver(to, packet).await;
            in_flight.set(in_flight.get() - 1);
            (delivery == peers::Delivery::Refused).then_some(event::Event::Refused(to))
        });
    }
}

impl mailbox::Actor for Role {
    type Input = Input;

    fn on_tick(&mut self) {
        self.step(event::Event::Tick);
        if let Some((term, committed)) = self.core.progress() {
            self.registry.set_consensus(term, committed, self.core.is_active_leader());
            self.registry.set_knows_fleet(self.core.knows_fleet());
        }
        let closed: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in closed {
            self.pending_calls.remove(&call);
            self.step(event::Event::Abandoned(call));
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(*event),
            Input::Call(request, reply) => {
                self.call_count += 1;
                self.pending_calls.insert(self.call_count, reply);
                self.step(event::Event::Called { call: self.call_count, request: *request });
            }
        }
    }

    fn has_stopped(&self) -> bool {
        false
    }
}
