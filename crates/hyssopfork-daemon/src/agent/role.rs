//! The loop that owns the agent's core: inputs become events, actions become calls of the shell.

use crate::agent::{answer, engine, upstream};
use crate::{clock, link, mailbox, monitor};
use hyssopfork_agent::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{attempt, clock as wire_clock, member, timing};
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// What traffic threads and timers hand to the loop.
#[derive(Debug)]
pub enum Input {
    /// An event of the core that needs nothing of the shell.
    Event(event::Event),
    /// An entry offers an attempt.
    Offer(Box<attempt::Offer>, oneshot::Sender<Offered>),
    /// An entry takes up an attempt's answer.
    TakeUp(attempt::Identifier, oneshot::Sender<Option<Arc<answer::Answer>>>),
    /// An entry cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Boot of the agent's process that it was offered to.
        boot: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<attempt::Cancelled>,
    },
    /// The first member of a group asks.
    Ask(member::Request, oneshot::Sender<member::Response>),
}

/// How an offer was taken.
#[derive(Debug)]
pub enum Offered {
    /// The identifier is new; the receiver carries the orders for its upstream's side.
    New(Arc<answer::Answer>, mpsc::UnboundedReceiver<upstream::Order>),
    /// The identifier is known.
    Known(Arc<answer::Answer>),
}

/// What the loop keeps of one attempt.
#[derive(Debug)]
struct Slot {
    answer: Arc<answer::Answer>,
    orders: mpsc::UnboundedSender<upstream::Order>,
    ended: Option<wire_clock::Instant>,
}

/// The loop.
pub struct Role {
    core: core::Core,
    mailbox: mailbox::Mailbox<Input>,
    links: Rc<link::Links>,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    upstream: net::SocketAddr,
    slots: HashMap<attempt::Identifier, Slot>,
    cancels: HashMap<u64, oneshot::Sender<attempt::Cancelled>>,
    asks: HashMap<u64, oneshot::Sender<member::Response>>,
    calls: u64,
    stopped: bool,
}

impl Role {
    /// A loop around `core` whose back end listens on `upstream`.
    pub fn new(
        core: core::Core,
        mailbox: mailbox::Mailbox<Input>,
        readiness: Arc<monitor::Readiness>,
        registry: Arc<metrics::Registry>,
        upstream: net::SocketAddr,
    ) -> Role {
        Role {
            core,
            mailbox,
            links: Rc::default(),
            readiness,
            registry,
            upstream,
            slots: HashMap::new(),
            cancels: HashMap::new(),
            asks: HashMap::new(),
            calls: 0,
            stopped: false,
        }
    }

    /// Runs until the core says that it has stopped.
    pub async fn run(mut self, inputs: mpsc::UnboundedReceiver<Input>) {
        actix_rt::spawn(engine::probe(self.upstream, self.mailbox.clone()));
        mailbox::drain(&mut self, inputs, action::TICK_INTERVAL).await;
    }
}

impl mailbox::Owner for Role {
    type Input = Input;

    fn tick(&mut self) {
        self.step(event::Event::Tick);
        self.readiness.set(self.core.is_ready(clock::now()));
        crate::log::watched(&self.registry, self.core.watcher());
        let oldest = clock::now() - timing::RESPONSE_RETENTION;
        self.slots.retain(|_, slot| {
            if slot.ended.is_none() && slot.answer.has_ended() {
                slot.ended = Some(clock::now());
            }
            slot.ended.is_none_or(|ended| ended > oldest)
        });
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Offer(offer, reply) => self.offer(*offer, reply),
            Input::TakeUp(attempt, reply) => {
                let known = self.slots.get(&attempt).map(|slot| slot.answer.clone());
                let _receiver_gone = reply.send(known);
            }
            Input::Cancel { attempt, boot, reply } => {
                let call = self.next_call();
                self.cancels.insert(call, reply);
                self.step(event::Event::CancelRequested { call, attempt, boot });
            }
            Input::Ask(request, reply) => {
                let call = self.next_call();
                self.asks.insert(call, reply);
                self.step(event::Event::GrantRequested { call, request });
            }
        }
    }

    fn has_stopped(&self) -> bool {
        self.stopped
    }
}

impl Role {
    fn offer(&mut self, offer: attempt::Offer, reply: oneshot::Sender<Offered>) {
        let attempt = offer.attempt;
        if let Some(known) = self.slots.get(&attempt) {
            let _receiver_gone = reply.send(Offered::Known(known.answer.clone()));
            return;
        }
        let (orders, receiver) = mpsc::unbounded_channel();
        let answer = Arc::<answer::Answer>::default();
        let slot = Slot { answer: answer.clone(), orders, ended: None };
        self.slots.insert(attempt, slot);
        self.step(event::Event::OfferArrived(offer));
        let _receiver_gone = reply.send(Offered::New(answer, receiver));
    }

    fn next_call(&mut self) -> u64 {
        self.calls += 1;
        self.calls
    }

    fn step(&mut self, event: event::Event) {
        for action in self.core.step(clock::now(), event) {
            self.act(action);
        }
    }

    fn act(&mut self, action: action::Action) {
        match action {
            action::Action::CallControl { call, to, request, timeout } => {
                let links = self.links.clone();
                self.call_back(async move {
                    let response = links.control(to, *request, timeout).await;
                    event::Event::ControlResponded { call, response }
                });
            }
            action::Action::RequestGrant { call, to, request, timeout } => {
                let links = self.links.clone();
                self.call_back(async move {
                    let response = links.stand(to, request, timeout).await;
                    event::Event::GrantResponded { call, response }
                });
            }
            action::Action::ReplyGrant { call, response } => {
                answer(self.asks.remove(&call), response)
            }
            action::Action::ReplyCancel { call, outcome } => {
                answer(self.cancels.remove(&call), outcome)
            }
            action::Action::Connect { attempt, load } => self.prepare(attempt, load),
            action::Action::Resume(_) => {}
            action::Action::Forward(attempt) => self.order(attempt, upstream::Order::Forward),
            action::Action::Reject { attempt, rejection: refusal, load } => {
                if let Some(slot) = self.slots.get(&attempt) {
                    slot.answer.load(load);
                    slot.answer.refuse(refusal);
                }
                self.order(attempt, upstream::Order::Abort);
            }
            action::Action::Abort(attempt) => self.order(attempt, upstream::Order::Abort),
            action::Action::Order(order) => {
                let upstream = self.upstream;
                self.call_back(engine::order(upstream, order));
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::Stopped => self.stopped = true,
        }
    }

    fn prepare(&mut self, attempt: attempt::Identifier, load: hyssopfork_wire::frame::Load) {
        if let Some(slot) = self.slots.get(&attempt) {
            slot.answer.load(load);
        }
        self.order(attempt, upstream::Order::Prepare);
    }

    fn order(&self, attempt: attempt::Identifier, order: upstream::Order) {
        if let Some(slot) = self.slots.get(&attempt) {
            let _task_gone = slot.orders.send(order);
        }
    }

    fn call_back(&self, call: impl Future<Output = event::Event> + 'static) {
        self.mailbox.post_when(async move { Input::Event(call.await) });
    }
}

fn answer<T>(reply: Option<oneshot::Sender<T>>, value: T) {
    if let Some(reply) = reply {
        let _receiver_gone = reply.send(value);
    }
}
