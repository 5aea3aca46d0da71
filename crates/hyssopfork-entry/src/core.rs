//! The entry as a step function: events in, actions out.

use crate::{action, arrival, attempt, event, measure, notice, pool, request};
use hyssopfork_watch::watcher;
use hyssopfork_wire::{clock, control, name, refusal, timing};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// When to try again after a refusal that another entry may not give.
pub(crate) const SOON: Duration = Duration::from_millis(1_000);

/// What an entry's process learns from its settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance that it runs on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Control instances.
    pub control: Vec<net::SocketAddr>,
    /// Chosen at random when the process starts; never the same twice.
    pub boot: u64,
    /// Time that a graceful stop gives what is in flight.
    pub stop_limit: Duration,
}

/// A call to control for a claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimCall {
    pub(crate) request: u64,
    pub(crate) to: net::SocketAddr,
}

/// The entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) watcher: watcher::Watcher,
    pub(crate) requests: BTreeMap<u64, request::Request>,
    pub(crate) pools: BTreeMap<name::Pool, pool::Pool>,
    pub(crate) resting: BTreeSet<(clock::Instant, u64)>,
    pub(crate) hedge_at: clock::Instant,
    pub(crate) claiming: BTreeSet<u64>,
    pub(crate) claim_calls: BTreeMap<u64, ClaimCall>,
    pub(crate) attempts: attempt::Attempts,
    pub(crate) actions: Vec<action::Action>,
    stopping: Option<clock::Instant>,
    random: rand_chacha::ChaCha8Rng,
    leave_heard: bool,
    stopped: bool,
}

impl Core {
    /// An entry whose process started at `now`.
    pub fn new(settings: Settings, seed: u64, now: clock::Instant) -> Core {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let offset = random.random();
        Core {
            watcher: watcher::Watcher::new(settings.control.clone(), offset, now),
            attempts: attempt::Attempts::new(settings.boot),
            settings,
            requests: BTreeMap::new(),
            pools: BTreeMap::new(),
            resting: BTreeSet::new(),
            hedge_at: now,
            claiming: BTreeSet::new(),
            claim_calls: BTreeMap::new(),
            actions: Vec::new(),
            stopping: None,
            random,
            leave_heard: false,
            stopped: false,
        }
    }

