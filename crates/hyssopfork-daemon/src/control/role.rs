//! The loop that owns the control core: inputs become events, actions become calls of the shell.

use crate::control::{journal, peers};
use crate::{clock, mailbox, monitor};
use hyssopfork_control::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::control;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Exit code of a process whose release cannot read the replicated log.
const LOG_UNREADABLE: i32 = 65;

/// What servers and timers hand to the loop.
#[derive(Debug)]
pub enum Input {
    /// An event of the core that needs nothing of the shell.
    Event(event::Event),
    /// A request, and where its answer goes.
    Call(control::Request, oneshot::Sender<control::Response>),
}

/// The loop.
pub struct Role {
    core: core::Core,
    peers: peers::Peers,
    journal: journal::Writer,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    calls: HashMap<u64, oneshot::Sender<control::Response>>,
    count: u64,
    stopped: bool,
}

impl Role {
    /// A loop around `core`.
    pub fn new(
        core: core::Core,
        peers: peers::Peers,
        journal: journal::Writer,
        readiness: Arc<monitor::Readiness>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        let calls = HashMap::new();
        Role { core, peers, journal, readiness, registry, calls, count: 0, stopped: false }
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
        self.readiness.set(self.core.is_ready());
        let (term, committed) = self.core.progress();
        self.registry.set_consensus(term, committed, self.core.can_answer_as_leader());
        let view = self.core.machine().view();
        self.registry.set_versions(view.configuration.number, view.version);
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
            Input::Event(event) => self.step(event),
            Input::Call(request, reply) => {
                self.count += 1;
                self.calls.insert(self.count, reply);
                self.step(event::Event::Request { call: self.count, request });
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
            action::Action::Send(packet) => self.peers.send(packet),
            action::Action::Persist(write) => self.journal.write(write),
            action::Action::Reply { call, response } => {
                if let Some(reply) = self.calls.remove(&call) {
                    let _receiver_gone = reply.send(response);
                }
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::Stopped => self.stopped = true,
            action::Action::Fail(reason) => {
                crate::log::notice(&crate::notice::Notice::LogUnreadable(reason));
                std::process::exit(LOG_UNREADABLE);
            }
        }
    }
}
