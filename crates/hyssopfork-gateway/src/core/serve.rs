//! Handling of a request from arrival to its end.

use super::{Core, completion, stall};
use crate::{
    action, arrival, demand, ending, event, load, notice, request, response, retry_budget, routing,
    selection, target,
};
use hyssopfork_wire::{clock, name};
use std::time::Duration;

/// Attempts of one request, including those that were rejected without running it: further ones
/// would only find the same upstreams full again.
const MAX_ATTEMPTS: u32 = 4;

/// Divisor of a route's timeout: a client's first attempt may wait up to that much less. If such
/// first attempts were taken for retries because of their shorter remaining time, most would be
/// rejected as late.
const TIMEOUT_MARGIN_DIVISOR: u32 = 5;

/// Remaining time that another attempt needs to be worth its place.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(60);

/// `Retry-After` if no upstream is available. A lost group serves again 1 s after its member's
/// failure if the reserve has the weights locally, 2 s if it loads them from a host. Most clients
/// retry only once, and after 0.7 s they still found no upstream.
pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// `Retry-After` of a process that has just started.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Core {
    pub(super) fn on_arrival(&mut self, number: u64, arrival: arrival::Arrival) {
        let fraction = self.random_fraction();
        let now = self.now;
        let Some(table) = &self.table else {
            if let Some(arrival) = self.enqueue_arrival(number, arrival) {
                self.reject_not_ready(number, arrival.identifier, Duration::ZERO);
            }
            return;
        };
        let matched = match table.find(&arrival) {
            Ok(matched) => matched,
            Err(_) if self.may_be_stale() => {
                if let Some(arrival) = self.enqueue_arrival(number, arrival) {
                    self.reject_not_ready(number, arrival.identifier, Duration::ZERO);
                }
                return;
            }
            Err(error) => {
                let reason = match error {
                    routing::Error::RouteNotFound => action::Reason::NoRoute,
                    routing::Error::KeyNotFound => action::Reason::Unauthorized,
                };
                return self.reject_unmatched(
                    number,
                    arrival.identifier,
                    action::Rejection::new(reason, None),
                );
            }
        };
        let Some(pool) = routing::pick_pool(matched.route, fraction).cloned() else {
            let rejection =
                action::Rejection::new(action::Reason::NoUpstream, Some(NO_UPSTREAM_RETRY_AFTER));
            return self.reject_unmatched(number, arrival.identifier, rejection);
        };
        let model = arrival.model.clone().filter(|_| table.engine(&pool).is_some());
        // Clients may name any model; only declared ones are metered.
        let is_declared = |model: &&name::Model| {
            table.engine(&pool).is_some_and(|it| it.models.iter().any(|it| it.name == **model))
        };
        let is_first = arrival.last_event.is_none();
        let metered = model.as_ref().filter(is_declared).filter(|_| is_first).cloned();
        let mut request = new_request(now, arrival, matched, pool, model);
        request.need = self.costs.need(&request);
        if let Some(model) = metered {
            let slot_seconds = self.costs.on_arrival(&request);
            let key = (request.pool.clone(), model);
            let meter = self.demands.entry(key).or_insert_with(|| demand::Meter::new(now));
            meter.on_arrival(now, slot_seconds);
        }
        self.has_traffic = true;
        if let Some(sharing) = self.sharing.as_mut().filter(|_| request.model.is_some()) {
            sharing.on_arrival();
        }
        let is_too_large = !self.costs.fits(&request);
        self.requests.insert(number, request);
        if is_too_large {
            let wait = completion::MAX_RETRY_AFTER;
            return self.end_without_response(number, action::Reason::TooLarge, wait);
        }
        self.dispatch(number, false);
    }

    /// Sends the request to an upstream, queues it, or ends it.
    pub(super) fn dispatch(&mut self, number: u64, is_retry: bool) {
        let now = self.now;
        // Queued requests precede an arrival of the same rank.
        if !is_retry {
            self.release_queued();
        }
        if let Some(wait) = self.quarantine_retry_after(number) {
            return self.end_without_response(number, action::Reason::Quarantined, wait);
        }
        let Some(request) = self.requests.get(&number) else { return };
        let constraints = self.constraints(request);
        let selected =
            selection::select(now, &self.targets, self.query(request, is_retry), constraints);
        match selected {
            selection::Selection::Selected(instance) => self.send(number, &instance),
            _ if is_retry && self.wait_for_upstream(number) => {}
            selection::Selection::Full { .. }
                if self.queue.is_retrying(number) && self.enqueue_request(number) => {}
            selection::Selection::Paused { wait } => {
                self.end_without_response(number, action::Reason::Paused, wait);
            }
            selection::Selection::Full { wait, best }
                if !is_retry && self.enqueue_for_place(number, wait, best.as_ref()) => {}
            selection::Selection::Full { wait, best } => {
                self.log_full(number, best);
                self.end_without_response(number, action::Reason::Overloaded, wait);
            }
            selection::Selection::NoUpstream => {
                if !self.enqueue_request(number) {
                    self.end_without_response(
                        number,
                        action::Reason::NoUpstream,
                        NO_UPSTREAM_RETRY_AFTER,
                    );
                }
            }
        }
    }

    /// Rejects an arrival for which this process has no declaration, or a stale one, `after` it was
    /// received.
    pub(super) fn reject_not_ready(&mut self, number: u64, identifier: String, after: Duration) {
        let rejection =
            action::Rejection::new(action::Reason::NotReady, Some(NOT_READY_RETRY_AFTER));
        self.reject_arrival(number, identifier, rejection, self.unready(), after);
    }

    /// Logs the load estimate that a rejection for lack of capacity is based on.
    fn log_full(&mut self, number: u64, best: Option<name::Instance>) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let target = best.as_ref().and_then(|best| self.targets.get(best));
        let average = self.average_load(&request.pool, request.model.as_ref());
        let limit = self.forecast(request).map(|forecast| forecast.limit);
        let load = target.map(|it| (it.load.estimate(now, average), it.limit.get_with(limit)));
        let report_age = target.and_then(|it| it.load.report_age(now));
        let identifier = request.identifier.clone();
        self.log(notice::Notice::Full { identifier, best, load, report_age });
    }

    pub(super) fn send(&mut self, number: u64, instance: &name::Instance) {
        let now = self.now;
        self.record_trial(number);
        let Some(request) = self.requests.get(&number) else { return };
        let average = self.average_load(&request.pool, request.model.as_ref());
        let limit = self.forecast(request).map(|forecast| forecast.limit);
        let priority = self.upstream_priority(request);
        self.count_sent(number, instance);
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(target) = self.targets.get_mut(instance) else { return };
        let load = (target.load.estimate(now, average), target.limit.get_with(limit));
        let total_age = target.load.total_age(now);
        let tokens = self.costs.memory_tokens(request);
        target.load.own_requests += 1;
        target.load.own_tokens += tokens;
        target.recent_sends.record(now);
        if let Some(limiter) = &mut target.rate_limiter {
            limiter.record(now);
        }
        self.pauses.on_sent(instance, number);
        request.attempt_count += 1;
        request.attempt = Some(request::Attempt {
            instance: instance.clone(),
            incarnation: target.incarnation.clone(),
            started_at: now,
            load_at_start: load.0,
            tokens,
            prediction: self.costs.predict(request, load.0),
            last_bytes_at: None,
        });
        let start = action::Start {
            instance: instance.clone(),
            address: target.incarnation.address,
            team: request.team.clone(),
            priority,
            deadline: request.deadline,
            last_event: request.last_event,
            new_connection: !request.repetition.may_repeat(),
            is_event_stream: request.repetition.streams(),
            idle_timeout: stall::initial_idle_timeout(request, target.incarnation.epoch != 0),
        };
        let sent = notice::Notice::Sent {
            identifier: request.identifier.clone(),
            route: request.route.clone(),
            instance: instance.clone(),
            attempt: request.attempt_count,
            load,
            report_age: target.load.report_age(now),
            after: now.since(request.arrived_at),
            left: now.until(request.deadline),
        };
        let (pool, is_first) = (request.pool.clone(), request.attempt_count == 1);
        let retry_grant = request.retry_grant.take();
        let policy = self.retry_policy();
        let budget = self.retry_budget(pool);
        match retry_grant {
            Some(grant) => budget.use_grant(now, policy, grant),
            None if is_first => budget.count_request(now, policy),
            None => {}
        }
        self.decide(number, action::Decision::Start(Box::new(start)));
        self.log(sent);
        self.actions.extend(total_age.map(action::Action::ObserveTotalAge));
    }

    fn retry_policy(&self) -> retry_budget::Policy {
        let settings = &self.settings;
        retry_budget::Policy::new(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window,
            &self.members,
            self.retry_rank,
            self.now,
        )
    }

    fn retry_budget(&mut self, pool: name::Pool) -> &mut retry_budget::Budget {
        let started_at = self.started_at;
        self.retry_budgets.entry(pool).or_insert_with(|| retry_budget::Budget::new(started_at))
    }

    /// Removes a request that ends. A retry that was granted to it and not sent is returned.
    pub(super) fn remove_request(&mut self, number: u64) -> Option<request::Request> {
        let request = self.requests.remove(&number)?;
        if let Some(grant) = request.retry_grant {
            let policy = self.retry_policy();
            self.retry_budget(request.pool.clone()).return_grant(policy, grant);
        }
        Some(request)
    }

    pub(super) fn on_head(&mut self, number: u64, head: event::Head) {
        self.on_bytes(number, head.load);
        self.on_statements(number, head);
        self.on_named_rate(number, head.rate);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.head_forwarded = true;
        self.decide(number, action::Decision::ForwardStream);
    }

    /// Handles what the upstream of the newest attempt states about itself.
    fn on_statements(&mut self, number: u64, head: event::Head) {
        // Without a rate, only a response to an accepted request lifts the limit.
        if head.rate.is_some() {
            self.on_named_rate(number, head.rate);
        }
        self.on_pause(number, head.pause);
        if head.leaving {
            self.on_upstream_leaving(number);
        }
    }

    pub(super) fn on_events(&mut self, number: u64, last: Option<u64>) {
        let now = self.now;
        self.on_bytes(number, None);
        self.record_first_event(number);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.last_event = last.or(request.last_event);
        request.first_bytes_at.get_or_insert(now);
    }

    /// Records that bytes arrived for the request.
    fn on_bytes(&mut self, number: u64, report: Option<load::Report>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let objective = request.objective;
        let Some(attempt) = &mut request.attempt else { return };
        let is_first = attempt.last_bytes_at.replace(now).is_none();
        if is_first {
            self.count_first_bytes(number);
        }
        let Some(attempt) = self.requests.get(&number).and_then(|it| it.attempt.as_ref()) else {
            return;
        };
        let Some(target) = self.targets.get_mut(&attempt.instance) else { return };
        target.on_bytes(now);
        if is_first {
            let time = now.since(attempt.started_at);
            if !attempt.is_late_as_predicted(time, objective) {
                target.limit.on_response(time, objective, attempt.load_at_start);
            }
            self.move_buckets.entry(target.pool.clone()).or_default().add_for_response();
        }
        if let Some(report) = report {
            let instance = attempt.instance.clone();
            self.on_load_report(&instance, report);
        }
    }

    /// Adds a load report of an upstream.
    fn on_load_report(&mut self, instance: &name::Instance, report: load::Report) {
        let now = self.now;
        let Some(target) = self.targets.get(instance) else { return };
        let kind = (target.pool.clone(), target.model.clone());
        let own = self.own_load(&kind.0, kind.1.as_ref());
        let Some(target) = self.targets.get_mut(instance) else { return };
        target.load.on_report(now, report, own);
        self.scheduling.on_capacity_changed();
        let others = target.load.others();
        let entries = self.entry_count();
        let baseline = self.baselines.entry(kind).or_insert_with(|| load::Baseline::new(entries));
        baseline.update(now, own, others, report.is_overfull());
    }

    pub(super) fn on_response(&mut self, number: u64, head: event::Head) {
        self.on_bytes(number, head.load);
        self.on_statements(number, head);
        self.record_completion(number, head.status);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.on_body_sent();
        if request.head_forwarded {
            // A complete response can't continue a stream whose head the client already has.
            return self.on_attempt_failed(number, event::Fault::InvalidResponse, None);
        }
        if head.status < 500 && !self.is_false_promise(number, head.status) {
            self.on_named_rate(number, head.rate);
            self.finish_attempt(number, true);
            return self.forward_response(number, head.status);
        }
        if !self.retry_server_error(number, head) {
            self.end_server_error(number, head);
            self.forward_response(number, head.status);
        }
    }

    fn forward_response(&mut self, number: u64, status: u16) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&number) {
            request.first_bytes_at.get_or_insert(now);
        }
        self.decide(number, action::Decision::ForwardResponse);
        self.complete(number, status);
    }

    /// Decides whether a response that can't be buffered is forwarded as it arrives.
    pub(super) fn on_large_response(&mut self, number: u64, head: event::Head) {
        let now = self.now;
        self.on_bytes(number, head.load);
        self.on_statements(number, head);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.on_body_sent();
        if request.head_forwarded {
            return self.on_attempt_failed(number, event::Fault::InvalidResponse, None);
        }
        if head.status < 500 && !self.is_false_promise(number, head.status) {
            self.on_named_rate(number, head.rate);
        } else if self.retry_server_error(number, head) {
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.head_forwarded = true;
        request.large_response = Some(head);
        request.first_bytes_at.get_or_insert(now);
        self.decide(number, action::Decision::ForwardStream);
    }

    /// Whether the status of a response would promise that a request has not run, which its upstream
    /// doesn't state. Clients send a request again after such a promise, also one that must run once.
    fn is_false_promise(&self, number: u64, status: u16) -> bool {
        let may_repeat =
            self.requests.get(&number).is_some_and(|request| request.repetition.may_repeat());
        !may_repeat && response::promises_not_run(status)
    }

    /// Sends a request elsewhere whose upstream responds with a server error, or rejects it if the
    /// status would be a false promise. Returns whether it has done either.
    fn retry_server_error(&mut self, number: u64, head: event::Head) -> bool {
        self.count_possible_run(number);
        let Some(request) = self.requests.get(&number) else { return true };
        let repeatable = request.repetition.may_repeat();
        let priority = match request.rank {
            0 => retry_budget::Priority::High,
            _ => retry_budget::Priority::Low,
        };
        if repeatable && self.try_retry(number, priority) {
            self.end_server_error(number, head);
            self.dispatch(number, true);
            return true;
        }
        if self.is_false_promise(number, head.status) {
            self.end_server_error(number, head);
            self.end_without_response(number, action::Reason::Failed, Duration::ZERO);
            return true;
        }
        false
    }

    /// Ends the attempt of a response with a server error.
    fn end_server_error(&mut self, number: u64, head: event::Head) {
        // A pause excludes the upstream already; a failure as well would eject it after the pause.
        if matches!(head.pause, response::Pause::Requested(_)) {
            self.drop_attempt(number);
        } else {
            self.finish_attempt(number, false);
        }
    }

    pub(super) fn on_stream_completed(&mut self, number: u64) {
        let head = self.requests.get(&number).and_then(|request| request.large_response);
        self.record_completion(number, head.map_or(200, |head| head.status));
        self.record_output_length(number);
        match head.filter(|head| head.status >= 500) {
            Some(head) => self.end_server_error(number, head),
            None => self.finish_attempt(number, true),
        }
        self.complete(number, head.map_or(200, |head| head.status));
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        number: u64,
        fault: event::Fault,
        head: Option<event::Head>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = request.attempt.clone() else { return };
        let is_lost = fault == event::Fault::ConnectionLost;
        let lost = is_lost.then(|| (request.fingerprint(), request.prompt));
        self.log(notice::Notice::Failed {
            identifier: request.identifier.clone(),
            instance: attempt.instance.clone(),
            fault,
            after: now.since(attempt.started_at),
            lost,
        });
        self.record_ending(number, ending::Cause::Failed(fault), Duration::ZERO);
        if let Some((fingerprint, prompt)) = lost {
            self.suspect_crash(&attempt, fingerprint, prompt);
        }
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            match fault {
                event::Fault::Unreachable | event::Fault::WrongInstance => {
                    target.health.on_unreachable(now);
                }
                event::Fault::NotRun | event::Fault::ResponseNotRead => {}
                event::Fault::ConnectionLost
                | event::Fault::InvalidResponse
                | event::Fault::BodyNotRead => target.health.on_failure(now),
            }
        }
        // Another upstream at the address states nothing about this one.
        if let Some(head) = head.filter(|_| fault != event::Fault::WrongInstance) {
            if let Some(load) = head.load {
                self.on_load_report(&attempt.instance, load);
            }
            self.on_statements(number, head);
        }
        self.drop_attempt(number);
        if !fault.is_not_run() {
            self.count_possible_run(number);
        }
        if fault == event::Fault::Unreachable {
            // Failed connections use up no attempt of a request whose upstream may go on.
            let request = self.requests.get_mut(&number);
            if let Some(request) = request.filter(|it| it.interruption.is_some()) {
                request.attempt_count -= 1;
            }
            self.report_evidence();
        } else if let Some(request) = self.requests.get_mut(&number) {
            request.on_body_sent();
        }
        let priority = match fault {
            event::Fault::InvalidResponse => retry_budget::Priority::Low,
            _ => retry_budget::Priority::High,
        };
        self.retry_or_end(number, fault.is_not_run(), priority);
    }

    /// Retries the request elsewhere if the work may be sent again, and ends it otherwise.
    fn retry_or_end(&mut self, number: u64, not_run: bool, priority: retry_budget::Priority) {
        let Some(request) = self.requests.get(&number) else { return };
        let may_have_run = request.possible_runs > 0;
        let is_forwarded = request.large_response.is_some();
        let may_retry = !is_forwarded && (not_run || request.repetition.may_repeat());
        if may_retry && self.try_retry(number, priority) {
            return self.dispatch(number, true);
        }
        if may_retry && self.wait_for_upstream(number) {
            return;
        }
        let reason =
            if may_have_run { action::Reason::Failed } else { action::Reason::NotAccepted };
        self.end_without_response(number, reason, completion::MIN_RETRY_AFTER);
    }

    /// Returns whether another attempt may be made, and takes it from the retry budget if so.
    pub(super) fn try_retry(&mut self, number: u64, priority: retry_budget::Priority) -> bool {
        let now = self.now;
        if !self.has_attempts_left(number) {
            return false;
        }
        let Some(request) = self.requests.get(&number) else { return false };
        let pool = request.pool.clone();
        let policy = self.retry_policy();
        let budget = self.retry_budget(pool.clone());
        let grant = budget.try_grant(now, policy, priority);
        if grant.is_none() && budget.should_log_denial(now) {
            let usage = budget.usage(now, policy);
            let (entries, view_age) = (policy.entries, self.members.view_age(now));
            self.log(notice::Notice::RetriesDenied { pool, usage, entries, view_age });
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.retry_grant = grant;
        }
        grant.is_some()
    }

    /// Use of the retry budget of each pool.
    pub fn retry_usage(&self) -> impl Iterator<Item = (&name::Pool, retry_budget::Usage)> {
        let policy = self.retry_policy();
        let usage = move |budget: &retry_budget::Budget| budget.usage(self.now, policy);
        self.retry_budgets.iter().map(move |(pool, budget)| (pool, usage(budget)))
    }

    /// Number of entries that the retry budget is divided among.
    pub fn retry_entries(&self) -> usize {
        self.retry_policy().entries
    }

    /// Whether the request has the time and the number of attempts for another one.
    pub(super) fn has_attempts_left(&self, number: u64) -> bool {
        let has_attempts = |request: &request::Request| {
            self.now.until(request.deadline) >= MIN_TIME_LEFT
                && request.possible_runs < request.max_attempts
                && request.attempt_count < MAX_ATTEMPTS
                && !request.is_body_gone
        };
        self.requests.get(&number).is_some_and(has_attempts)
    }

    /// Counts the newest attempt's upstream as one that may have run the request.
    pub(super) fn count_possible_run(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.possible_runs += 1;
        }
    }

    pub(super) fn on_deadline(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let was_sent = request.possible_runs > 0 || request.attempt.is_some();
        let reason = if was_sent { action::Reason::TimedOut } else { action::Reason::TooLate };
        self.record_ending(number, ending::Cause::Deadline, Duration::ZERO);
        self.drop_attempt(number);
        self.end_without_response(number, reason, completion::MIN_RETRY_AFTER);
    }

    pub(super) fn on_client_disconnected(&mut self, number: u64) {
        self.drop_attempt(number);
        self.queue.remove(number);
        self.scheduling.remove(number);
        let Some(request) = self.remove_request(number) else { return };
        let after = self.now.since(request.arrived_at);
        self.log(notice::Notice::Gone { identifier: request.identifier, after });
    }

    /// Records the result of an attempt that ended by itself.
    fn finish_attempt(&mut self, number: u64, succeeded: bool) {
        let now = self.now;
        let request = self.requests.get(&number);
        let started = request.and_then(|it| it.attempt.as_ref()).map(|it| it.started_at);
        // The rest of a large response arrives as fast as the client reads it.
        let ended = request
            .filter(|it| it.large_response.is_some())
            .and_then(|it| it.first_bytes_at)
            .unwrap_or(now);
        if let (Some(target), Some(started)) = (self.target_of(number), started) {
            if succeeded {
                target.health.on_success(now);
                target.load.record_duration(ended.since(started));
                let kind = target.model.clone().map(|model| (target.pool.clone(), model));
                if let Some(meter) = kind.and_then(|kind| self.demands.get_mut(&kind)) {
                    meter.on_completed(ended.since(started));
                }
            } else {
                target.health.on_failure(now);
            }
        }
        self.drop_attempt(number);
    }

    /// Records why the attempt in flight ends.
    pub(super) fn record_ending(
        &mut self,
        number: u64,
        cause: ending::Cause,
        evidence_age: Duration,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(silence) = request.silence(now) {
            request.ending = Some(ending::Ending { cause, silence, evidence_age });
        }
    }

    pub(super) fn target_of(&mut self, number: u64) -> Option<&mut target::Target> {
        let attempt = self.requests.get(&number)?.attempt.as_ref()?;
        self.targets.get_mut(&attempt.instance)
    }

    /// Ends the attempt and excludes its upstream from further ones.
    pub(super) fn drop_attempt(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            target.on_request_ended();
            target.load.own_tokens = target.load.own_tokens.saturating_sub(attempt.tokens);
            let waited = now.since(attempt.started_at);
            // If only attempts with a response counted, the slowest ones would not count at all.
            if attempt.last_bytes_at.is_none()
                && waited > request.objective
                && !attempt.is_late_as_predicted(waited, request.objective)
            {
                target.limit.on_response(waited, request.objective, attempt.load_at_start);
            }
        }
        self.pauses.on_attempt_ended(&attempt.instance, number);
        request.excluded.push(attempt.instance.clone());
        self.count_ended(number, &attempt.instance, now.since(attempt.started_at));
    }
}

