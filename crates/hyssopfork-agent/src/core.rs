//! Core of the agent: a state machine that takes events and returns actions.

use crate::{action, admission, attempts, event, given_grants, held_grants, monitor, notice};
use hyssopfork_state::upstream;
use hyssopfork_watch::watcher;
use hyssopfork_wire::{clock, control, fleet, frame, number, timing};
use rand::{RngExt, SeedableRng};
use std::net;
use std::time::Duration;

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Announcement of the instance and its upstream.
    pub announcement: fleet::Announcement,
    /// Addresses of the control instances.
    pub control: Vec<net::SocketAddr>,
    /// Time limit of a graceful stop, after which attempts in flight are aborted.
    pub stop_limit: Duration,
}

/// Agent.
#[derive(Debug)]
pub struct Core {
    pub(crate) announcement: fleet::Announcement,
    stop_limit: Duration,
    pub(crate) watcher: watcher::Watcher,
    pub(crate) monitor: monitor::Monitor,
    pub(crate) attempts: attempts::Attempts,
    pub(crate) given_grants: given_grants::Grants,
    pub(crate) held_grants: held_grants::Grants,
    pub(crate) newest_fence: number::Fence,
    pub(crate) last_call: u64,
    pub(crate) is_serving: bool,
    pub(crate) stopping_since: Option<clock::Instant>,
    pub(crate) grants_withdrawn: bool,
    leaving_granted_at: Option<clock::Instant>,
    is_stopped: bool,
}

impl Core {
    /// Agent whose process started at `now`.
    pub fn new(settings: Settings, seed: u64, now: clock::Instant) -> Core {
        let instance = settings.announcement.instance.clone();
        let offset = rand_chacha::ChaCha8Rng::seed_from_u64(seed).random();
        Core {
            monitor: monitor::Monitor::new(&settings.announcement.profile, now),
            announcement: settings.announcement,
            stop_limit: settings.stop_limit,
            watcher: watcher::Watcher::new(settings.control, offset, now).with_scope(instance),
            attempts: attempts::Attempts::default(),
            given_grants: given_grants::Grants::new(now),
            held_grants: held_grants::Grants::default(),
            newest_fence: number::Fence::default(),
            last_call: 0,
            is_serving: false,
            stopping_since: None,
            grants_withdrawn: false,
            leaving_granted_at: None,
            is_stopped: false,
        }
    }

