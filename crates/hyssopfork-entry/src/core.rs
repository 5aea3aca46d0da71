//! Core of the entry: a deterministic state machine that turns events into actions.

use crate::{action, attempt, event, measurement, notice, pool, request, routing};
use hyssopfork_watch::watcher;
use hyssopfork_wire::{clock, control, name, refusal, timing};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

/// Time after which a client should retry, for rejections that another entry might not give.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Settings of an entry's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance that it runs on.
    pub instance: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Addresses of the control instances.
    pub control: Vec<net::SocketAddr>,
    /// Boot identifier: chosen at random when the process starts and never used twice.
    pub boot: u64,
    /// Time that a graceful stop gives the requests in flight.
    pub stop_timeout: Duration,
}

/// A call to control about a claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClaimCall {
    pub(crate) request: u64,
    pub(crate) to: net::SocketAddr,
}

/// State machine of the entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) watcher: watcher::Watcher,
    pub(crate) requests: BTreeMap<u64, request::Request>,
    pub(crate) pools: BTreeMap<name::Pool, pool::Pool>,
    pub(crate) backing_off: BTreeSet<(clock::Instant, u64)>,
    pub(crate) next_hedge_check_at: clock::Instant,
    pub(crate) active_claims: BTreeSet<u64>,
    pub(crate) claim_calls: BTreeMap<u64, ClaimCall>,
    pub(crate) attempts: attempt::Attempts,
    pub(crate) actions: Vec<action::Action>,
    stopping_since: Option<clock::Instant>,
    random: rand_chacha::ChaCha8Rng,
    leaving_granted: bool,
    stopped: bool,
}

impl Core {
    /// Creates the entry of a process that started at `now`.
    pub fn new(settings: Settings, seed: u64, now: clock::Instant) -> Core {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let offset = random.random();
        Core {
            watcher: watcher::Watcher::new(settings.control.clone(), offset, now),
            attempts: attempt::Attempts::new(settings.boot),
            settings,
            requests: BTreeMap::new(),
            pools: BTreeMap::new(),
            backing_off: BTreeSet::new(),
            next_hedge_check_at: now,
            active_claims: BTreeSet::new(),
            claim_calls: BTreeMap::new(),
            actions: Vec::new(),
            stopping_since: None,
            random,
            leaving_granted: false,
            stopped: false,
        }
    }

