//! The loop that owns the entry's core: inputs become events, actions become calls of the shell.

use crate::{clock, link, mailbox, monitor};
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

/// Time in which an agent must answer a cancel.
const CANCEL_LIMIT: Duration = Duration::from_millis(1_000);

/// What traffic threads and timers hand to the loop.
#[derive(Debug)]
pub enum Input {
    /// An event of the core that needs nothing of the shell.
    Event(event::Event),
    /// A caller's request arrived; commands for its conversation go to the sender.
    Arrived {
        /// Number of the request.
        request: u64,
        /// What was asked.
        arrival: Box<event::Arrival>,
        /// Where the core's actions on the request go.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// The conversation with the caller is over.
    Closed(u64),
}

/// What the core wants done about one request.
#[derive(Debug)]
pub enum Command {
    /// Offer an attempt to the agent at this address; collect its whole answer or not.
    Start {
        /// The agent.
        to: net::SocketAddr,
        /// The offer.
        offer: Box<attempt::Offer>,
        /// Whether the answer is collected in place of being forwarded.
        collect: bool,
    },
    /// Forward this attempt's answer.
    Forward(attempt::Identifier),
    /// Stop reading an attempt's answer.
    Drop(attempt::Identifier),
    /// Answer whole.
    Answer(frame::Head, Bytes),
    /// Answer with a problem document.
    Refuse(refusal::Refusal),
    /// End the stream with an error mark.
    Cut(refusal::Refusal),
}

/// The loop.
pub struct Role {
    core: core::Core,
    mailbox: mailbox::Mailbox<Input>,
    links: Rc<link::Links>,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    requests: HashMap<u64, mpsc::UnboundedSender<Command>>,
    attempts: HashMap<attempt::Identifier, u64>,
    stopped: bool,
}

impl Role {
    /// A loop around `core`.
    pub fn new(
        core: core::Core,
        mailbox: mailbox::Mailbox<Input>,
        readiness: Arc<monitor::Readiness>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        Role {
            core,
            mailbox,
            links: Rc::default(),
            readiness,
            registry,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            stopped: false,
        }
    }

    /// Runs until the core says that it has stopped.
    pub async fn run(mut self, inputs: mpsc::UnboundedReceiver<Input>) {
        mailbox::drain(&mut self, inputs, action::TICK_INTERVAL).await;
    }
}

impl mailbox::Owner for Role {
    type Input = Input;

    fn tick(&mut self) {
        self.step(event::Event::Tick);
        self.readiness.set(self.core.is_ready(clock::now()));
        let (queued, in_flight) = self.core.occupancy();
        self.registry.set_request_counts(queued, in_flight);
        crate::log::watched(&self.registry, self.core.watcher());
        let requests = &self.requests;
        self.attempts.retain(|_, request| requests.contains_key(request));
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Arrived { request, arrival, commands } => {
                self.requests.insert(request, commands);
                self.step(event::Event::RequestArrived { request, arrival: *arrival });
            }
            Input::Closed(request) => {
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
            action::Action::StartAttempt { request, to, offer, collect } => {
                self.attempts.insert(offer.attempt, request);
                self.command(request, Command::Start { to, offer, collect });
            }
            action::Action::ForwardResponse { request, attempt } => {
                self.command(request, Command::Forward(attempt))
            }
            action::Action::DropAttempt(attempt) => {
                if let Some(request) = self.attempts.remove(&attempt) {
                    self.command(request, Command::Drop(attempt));
                }
            }
            action::Action::CancelAttempt { attempt, to, boot } => {
                self.call_back(cancel(attempt, to, boot));
            }
            action::Action::Respond { request, head, body } => {
                self.command(request, Command::Answer(head, body))
            }
            action::Action::Reject { request, refusal } => {
                self.command(request, Command::Refuse(refusal))
            }
            action::Action::Abort { request, refusal } => {
                self.command(request, Command::Cut(refusal))
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::RecordMeasurement(measure) => {
                crate::log::measure(&self.registry, &measure)
            }
            action::Action::Stopped => self.stopped = true,
        }
    }

    fn command(&self, request: u64, command: Command) {
        if let Some(commands) = self.requests.get(&request) {
            let _conversation_over = commands.send(command);
        }
    }

    fn call_back(&self, call: impl Future<Output = event::Event> + 'static) {
        self.mailbox.post_when(async move { Input::Event(call.await) });
    }
}

async fn cancel(attempt: attempt::Identifier, to: net::SocketAddr, boot: u64) -> event::Event {
    let url = format!("http://{to}/attempts/{attempt}?boot={boot}");
    let request = crate::http::clients().fresh.delete(url).timeout(CANCEL_LIMIT);
    let outcome = match request.send().await {
        Ok(mut response) => response.json().await.ok(),
        Err(_) => None,
    };
    event::Event::CancelResponded { attempt, outcome }
}
