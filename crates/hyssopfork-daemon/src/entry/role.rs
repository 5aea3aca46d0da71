//! The event loop that owns the entry's core: passes inputs to it as events and performs its
//! actions.

use crate::{clock, mailbox, monitor, rpc};
use bytes::Bytes;
use hyssopfork_entry::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::{attempt, frame, refusal};
use std::collections::HashMap;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time within which an agent must respond to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Inputs from traffic threads and timers.
#[derive(Debug)]
pub enum Input {
    /// An event that is passed to the core unchanged.
    Event(event::Event),
    /// A client's request arrived.
    RequestArrived {
        /// Number of the request.
        request: u64,
        /// The parsed request.
        arrival: Box<event::Arrival>,
        /// Channel to the request's handler.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// The request's handler has finished.
    RequestClosed(u64),
}

/// A command of the core to the handler of one request.
#[derive(Debug)]
pub enum Command {
    /// Offer an attempt to an agent.
    StartAttempt {
        /// The agent's address.
        to: net::SocketAddr,
        /// The offer.
        offer: Box<attempt::Offer>,
        /// Whether the response is collected instead of being forwarded.
        collect: bool,
    },
    /// Forward this attempt's response to the client.
    ForwardResponse(attempt::Identifier),
    /// Stop reading an attempt's response.
    DropAttempt(attempt::Identifier),
    /// Respond with this complete response.
    Respond(frame::Head, Bytes),
    /// Respond with a problem document.
    Reject(refusal::Refusal),
    /// Abort the response that was begun, ending an event stream with an error event.
    Abort(refusal::Refusal),
}

/// The event loop.
pub struct Role {
    core: core::Core,
    mailbox: mailbox::Mailbox<Input>,
    clients: Rc<rpc::Clients>,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    requests: HashMap<u64, mpsc::UnboundedSender<Command>>,
    attempts: HashMap<attempt::Identifier, u64>,
    stopped: bool,
}

impl Role {
    /// An event loop around `core`.
    pub fn new(
        core: core::Core,
        mailbox: mailbox::Mailbox<Input>,
        readiness: Arc<monitor::Readiness>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        Role {
            core,
            mailbox,
            clients: Rc::default(),
            readiness,
            registry,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            stopped: false,
        }
    }

    /// Runs until the core says that it has stopped.
    pub async fn run(mut self, inputs: mailbox::Receiver<Input>) {
        mailbox::run(&mut self, inputs, action::TICK_INTERVAL).await;
    }
}

impl mailbox::Actor for Role {
    type Input = Input;

    fn on_tick(&mut self) {
        self.step(event::Event::Tick);
        self.readiness.set(self.core.is_ready(clock::now()));
        let (queued, in_flight) = self.core.occupancy();
        self.registry.set_request_counts(queued, in_flight);
        crate::log::record_watcher(&self.registry, self.core.watcher());
        let requests = &self.requests;
        self.attempts.retain(|_, request| requests.contains_key(request));
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::RequestArrived { request, arrival, commands } => {
                self.requests.insert(request, commands);
                self.step(event::Event::RequestArrived { request, arrival: *arrival });
            }
            Input::RequestClosed(request) => {
                self.requests.remove(&request);
            }
        }
    }

    fn has_stopped(&self) -> bool {
        self.stopped
    }
}

impl Role {
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
            action::Action::StartAttempt { request, to, offer, collect } => {
                self.attempts.insert(offer.attempt, request);
                self.send_command(request, Command::StartAttempt { to, offer, collect });
            }
            action::Action::ForwardResponse { request, attempt } => {
                self.send_command(request, Command::ForwardResponse(attempt))
            }
            action::Action::DropAttempt(attempt) => {
                if let Some(request) = self.attempts.remove(&attempt) {
                    self.send_command(request, Command::DropAttempt(attempt));
                }
            }
            action::Action::CancelAttempt { attempt, to, boot } => {
                self.post_result(cancel(attempt, to, boot));
            }
            action::Action::Respond { request, head, body } => {
                self.send_command(request, Command::Respond(head, body))
            }
            action::Action::Reject { request, refusal } => {
                self.send_command(request, Command::Reject(refusal))
            }
            action::Action::Abort { request, refusal } => {
                self.send_command(request, Command::Abort(refusal))
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::RecordMeasurement(measure) => {
                crate::log::record_measurement(&self.registry, &measure)
            }
            action::Action::Stopped => self.stopped = true,
        }
    }

    fn send_command(&self, request: u64, command: Command) {
        if let Some(commands) = self.requests.get(&request) {
            let _handler_finished = commands.send(command);
        }
    }

    fn post_result(&self, call: impl Future<Output = event::Event> + 'static) {
        self.mailbox.post_when(async move { Input::Event(call.await) });
    }
}

async fn cancel(attempt: attempt::Identifier, to: net::SocketAddr, boot: u64) -> event::Event {
    let url = format!("http://{to}/attempts/{attempt}?boot={boot}");
    let request = crate::http::clients().fresh.delete(url).timeout(CANCEL_TIMEOUT);
    let outcome = match request.send().await {
        Ok(mut response) => response.json().await.ok(),
        Err(_) => None,
    };
    event::Event::CancelResponded { attempt, outcome }
}
