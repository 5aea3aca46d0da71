//! A request's way from arrival to its end.

use super::{Core, ending, silence};
use crate::{action, arrival, budget, choice, event, load, notice, request, table, target};
use hyssopfork_wire::{clock, name};
use std::time::Duration;

/// Attempts of one request, those counted that surely have not run: more would only find the same
/// upstreams full again.
const MAX_TRIES: u32 = 4;

/// Part of a route's timeout by which clients wait less for a first attempt already. Taken for retries
/// by the time that they have left, most first attempts would be rejected as late.
const PATIENCE_DIVISOR: u32 = 5;

/// Time that must be left for another attempt to be worth its place.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(60);

/// When to come back where no upstream is there. A lost group serves again 1 s after its member's
/// death when the reserve has the weights at hand, 2 s when it takes them from a host; most callers
/// come back once only, and after 0.7 s found nobody again.
pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(1_200);

/// When to come back to a process that has just started.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

impl Core {
    pub(super) fn arrived(&mut self, number: u64, arrival: arrival::Arrival) {
        let draw = self.draw();
        let now = self.now;
        let Some(table) = &self.table else {
            if let Some(arrival) = self.hold_arrival(number, arrival) {
                self.refuse_unready(number, arrival.identifier);
            }
            return;
        };
        let place = match table.find(&arrival) {
            Ok(place) => place,
            Err(_) if self.may_be_outdated() => {
                if let Some(arrival) = self.hold_arrival(number, arrival) {
                    self.refuse_unready(number, arrival.identifier);
                }
                return;
            }
            Err(error) => {
                let reason = match error {
                    table::Error::RouteNotFound => action::Reason::NoRoute,
                    table::Error::KeyNotFound => action::Reason::NoKey,
                };
                return self.turn_away(
                    number,
                    arrival.identifier,
                    action::Refusal::new(reason, None),
                );
            }
        };
        let Some(pool) = table::split(place.route, draw).cloned() else {
            let refusal =
                action::Refusal::new(action::Reason::NoUpstream, Some(NO_UPSTREAM_RETRY_AFTER));
            return self.turn_away(number, arrival.identifier, refusal);
        };
        let model = arrival.model.clone().filter(|_| table.engine(&pool).is_some());
        let request = begin(now, arrival, place, pool, model);
        self.traffic = true;
        self.requests.insert(number, request);
        self.start(number, false);
    }

    /// Sends the request to an upstream, or ends it.
    pub(super) fn start(&mut self, number: u64, again: bool) {
        let now = self.now;
        if let Some(wait) = self.quarantine_wait(number) {
            return self.end(number, action::Reason::Quarantined, wait);
        }
        let Some(request) = self.requests.get(&number) else { return };
        let bounds = self.bounds(request);
        match choice::choose(now, &self.targets, self.want(request, again), bounds) {
            choice::Choice::Take(instance) => self.send(number, &instance),
            choice::Choice::Full { .. }
                if self.holds.is_trying(number) && self.hold_request(number) => {}
            choice::Choice::Full { wait, best } => {
                self.tell_of_full(number, best);
                self.end(number, action::Reason::Overloaded, wait);
            }
            choice::Choice::Nobody => {
                if !self.hold_request(number) {
                    self.end(number, action::Reason::NoUpstream, NO_UPSTREAM_RETRY_AFTER);
                }
            }
        }
    }

    /// Refuses an arrival that no declaration is known for, or an outdated one.
    pub(super) fn refuse_unready(&mut self, number: u64, identifier: String) {
        let refusal = action::Refusal::new(action::Reason::NotReady, Some(NOT_READY_RETRY_AFTER));
        self.turn_away(number, identifier, refusal);
    }

