//! The agent as a step function: events in, actions out.

use crate::{action, attempts, engine, event, gate, grants, notice, standing};
use hyssopfork_state::upstream;
use hyssopfork_watch::watcher;
use hyssopfork_wire::{clock, control, fleet, frame, number, timing};
use rand::{RngExt, SeedableRng};
use std::net;
use std::time::Duration;

/// What an agent's process learns from its settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// What it says of its instance and back end.
    pub announcement: fleet::Announcement,
    /// Control instances.
    pub control: Vec<net::SocketAddr>,
    /// Time that a graceful stop gives what is in flight.
    pub stop_limit: Duration,
}

/// The agent.
#[derive(Debug)]
pub struct Core {
    pub(crate) announcement: fleet::Announcement,
    stop_limit: Duration,
    pub(crate) watcher: watcher::Watcher,
    pub(crate) engine: engine::Engine,
    pub(crate) attempts: attempts::Attempts,
    pub(crate) grants: grants::Grants,
    pub(crate) standing: standing::Standing,
    pub(crate) newest: number::Fence,
    pub(crate) calls: u64,
    pub(crate) serving: bool,
    pub(crate) stopping: Option<clock::Instant>,
    pub(crate) released: bool,
    leave_heard: Option<clock::Instant>,
    stopped: bool,
}

impl Core {
    /// An agent whose process started at `now`.
    pub fn new(settings: Settings, seed: u64, now: clock::Instant) -> Core {
        let instance = settings.announcement.instance.clone();
        let offset = rand_chacha::ChaCha8Rng::seed_from_u64(seed).random();
        Core {
            engine: engine::Engine::new(&settings.announcement.profile, now),
            announcement: settings.announcement,
            stop_limit: settings.stop_limit,
            watcher: watcher::Watcher::new(settings.control, offset, now).with_scope(instance),
            attempts: attempts::Attempts::default(),
            grants: grants::Grants::new(now),
            standing: standing::Standing::default(),
            newest: number::Fence::default(),
            calls: 0,
            serving: false,
            stopping: None,
            released: false,
            leave_heard: None,
            stopped: false,
        }
    }

