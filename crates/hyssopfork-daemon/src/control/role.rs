//! The event loop that owns the control core: passes inputs to it as events and performs its
//! actions.

use crate::control::{journal, peers};
use crate::{clock, mailbox, monitor};
use hyssopfork_control::{action, core, event};
use hyssopfork_telemetry::metrics;
use hyssopfork_wire::control;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Exit code when this release cannot read the replicated log (`EX_DATAERR`).
const LOG_UNREADABLE_EXIT_CODE: i32 = 65;

/// Inputs from servers and timers.
#[derive(Debug)]
pub enum Input {
    /// An event that is passed to the core unchanged.
    Event(event::Event),
    /// A request, and the channel for its response.
    Call(control::Request, oneshot::Sender<control::Response>),
}

/// The event loop.
pub struct Role {
    core: core::Core,
    peers: peers::Peers,
    journal: journal::Writer,
    readiness: Arc<monitor::Readiness>,
    registry: Arc<metrics::Registry>,
    pending_calls: HashMap<u64, oneshot::Sender<control::Response>>,
    last_call: u64,
    stopped: bool,
}

impl Role {
    /// An event loop around `core`.
    pub fn new(
        core: core::Core,
        peers: peers::Peers,
        journal: journal::Writer,
        readiness: Arc<monitor::Readiness>,
        registry: Arc<metrics::Registry>,
    ) -> Role {
        let calls = HashMap::new();
        Role {
            core,
            peers,
            journal,
            readiness,
            registry,
            pending_calls: calls,
            last_call: 0,
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
        self.readiness.set(self.core.is_ready());
        let (term, committed) = self.core.progress();
        self.registry.set_consensus(term, committed, self.core.can_answer_as_leader());
        let view = self.core.machine().view();
        self.registry.set_versions(view.configuration.number, view.version);
        let abandoned: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in abandoned {
            self.pending_calls.remove(&call);
            self.step(event::Event::Abandoned(call));
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Call(request, reply) => {
                self.last_call += 1;
                self.pending_calls.insert(self.last_call, reply);
                self.step(event::Event::Request { call: self.last_call, request });
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
            action::Action::Send(packet) => self.peers.send(packet),
            action::Action::Persist(write) => self.journal.write(write),
            action::Action::Reply { call, response } => {
                if let Some(reply) = self.pending_calls.remove(&call) {
                    let _receiver_gone = reply.send(response);
                }
            }
            action::Action::Notice(notice) => crate::log::notice(&notice),
            action::Action::Stopped => self.stopped = true,
            action::Action::Fail(reason) => {
                crate::log::notice(&crate::notice::Notice::LogUnreadable(reason));
                std::process::exit(LOG_UNREADABLE_EXIT_CODE);
            }
        }
    }
}