fn new_request(
    now: clock::Instant,
    arrival: arrival::Arrival,
    matched: routing::Match<'_>,
    pool: name::Pool,
    model: Option<name::Model>,
) -> request::Request {
    let route = matched.route;
    let timeout = arrival.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    // The timeout of a retry is the remaining time since the first attempt.
    let elapsed = (route.timeout - timeout).saturating_sub(route.timeout / TIMEOUT_MARGIN_DIVISOR);
    let team = matched.team.map(|team| team.name.clone());
    let body_length = arrival.content.length();
    let mut content = arrival.content;
    // The fingerprint is needed after the body is gone.
    let known_fingerprint = (!content.is_repeatable()).then(|| content.fingerprint(team.as_ref()));
    if known_fingerprint.is_some() {
        content.body = bytes::Bytes::new();
    }
    request::Request {
        identifier: arrival.identifier,
        route: route.name.clone(),
        team,
        content,
        body_length,
        known_fingerprint,
        is_body_gone: false,
        pool,
        model,
        size: arrival.size,
        prompt: arrival.prompt,
        need: None,
        rank: routing::rank(route, matched.team),
        repetition: route.repetition,
        max_attempts: route.attempts.max(1),
        objective: route.objective,
        arrived_at: now,
        on_time_until: now + route.objective.saturating_sub(elapsed),
        deadline: now + timeout,
        was_queued: false,
        queue_time: None,
        possible_runs: 0,
        attempt_count: 0,
        retry_grant: None,
        excluded: Vec::new(),
        attempt: None,
        head_forwarded: false,
        large_response: None,
        last_event: arrival.last_event,
        first_event_ratio: None,
        interruption: None,
        ending: None,
        first_bytes_at: None,
    }
}