    /// Whether the entry accepts requests now, for the load balancer of the platform.
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.stopping_since.is_none() && self.watcher.is_recent(now)
    }

    /// Watcher with the view and its lease, for metrics.
    pub fn watcher(&self) -> &watcher::Watcher {
        &self.watcher
    }

    /// Number of queued requests and of all unfinished requests, for metrics.
    pub fn occupancy(&self) -> (usize, usize) {
        let queued = self.pools.values().map(|pool| pool.queue.len()).sum();
        (queued, self.requests.len())
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<action::Action> {
        if self.stopped {
            return Vec::new();
        }
        self.handle_event(now, event);
        self.dispatch_queued(now);
        self.send_due_claim_calls(now);
        self.renew_lease(now);
        self.stop_when_drained(now);
        std::mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: clock::Instant, event: event::Event) {
        match event {
            event::Event::Tick => {
                self.fail_overdue_requests(now);
                self.hedge_stragglers(now);
            }
            event::Event::ControlResponded { call, response } => {
                self.on_control_response(now, call, response)
            }
            event::Event::RequestArrived { request, arrival } => {
                self.on_request_arrived(now, request, arrival)
            }
            event::Event::ClientGone(request) => self.on_client_gone(now, request),
            event::Event::LoadReported(attempt, load) => self.on_load_reported(now, attempt, load),
            event::Event::AttemptStarted(attempt) => self.on_attempt_started(now, attempt),
            event::Event::AttemptRejected(attempt, refusal) => {
                self.on_attempt_rejected(now, attempt, refusal)
            }
            event::Event::HeadReceived(attempt, head) => self.on_head_received(now, attempt, &head),
            event::Event::ResponseStarted(attempt) => self.on_response_started(now, attempt),
            event::Event::EventsDelivered(attempt, events) => {
                self.on_events_delivered(now, attempt, events)
            }
            event::Event::AttemptCompleted(attempt) => self.on_attempt_completed(now, attempt),
            event::Event::ResponseCollected { attempt, head, body } => {
                self.on_response_collected(now, attempt, head, body);
            }
            event::Event::AttemptFailed { attempt, fault, delivered } => {
                self.on_attempt_failed(now, attempt, fault, delivered);
            }
            event::Event::CancelResponded { attempt, outcome } => {
                self.on_cancel_response(now, attempt, outcome);
            }
            event::Event::Stop => self.on_stop(now),
        }
    }

    pub(crate) fn next_random(&mut self) -> u64 {
        self.random.random()
    }

    pub(crate) fn log_notice(&mut self, notice: notice::Notice) {
        self.actions.push(action::Action::Notice(notice));
    }

    fn on_request_arrived(&mut self, now: clock::Instant, number: u64, arrival: event::Arrival) {
        match self.admit(now, &arrival) {
            Ok(routing) => self.start_request(now, number, arrival, routing),
            Err(refusal) => self.reject_unadmitted(number, refusal),
        }
    }

    fn admit(
        &self,
        now: clock::Instant,
        arrival: &event::Arrival,
    ) -> Result<routing::Match, refusal::Refusal> {
        if self.stopping_since.is_some() {
            return Err(refusal::Refusal::not_run(refusal::Reason::Draining, Some(RETRY_AFTER)));
        }
        if !self.watcher.is_recent(now) {
            return Err(refusal::Refusal::not_run(refusal::Reason::Stale, Some(RETRY_AFTER)));
        }
        routing::resolve(&self.watcher.view().configuration, arrival)
            .map_err(|reason| refusal::Refusal::not_run(reason, None))
    }

    fn start_request(
        &mut self,
        now: clock::Instant,
        number: u64,
        arrival: event::Arrival,
        routing: routing::Match,
    ) {
        let needs_claim = !routing.repeatable && arrival.idempotency_key.is_some();
        let request = request::Request::new(now, arrival, routing);
        self.requests.insert(number, request);
        if needs_claim {
            self.request_claim(now, number);
        } else {
            self.enqueue(now, number);
        }
    }

    /// Rejects a request that was not admitted.
    fn reject_unadmitted(&mut self, request: u64, refusal: refusal::Refusal) {
        self.actions.push(action::Action::Reject { request, refusal });
        self.log_notice(notice::Notice::Refused(request, refusal));
        let outcome = measurement::Outcome::Rejected(refusal.reason, refusal.ran);
        self.actions.push(action::Action::RecordMeasurement(measurement::Measurement {
            team: None,
            class: None,
            route: None,
            outcome,
            attempts: 0,
            wait_time: Duration::ZERO,
            time_to_first_byte: None,
            mean_event_interval: None,
            total_time: Duration::ZERO,
        }));
    }

    fn on_control_response(
        &mut self,
        now: clock::Instant,
        call: u64,
        response: Option<control::Response>,
    ) {
        if let Some(claim) = self.claim_calls.remove(&call) {
            self.on_claim_response(now, claim, response);
        } else if let Some(output) = self.watcher.on_response(now, call, response.as_ref()) {
            self.apply_watcher_output(output);
        }
    }

    fn renew_lease(&mut self, now: clock::Instant) {
        let instance = &self.settings.instance;
        let holder = || control::Holder::Entry(instance.clone());
        let output = self.watcher.tick(now, holder, self.stopping_since.is_some());
        self.apply_watcher_output(output);
    }

    fn apply_watcher_output(&mut self, output: watcher::Output) {
        self.leaving_granted |= output.leaving_granted;
        for notice in output.notices {
            self.log_notice(notice::Notice::Watch(notice));
        }
        self.actions.extend(output.calls.into_iter().map(|call| action::Action::CallControl {
            call: call.call,
            to: call.to,
            request: Box::new(call.request),
            timeout: call.timeout,
        }));
    }

    fn on_stop(&mut self, now: clock::Instant) {
        if self.stopping_since.is_some() {
            self.stop_now(now);
            return;
        }
        self.stopping_since = Some(now);
        self.log_notice(notice::Notice::Leaving(self.requests.len() as u32));
    }

    /// Stops once no request is left and a renewal that announced the leaving was granted, or once
    /// the stop timeout has passed.
    fn stop_when_drained(&mut self, now: clock::Instant) {
        let Some(since) = self.stopping_since else { return };
        let elapsed = now.since(since);
        let announced = self.leaving_granted || elapsed >= timing::HOLDER_LEASE;
        let drained = self.requests.is_empty() && announced;
        if !self.stopped && (drained || elapsed >= self.settings.stop_timeout) {
            self.stop_now(now);
        }
    }

    fn stop_now(&mut self, now: clock::Instant) {
        let unfinished: Vec<u64> = self.requests.keys().copied().collect();
        if !unfinished.is_empty() {
            self.log_notice(notice::Notice::LeaveOverdue(unfinished.len() as u32));
        }
        for request in unfinished {
            self.fail_request(now, request, refusal::Reason::Draining);
        }
        self.stopped = true;
        self.log_notice(notice::Notice::Stopped);
        self.actions.push(action::Action::Stopped);
    }
}