    /// Whether the entry takes requests now: for the platform's balancer.
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.stopping.is_none() && self.watcher.is_recent(now)
    }

    /// The view and the lease on it, for metrics.
    pub fn watcher(&self) -> &watcher::Watcher {
        &self.watcher
    }

    /// Requests that wait, and all that are not over, for metrics.
    pub fn occupancy(&self) -> (usize, usize) {
        let queued = self.pools.values().map(|pool| pool.queue.len()).sum();
        (queued, self.requests.len())
    }

    /// Takes in an event and says what is to be done, in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        if self.stopped {
            return Vec::new();
        }
        self.take(now, event);
        self.dispatch(now);
        self.ask_claims(now);
        self.renew(now);
        self.leave(now);
        std::mem::take(&mut self.actions)
    }

    fn take(&mut self, now: clock::Instant, event: event::Event) {
        match event {
            event::Event::Tick => {
                self.expire(now);
                self.hedge(now);
            }
            event::Event::Controlled { call, response } => self.controlled(now, call, response),
            event::Event::Arrived { request, arrival } => self.arrived(now, request, arrival),
            event::Event::Gone(request) => self.gone(now, request),
            event::Event::Loaded(attempt, load) => self.loaded(now, attempt, load),
            event::Event::Started(attempt) => self.started(now, attempt),
            event::Event::Refused(attempt, refusal) => self.refused(now, attempt, refusal),
            event::Event::Headed(attempt, head) => self.headed(now, attempt, &head),
            event::Event::Begun(attempt) => self.begun(now, attempt),
            event::Event::Delivered(attempt, events) => self.delivered(now, attempt, events),
            event::Event::Ended(attempt) => self.ended(now, attempt),
            event::Event::Collected { attempt, head, body } => {
                self.collected(now, attempt, head, body);
            }
            event::Event::Failed { attempt, fault, delivered } => {
                self.failed(now, attempt, fault, delivered);
            }
            event::Event::CancelAnswered { attempt, outcome } => {
                self.cancel_answered(now, attempt, outcome);
            }
            event::Event::Stop => self.stop(now),
        }
    }

    pub(crate) fn random(&mut self) -> u64 {
        self.random.random()
    }

    pub(crate) fn note(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    fn arrived(&mut self, now: clock::Instant, number: u64, arrival: event::Arrival) {
        match self.plan(now, &arrival) {
            Ok(plan) => self.accept(now, number, arrival, plan),
            Err(refusal) => self.turn_away(number, refusal),
        }
    }

    fn plan(
        &self,
        now: clock::Instant,
        arrival: &event::Arrival,
    ) -> Result<arrival::Plan, refusal::Refusal> {
        if self.stopping.is_some() {
            return Err(refusal::Refusal::not_run(refusal::Reason::Draining, Some(SOON)));
        }
        if !self.watcher.is_recent(now) {
            return Err(refusal::Refusal::not_run(refusal::Reason::Stale, Some(SOON)));
        }
        arrival::plan(&self.watcher.view().configuration, arrival)
            .map_err(|reason| refusal::Refusal::not_run(reason, None))
    }

    fn accept(
        &mut self,
        now: clock::Instant,
        number: u64,
        arrival: event::Arrival,
        plan: arrival::Plan,
    ) {
        let claims = !plan.repeatable && arrival.key.is_some();
        let request = request::Request::new(now, arrival, plan);
        self.requests.insert(number, request);
        if claims {
            self.claim(now, number);
        } else {
            self.enqueue(now, number);
        }
    }

    /// Refuses a request that has no plan.
    fn turn_away(&mut self, request: u64, refusal: refusal::Refusal) {
        self.actions.push(action::Action::Refuse { request, refusal });
        self.note(notice::Notice::Refused(request, refusal));
        let outcome = measure::Outcome::Refused(refusal.reason, refusal.ran);
        self.actions.push(action::Action::Measure(measure::Measure {
            team: None,
            class: None,
            route: None,
            outcome,
            attempts: 0,
            wait: Duration::ZERO,
            first: None,
            between: None,
            whole: Duration::ZERO,
        }));
    }

    fn controlled(&mut self, now: clock::Instant, call: u64, response: Option<control::Response>) {
        if let Some(claim) = self.claim_calls.remove(&call) {
            self.claim_answered(now, claim, response);
        } else if let Some(output) = self.watcher.on_response(now, call, response.as_ref()) {
            self.take_output(output);
        }
    }

    fn renew(&mut self, now: clock::Instant) {
        let instance = &self.settings.instance;
        let holder = || control::Holder::Entry(instance.clone());
        let output = self.watcher.tick(now, holder, self.stopping.is_some());
        self.take_output(output);
    }

    fn take_output(&mut self, output: watcher::Output) {
        self.leave_heard |= output.leaving_granted;
        for notice in output.notices {
            self.note(notice::Notice::Watch(notice));
        }
        self.actions.extend(output.calls.into_iter().map(|call| action::Action::Control {
            call: call.call,
            to: call.to,
            request: Box::new(call.request),
            timeout: call.timeout,
        }));
    }

    fn stop(&mut self, now: clock::Instant) {
        if self.stopping.is_some() {
            self.finish(now);
            return;
        }
        self.stopping = Some(now);
        self.note(notice::Notice::Leaving(self.requests.len() as u32));
    }

    /// Ends the process once nothing is in flight, or its time to stop is over.
    fn leave(&mut self, now: clock::Instant) {
        let Some(since) = self.stopping else { return };
        let waited = now.since(since);
        let announced = self.leave_heard || waited >= timing::HOLDER_LEASE;
        let idle = self.requests.is_empty() && announced;
        if !self.stopped && (idle || waited >= self.settings.stop_limit) {
            self.finish(now);
        }
    }

    fn finish(&mut self, now: clock::Instant) {
        let open: Vec<u64> = self.requests.keys().copied().collect();
        if !open.is_empty() {
            self.note(notice::Notice::LeaveOverdue(open.len() as u32));
        }
        for request in open {
            self.give_up(now, request, refusal::Reason::Draining);
        }
        self.stopped = true;
        self.note(notice::Notice::Stopped);
        self.actions.push(action::Action::Stopped);
    }
}