    /// Logs what a refusal for want of room rests on.
    fn tell_of_full(&mut self, number: u64, best: Option<name::Instance>) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let target = best.as_ref().and_then(|best| self.targets.get(best));
        let average = self.average(&request.pool, request.model.as_ref());
        let load = target.map(|it| (it.load.estimate(now, average), it.limit.get()));
        let report_age = target.and_then(|it| it.load.age(now));
        let identifier = request.identifier.clone();
        self.note(notice::Notice::Full { identifier, best, load, report_age });
    }

    fn send(&mut self, number: u64, instance: &name::Instance) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let average = self.average(&request.pool, request.model.as_ref());
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(target) = self.targets.get_mut(instance) else { return };
        let load = (target.load.estimate(now, average), target.limit.get());
        target.load.own += 1;
        target.recent.note(now);
        if let Some(limiter) = &mut target.limiter {
            limiter.note(now);
        }
        request.tries += 1;
        request.attempt = Some(request::Attempt {
            instance: instance.clone(),
            incarnation: target.incarnation.clone(),
            started: now,
            load: load.0,
            moved: None,
        });
        let start = action::Start {
            instance: instance.clone(),
            address: target.incarnation.address,
            team: request.team.clone(),
            limit: request.limit,
            last_event: request.last_event,
            fresh: !request.repetition.may_repeat(),
            streams: request.repetition.streams(),
            quiet: silence::first_quiet(request),
        };
        let told = notice::Notice::Sent {
            identifier: request.identifier.clone(),
            route: request.route.clone(),
            instance: instance.clone(),
            attempt: request.tries,
            load,
            report_age: target.load.age(now),
            after: now.since(request.arrived),
            left: now.until(request.limit),
        };
        let (pool, first) = (request.pool.clone(), request.tries == 1);
        let bound = self.bound();
        if first {
            self.budgets.entry(pool).or_default().first(now, bound);
        }
        self.decide(number, action::Decision::Start(Box::new(start)));
        self.note(told);
    }

    fn bound(&self) -> budget::Bound {
        budget::Bound {
            ratio: self.settings.retry_ratio,
            extra: self.settings.retry_extra / self.entry_count() as f64,
            window: self.settings.retry_window,
        }
    }

    pub(super) fn headed(&mut self, number: u64, head: event::Head) {
        self.hear(number, head.load);
        self.hear_rate(number, head.rate);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.forwarded = true;
        self.decide(number, action::Decision::Forward);
    }

    pub(super) fn moved(&mut self, number: u64, last: Option<u64>) {
        let now = self.now;
        self.hear(number, None);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.last_event = last.or(request.last_event);
        request.begun.get_or_insert(now);
    }

    /// Bytes came of the request's upstream.
    fn hear(&mut self, number: u64, report: Option<load::Report>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let objective = request.objective;
        let Some(attempt) = &mut request.attempt else { return };
        let first = attempt.moved.replace(now).is_none();
        let Some(target) = self.targets.get_mut(&attempt.instance) else { return };
        target.moves(now);
        if first {
            target.limit.began(now.since(attempt.started), objective, attempt.load);
            self.moves.entry(target.pool.clone()).or_default().earn();
        }
        if let Some(report) = report {
            let instance = attempt.instance.clone();
            self.reported(&instance, report);
        }
    }

    /// Takes in what an upstream says of its load.
    fn reported(&mut self, instance: &name::Instance, report: load::Report) {
        let now = self.now;
        let Some(target) = self.targets.get(instance) else { return };
        let kind = (target.pool.clone(), target.model.clone());
        let own = self.own_load(&kind.0, kind.1.as_ref());
        let Some(target) = self.targets.get_mut(instance) else { return };
        target.load.report(now, report, own);
        let others = target.load.others();
        let entries = self.entry_count();
        let share = self.shares.entry(kind);
        share.or_insert_with(|| load::Share::of(entries)).learn(now, own, others);
    }

    pub(super) fn answered(&mut self, number: u64, head: event::Head) {
        self.hear(number, head.load);
        self.note_completion(number);
        let Some(request) = self.requests.get(&number) else { return };
        if request.forwarded {
            // What should go on a stream is something else: the caller can't be given both.
            return self.failed(number, event::Fault::Wrong, None);
        }
        if head.status < 500 {
            self.hear_rate(number, head.rate);
            self.leave_target(number, true);
            return self.deliver(number, head.status);
        }
        let repeatable = request.repetition.may_repeat();
        self.leave_target(number, false);
        self.count_run(number);
        if repeatable && self.may_go_on(number) {
            return self.start(number, true);
        }
        // A status that promises "not run" is no promise of an upstream that doesn't say so.
        let promises = matches!(head.status, 408 | 421 | 429 | 503);
        if promises && !repeatable {
            return self.end(number, action::Reason::Failed, Duration::ZERO);
        }
        self.deliver(number, head.status);
    }

    fn deliver(&mut self, number: u64, status: u16) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&number) {
            request.begun.get_or_insert(now);
        }
        self.decide(number, action::Decision::Deliver);
        self.conclude(number, status);
    }

    pub(super) fn ended(&mut self, number: u64) {
        self.note_completion(number);
        self.leave_target(number, true);
        self.conclude(number, 200);
    }

    pub(super) fn failed(&mut self, number: u64, fault: event::Fault, load: Option<load::Report>) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = request.attempt.clone() else { return };
        let broken = fault == event::Fault::Broken;
        let fingerprint = broken.then(|| request.fingerprint());
        self.note(notice::Notice::Failed {
            identifier: request.identifier.clone(),
            instance: attempt.instance.clone(),
            fault,
            after: now.since(attempt.started),
            fingerprint,
        });
        if let Some(fingerprint) = fingerprint {
            self.suspect_crash(&attempt, fingerprint);
        }
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            match fault {
                event::Fault::Unreachable | event::Fault::Stranger => {
                    target.health.unreachable(now);
                }
                event::Fault::NotRun => {}
                event::Fault::Broken | event::Fault::Wrong => target.health.failed(now),
            }
        }
        if let Some(load) = load {
            self.reported(&attempt.instance, load);
        }
        self.drop_attempt(number);
        if !fault.is_not_run() {
            self.count_run(number);
        }
        if fault == event::Fault::Unreachable {
            self.tell();
        }
        self.go_on_or_end(number, fault.is_not_run());
    }

    /// Tries elsewhere if the work may be sent again, and ends the request otherwise.
    fn go_on_or_end(&mut self, number: u64, not_run: bool) {
        let Some(request) = self.requests.get(&number) else { return };
        let ran = request.runs > 0;
        if (not_run || request.repetition.may_repeat()) && self.may_go_on(number) {
            return self.start(number, true);
        }
        let reason = if ran { action::Reason::Failed } else { action::Reason::NotTaken };
        self.end(number, reason, ending::LEAST_RETRY);
    }

    /// Whether another attempt may be made; spends from the budget when it may.
    pub(super) fn may_go_on(&mut self, number: u64) -> bool {
        let now = self.now;
        let bound = self.bound();
        let Some(request) = self.requests.get(&number) else { return false };
        let left = now.until(request.limit) >= MIN_TIME_LEFT;
        if !left || request.runs >= request.attempts || request.tries >= MAX_TRIES {
            return false;
        }
        let pool = request.pool.clone();
        self.budgets.entry(pool).or_default().again(now, bound)
    }

    /// Counts the newest attempt's upstream among those that may have run the request.
    pub(super) fn count_run(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.runs += 1;
        }
    }

    pub(super) fn expired(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let sent = request.runs > 0 || request.attempt.is_some();
        let reason = if sent { action::Reason::TimedOut } else { action::Reason::TooLate };
        self.drop_attempt(number);
        self.end(number, reason, ending::LEAST_RETRY);
    }

    pub(super) fn gone(&mut self, number: u64) {
        self.drop_attempt(number);
        self.holds.release(number);
        let Some(request) = self.requests.remove(&number) else { return };
        let after = self.now.since(request.arrived);
        self.note(notice::Notice::Gone { identifier: request.identifier, after });
    }

    /// The attempt ended by itself.
    fn leave_target(&mut self, number: u64, sound: bool) {
        let now = self.now;
        let started =
            self.requests.get(&number).and_then(|it| it.attempt.as_ref()).map(|it| it.started);
        if let (Some(target), Some(started)) = (self.target_of(number), started) {
            if sound {
                target.health.succeeded(now);
                target.load.took(now.since(started));
            } else {
                target.health.failed(now);
            }
        }
        self.drop_attempt(number);
    }

    pub(super) fn target_of(&mut self, number: u64) -> Option<&mut target::Target> {
        let attempt = self.requests.get(&number)?.attempt.as_ref()?;
        self.targets.get_mut(&attempt.instance)
    }

    /// The attempt is over; its upstream is not asked again.
    pub(super) fn drop_attempt(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            target.load.own = target.load.own.saturating_sub(1);
            let waited = now.since(attempt.started);
            // Counted by their answers alone, the slowest attempts would not count at all.
            if attempt.moved.is_none() && waited > request.objective {
                target.limit.began(waited, request.objective, attempt.load);
            }
        }
        request.excluded.push(attempt.instance);
    }
}

fn begin(
    now: clock::Instant,
    arrival: arrival::Arrival,
    place: table::Place<'_>,
    pool: name::Pool,
    model: Option<name::Model>,
) -> request::Request {
    let route = place.route;
    let time = arrival.patience.map_or(route.timeout, |patience| patience.min(route.timeout));
    // A retry waits for its remaining time, which counts from the first attempt.
    let before = (route.timeout - time).saturating_sub(route.timeout / PATIENCE_DIVISOR);
    request::Request {
        identifier: arrival.identifier,
        route: route.name.clone(),
        team: place.team.map(|team| team.name.clone()),
        content: arrival.content,
        pool,
        model,
        repetition: route.repetition,
        attempts: route.attempts.max(1),
        objective: route.objective,
        arrived: now,
        due: now + route.objective.saturating_sub(before),
        limit: now + time,
        held: false,
        runs: 0,
        tries: 0,
        excluded: Vec::new(),
        attempt: None,
        forwarded: false,
        last_event: arrival.last_event,
        begun: None,
    }
}