    /// Whether the agent accepts attempts, judged by its view, its upstream and its group.
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        let kind = self.announcement.profile.kind;
        let is_engine = kind == hyssopfork_wire::configuration::Kind::Engine;
        self.stopping_since.is_none()
            && self.watcher.is_recent(now)
            && self.monitor.is_alive(now)
            && (!is_engine || self.admission(now).is_group_complete())
    }

    /// Watcher with the view and its lease, for metrics.
    pub fn watcher(&self) -> &watcher::Watcher {
        &self.watcher
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        let mut actions = Vec::new();
        if self.is_stopped {
            return actions;
        }
        match event {
            event::Event::Tick => {}
            event::Event::ControlResponded { call, response } => {
                self.on_control_responded(now, call, response, &mut actions);
            }
            event::Event::GrantRequested { call, request } => {
                self.on_grant_requested(now, call, &request, &mut actions);
            }
            event::Event::GrantResponded { call, response } => {
                self.on_grant_responded(call, response)
            }
            event::Event::OfferArrived(offer) => self.on_offer_arrived(now, offer, &mut actions),
            event::Event::Connected(attempt) => self.on_connected(now, attempt, &mut actions),
            event::Event::EngineConnected { attempt, sent_at, health } => {
                self.on_engine_connected(now, attempt, sent_at, health, &mut actions);
            }
            event::Event::CancelRequested { call, attempt, boot } => {
                self.on_cancel_requested(call, attempt, boot, &mut actions);
            }
            event::Event::ResponseStarted(_) => {}
            event::Event::ResponseCompleted(attempt) => self.on_response_completed(now, attempt),
            event::Event::ResponseFailed(attempt, fault) => {
                self.on_response_failed(now, attempt, fault, &mut actions)
            }
            event::Event::Probed(health) => self.on_probed(now, now, health, &mut actions),
            event::Event::ProbedAt { sent_at, health } => {
                self.on_probed(now, sent_at, health, &mut actions);
            }
            event::Event::LoadFinished { fence, succeeded } => {
                self.on_load_finished(now, fence, succeeded, &mut actions);
            }
            event::Event::Stop => self.on_stop(now, &mut actions),
        }
        self.run_due_work(now, &mut actions);
        actions
    }

    /// State that admission is checked against.
    pub(crate) fn admission(&self, now: clock::Instant) -> admission::Admission<'_> {
        admission::Admission {
            now,
            announcement: &self.announcement,
            watcher: &self.watcher,
            monitor: &self.monitor,
            held_grants: &self.held_grants,
            is_stopping: self.stopping_since.is_some(),
        }
    }

    /// Load report to send before a response.
    pub(crate) fn load(&self) -> frame::Load {
        frame::Load {
            version: self.watcher.view().version,
            running: self.attempts.running_count(),
            limit: self.monitor.limit(),
            warm: self.monitor.is_warm(),
        }
    }

    /// Does everything that the passing of time or the event has made due. Runs after each event,
    /// so that no action of a later event depends on something that has expired.
    fn run_due_work(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        self.attempts.expire(now);
        self.update_group(now, actions);
        self.renew_lease(now, actions);
        self.stop_when_idle(now, actions);
    }

    fn renew_lease(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let report = self.report(now);
        let announcement = &self.announcement;
        let holder = || control::Holder::Agent(Box::new(announcement.clone()), report);
        let output = self.watcher.tick(now, holder, self.stopping_since.is_some());
        self.apply_watcher_output(now, output, actions);
    }

    fn report(&self, now: clock::Instant) -> fleet::Report {
        fleet::Report {
            alive: self.monitor.is_alive(now),
            warm: self.monitor.is_warm(),
            running: self.attempts.running_count(),
            joined: self.monitor.loaded_fence(now).unwrap_or_default(),
            ended: self.given_grants.ended_fence(),
            serving: self.stopping_since.is_none() && self.admission(now).is_group_complete(),
        }
    }

    fn on_control_responded(
        &mut self,
        now: clock::Instant,
        call: u64,
        response: Option<control::Response>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(output) = self.watcher.on_response(now, call, response.as_ref()) {
            self.apply_watcher_output(now, output, actions);
        }
    }

    fn apply_watcher_output(
        &mut self,
        now: clock::Instant,
        output: watcher::Output,
        actions: &mut Vec<action::Action>,
    ) {
        if output.leaving_granted {
            self.leaving_granted_at.get_or_insert(now);
        }
        let notices = output.notices.into_iter().map(notice::Notice::Watch);
        actions.extend(notices.map(action::Action::Notice));
        actions.extend(output.calls.into_iter().map(|call| action::Action::CallControl {
            call: call.call,
            to: call.to,
            request: Box::new(call.request),
            timeout: call.timeout,
        }));
    }

    pub(crate) fn on_probed(
        &mut self,
        now: clock::Instant,
        sent_at: clock::Instant,
        health: Option<event::Health>,
        actions: &mut Vec<action::Action>,
    ) {
        let own_running = self.attempts.running_count();
        let placed_fence = self.placed_fence();
        let notice = match self.monitor.probe(now, sent_at, health, own_running, placed_fence) {
            monitor::Change::None => return,
            monitor::Change::Down => notice::Notice::BackEndDown,
            monitor::Change::Up => notice::Notice::BackEndUp,
            monitor::Change::Replaced => notice::Notice::BackEndCold,
        };
        actions.push(action::Action::Notice(notice));
    }

    /// Fencing number that the view places this instance under.
    pub(crate) fn placed_fence(&self) -> Option<number::Fence> {
        let view = self.watcher.view();
        upstream::placement_of(view, &self.announcement.instance)
            .map(|(_, placement, _)| placement.fence)
    }

    fn on_stop(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        if self.stopping_since.is_some() {
            self.finish_stop(actions);
            return;
        }
        self.stopping_since = Some(now);
        let running = self.attempts.running_count();
        actions.push(action::Action::Notice(notice::Notice::Leaving(running)));
    }

    /// Finishes a graceful stop once nothing depends on this process, or the time limit is over.
    fn stop_when_idle(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let Some(since) = self.stopping_since.filter(|_| !self.is_stopped) else { return };
        let waited = now.since(since);
        if waited >= self.stop_limit {
            self.finish_stop(actions);
            return;
        }
        // Entries send offers until they learn that the agent is leaving. If the process had exited
        // by then, they could not know whether those offers ran, so it stays to reject them. If
        // control could not be told within the lease's duration, it has noticed the missing
        // renewals itself.
        let informed_at = self.leaving_granted_at.unwrap_or(since + timing::HOLDER_LEASE);
        let is_announced = now.since(informed_at) >= timing::IN_FORCE_BOUND;
        let is_idle = self.attempts.running_count() == 0 && !self.given_grants.has_unexpired(now);
        if is_announced && is_idle {
            self.finish_stop(actions);
        }
    }

    fn finish_stop(&mut self, actions: &mut Vec<action::Action>) {
        let running = self.attempts.running_count();
        if running > 0 {
            actions.push(action::Action::Notice(notice::Notice::LeaveOverdue(running)));
        }
        self.abort_all(hyssopfork_wire::refusal::Reason::Draining, actions);
        self.is_stopped = true;
        actions.push(action::Action::Notice(notice::Notice::Stopped));
        actions.push(action::Action::Stopped);
    }
}