    /// Whether the agent would take work now, as far as its view, back end and group go.
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        let kind = self.announcement.profile.kind;
        let grouped = kind == hyssopfork_wire::configuration::Kind::Engine;
        self.stopping.is_none()
            && self.watcher.is_recent(now)
            && self.engine.is_alive(now)
            && (!grouped || self.gate(now).is_whole())
    }

    /// The view and the lease on it, for metrics.
    pub fn watcher(&self) -> &watcher::Watcher {
        &self.watcher
    }

    /// Takes in an event and says what is to be done, in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        let mut actions = Vec::new();
        if self.stopped {
            return actions;
        }
        match event {
            event::Event::Tick => {}
            event::Event::Controlled { call, response } => {
                self.controlled(now, call, response, &mut actions);
            }
            event::Event::Asked { call, request } => {
                self.asked(now, call, &request, &mut actions);
            }
            event::Event::Stood { call, response } => self.stood(call, response),
            event::Event::Offered(offer) => self.offered(now, offer, &mut actions),
            event::Event::Ready(attempt) => self.ready(now, attempt, &mut actions),
            event::Event::Cancelled { call, attempt, boot } => {
                self.cancelled(call, attempt, boot, &mut actions);
            }
            event::Event::Begun(_) => {}
            event::Event::Ended(attempt) => self.ended(now, attempt),
            event::Event::Failed(attempt, fault) => self.failed(now, attempt, fault, &mut actions),
            event::Event::Probed(health) => self.probed(now, now, health, &mut actions),
            event::Event::ProbedAt { sent, health } => {
                self.probed(now, sent, health, &mut actions);
            }
            event::Event::Ordered { fence, done } => {
                self.ordered(now, fence, done, &mut actions);
            }
            event::Event::Stop => self.stop(now, &mut actions),
        }
        self.settle(now, &mut actions);
        actions
    }

    /// What the gate looks at.
    pub(crate) fn gate(&self, now: clock::Instant) -> gate::Gate<'_> {
        gate::Gate {
            now,
            announcement: &self.announcement,
            watcher: &self.watcher,
            engine: &self.engine,
            standing: &self.standing,
            stopping: self.stopping.is_some(),
        }
    }

    /// Load to send ahead of an answer.
    pub(crate) fn load(&self) -> frame::Load {
        frame::Load {
            version: self.watcher.view().version,
            running: self.attempts.running(),
            limit: self.engine.limit(),
            warm: self.engine.is_warm(),
        }
    }

    /// Everything that time or the event may have made due. Runs after each event, so that no
    /// action of a later event rests on what has lapsed meanwhile.
    fn settle(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        self.attempts.expire(now);
        self.settle_group(now, actions);
        self.renew(now, actions);
        self.leave(now, actions);
    }

    fn renew(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let report = self.report(now);
        let announcement = &self.announcement;
        let holder = || control::Holder::Agent(Box::new(announcement.clone()), report);
        let output = self.watcher.tick(now, holder, self.stopping.is_some());
        self.take_output(now, output, actions);
    }

    fn report(&self, now: clock::Instant) -> fleet::Report {
        fleet::Report {
            alive: self.engine.is_alive(now),
            warm: self.engine.is_warm(),
            running: self.attempts.running(),
            joined: self.engine.loaded(now).unwrap_or_default(),
            ended: self.grants.ended(),
            serving: self.stopping.is_none() && self.gate(now).is_whole(),
        }
    }

    fn controlled(
        &mut self,
        now: clock::Instant,
        call: u64,
        response: Option<control::Response>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(output) = self.watcher.on_response(now, call, response.as_ref()) {
            self.take_output(now, output, actions);
        }
    }

    fn take_output(
        &mut self,
        now: clock::Instant,
        output: watcher::Output,
        actions: &mut Vec<action::Action>,
    ) {
        if output.leaving_granted {
            self.leave_heard.get_or_insert(now);
        }
        let notices = output.notices.into_iter().map(notice::Notice::Watch);
        actions.extend(notices.map(action::Action::Notice));
        actions.extend(output.calls.into_iter().map(|call| action::Action::Control {
            call: call.call,
            to: call.to,
            request: Box::new(call.request),
            timeout: call.timeout,
        }));
    }

    fn probed(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        health: Option<event::Health>,
        actions: &mut Vec<action::Action>,
    ) {
        let own = self.attempts.running();
        let wanted = self.placed_fence();
        let notice = match self.engine.probe(now, sent, health, own, wanted) {
            engine::Change::None => return,
            engine::Change::Down => notice::Notice::BackEndDown,
            engine::Change::Up => notice::Notice::BackEndUp,
            engine::Change::Turned => notice::Notice::BackEndCold,
        };
        actions.push(action::Action::Notice(notice));
    }

    /// Fencing number that this instance is placed under, as the view has it.
    pub(crate) fn placed_fence(&self) -> Option<number::Fence> {
        let view = self.watcher.view();
        upstream::placement_of(view, &self.announcement.instance)
            .map(|(_, placement, _)| placement.fence)
    }

    fn stop(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        if self.stopping.is_some() {
            self.finish(actions);
            return;
        }
        self.stopping = Some(now);
        let running = self.attempts.running();
        actions.push(action::Action::Notice(notice::Notice::Leaving(running)));
    }

    /// Ends the process once nothing depends on it any more, or its time to stop is over.
    fn leave(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let Some(since) = self.stopping.filter(|_| !self.stopped) else { return };
        let waited = now.since(since);
        if waited >= self.stop_limit {
            self.finish(actions);
            return;
        }
        // Entries go on offering until they have heard. A process that was gone by then would leave
        // them not knowing whether their offers ran; this one is there to say that they didn't.
        // Where control can't be told within the lease's term, it has found the silence itself.
        let heard = self.leave_heard.unwrap_or(since + timing::HOLDER_LEASE);
        let announced = now.since(heard) >= timing::IN_FORCE_BOUND;
        let idle = self.attempts.running() == 0 && !self.grants.in_force(now);
        if announced && idle {
            self.finish(actions);
        }
    }

    fn finish(&mut self, actions: &mut Vec<action::Action>) {
        let running = self.attempts.running();
        if running > 0 {
            actions.push(action::Action::Notice(notice::Notice::LeaveOverdue(running)));
        }
        self.end_all(hyssopfork_wire::refusal::Reason::Draining, actions);
        self.stopped = true;
        actions.push(action::Action::Notice(notice::Notice::Stopped));
        actions.push(action::Action::Stopped);
    }
}
