//! The event loop that owns the agent's core: passes inputs to it as events and performs its
//! actions.

use crate::agent::{engine, response, upstream};
use crate::{clock, mailbox, monitor, rpc};
use hyssopfork_agent::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{attempt, clock as wire_clock, member, timing};
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Inputs from traffic threads and timers.
#[derive(Debug)]
pub enum Input {
    /// An event that is passed to the core unchanged.
    Event(event::Event),
    /// An entry offers an attempt.
    Offer(Box<attempt::Offer>, oneshot::Sender<Registration>),
    /// An entry resumes reading an attempt's response.
    Resume(attempt::Identifier, oneshot::Sender<Option<Arc<response::Response>>>),
    /// An entry cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: attempt::Identifier,
        /// Boot number of the agent process that it was offered to.
        boot: u64,
        /// Channel for the outcome.
        reply: oneshot::Sender<attempt::Cancelled>,
    },
    /// The first member of a group requests a grant.
    RequestGrant(member::Request, oneshot::Sender<member::Response>),
}

/// Whether an offered attempt was already known.
#[derive(Debug)]
pub enum Registration {
    /// The identifier is new; the receiver carries the commands for its exchange with the upstream.
    New(Arc<response::Response>, mpsc::UnboundedReceiver<upstream::Command>),
    /// The identifier is known.
    Known(Arc<response::Response>),
}

/// The event loop's state of one attempt.
#[derive(Debug)]
struct Attempt {
    response: Arc<response::Response>,
    commands: mpsc::UnboundedSender<upstream::Command>,
    ended_at: Option<wire_clock::Instant>,
}

/// The event loop.
pub struct Role {
    core: core::Core,
    mailbox: mailbox::Mailbox<Input>,
    clients: Rc<rpc::Clients>,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    upstream: net::SocketAddr,
    attempts: HashMap<attempt::Identifier, Attempt>,
    cancel_replies: HashMap<u64, oneshot::Sender<attempt::Cancelled>>,
    grant_replies: HashMap<u64, oneshot::Sender<member::Response>>,
    last_call: u64,
    stopped: bool,
}

impl Role {
    /// An event loop around `core` whose upstream listens on `upstream`.
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
            clients: Rc::default(),
            readiness,
            registry,
            upstream,
            attempts: HashMap::new(),
            cancel_replies: HashMap::new(),
            grant_replies: HashMap::new(),
            last_call: 0,
            stopped: false,
        }
    }

    /// Runs until the core says that it has stopped.
    pub async fn run(mut self, inputs: mailbox::Receiver<Input>) {
        actix_rt::spawn(engine::probe(self.upstream, self.mailbox.clone()));
        mailbox::run(&mut self, inputs, action::TICK_INTERVAL).await;
    }
}

impl mailbox::Actor for Role {
    type Input = Input;

    fn on_tick(&mut self) {
        self.step(event::Event::Tick);
        self.readiness.set(self.core.is_ready(clock::now()));
        crate::log::record_watcher(&self.registry, self.core.watcher());
        let oldest = clock::now() - timing::RESPONSE_RETENTION;
        self.attempts.retain(|_, attempt| {
            if attempt.ended_at.is_none() && attempt.response.has_ended() {
                attempt.ended_at = Some(clock::now());
            }
            attempt.ended_at.is_none_or(|ended| ended > oldest)
        });
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Offer(offer, reply) => self.on_offer(*offer, reply),
            Input::Resume(attempt, reply) => {
                let known = self.attempts.get(&attempt).map(|attempt| attempt.response.clone());
                let _receiver_gone = reply.send(known);
            }
            Input::Cancel { attempt, boot, reply } => {
                let call = self.next_call();
                self.cancel_replies.insert(call, reply);
                self.step(event::Event::CancelRequested { call, attempt, boot });
            }
            Input::RequestGrant(request, reply) => {
                let call = self.next_call();
                self.grant_replies.insert(call, reply);
                self.step(event::Event::GrantRequested { call, request });
            }
        }
    }

    fn has_stopped(&self) -> bool {
        self.stopped
    }
}

impl Role {
    fn on_offer(&mut self, offer: attempt::Offer, reply: oneshot::Sender<Registration>) {
        let identifier = offer.attempt;
        if let Some(known) = self.attempts.get(&identifier) {
            let _receiver_gone = reply.send(Registration::Known(known.response.clone()));
            return;
        }
        let (commands, receiver) = mpsc::unbounded_channel();
        let response = Arc::<response::Response>::default();
        let attempt = Attempt { response: response.clone(), commands, ended_at: None };
        self.attempts.insert(identifier, attempt);
        self.step(event::Event::OfferArrived(offer));
        let _receiver_gone = reply.send(Registration::New(response, receiver));
    }

    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    fn step(&mut self, event: event::Event) {
        for action in self.core.step(clock::now(), event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: action::Action) {
        match action {
            action::Action::CallControl { call, to, request, timeout } => {
                let clients = self.clients.clone();
                self.post_result(async move {
                    let response = clients.call_control(to, *request, timeout).await;
                    event::Event::ControlResponded { call, response }
                });
            }
            action::Action::RequestGrant { call, to, request, timeout } => {
                let clients = self.clients.clone();
                self.post_result(async move {
                    let response = clients.request_grant(to, request, timeout).await;
                    event::Event::GrantResponded { call, response }
                });
            }
            action::Action::ReplyGrant { call, response } => {
                send_reply(self.grant_replies.remove(&call), response)
            }
            action::Action::ReplyCancel { call, outcome } => {
                send_reply(self.cancel_replies.remove(&call), outcome)
            }
            action::Action::Connect { attempt, load } => self.connect(attempt, load),
            action::Action::Resume(_) => {}
            action::Action::Forward(attempt) => {
                self.send_command(attempt, upstream::Command::Forward)
            }
            action::Action::Reject { attempt, rejection: refusal, load } => {
                if let Some(attempt) = self.attempts.get(&attempt) {
                    attempt.response.set_load(load);
                    attempt.response.reject(refusal);
                }
                self.send_command(attempt, upstream::Command::Abort);
            }
            action::Action::Abort(attempt) => self.send_command(attempt, upstream::Command::Abort),
            action::Action::Order(order) => {
                let upstream = self.upstream;
                self.post_result(engine::load_model(upstream, order));
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::Stopped => self.stopped = true,
        }
    }

    fn connect(&mut self, attempt: attempt::Identifier, load: hyssopfork_wire::frame::Load) {
        if let Some(attempt) = self.attempts.get(&attempt) {
            attempt.response.set_load(load);
        }
        self.send_command(attempt, upstream::Command::Connect);
    }

    fn send_command(&self, attempt: attempt::Identifier, command: upstream::Command) {
        if let Some(attempt) = self.attempts.get(&attempt) {
            let _task_gone = attempt.commands.send(command);
        }
    }

    fn post_result(&self, call: impl Future<Output = event::Event> + 'static) {
        self.mailbox.post_when(async move { Input::Event(call.await) });
    }
}

fn send_reply<T>(reply: Option<oneshot::Sender<T>>, value: T) {
    if let Some(reply) = reply {
        let _receiver_gone = reply.send(value);
    }
}
