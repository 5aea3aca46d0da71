//! A request's way from arrival to its end.

use super::Core;
use crate::{
    action, arrival, budget, choice, event, load, measure, notice, request, table, target,
};
use hyssopfork_wire::{clock, name};
use std::time::Duration;

/// Attempts of one request, those counted that surely have not run: more would only find the same
/// upstreams full again.
const TRIES: u32 = 4;

/// Time that must be left for another attempt to be worth its place.
const LEAST_LEFT: Duration = Duration::from_millis(60);

/// When to come back where no upstream is there: a lost group is formed anew within a second, more
/// often than not.
const NOBODY_RETRY: Duration = Duration::from_millis(700);

/// When to come back to a process that has just started.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Least time to come back after; a retry that is sooner finds the same state.
const LEAST_RETRY: Duration = Duration::from_millis(150);

/// Longest time to come back after: what is known now says little of what will be later.
const MOST_RETRY: Duration = Duration::from_millis(1_500);

/// Longest time without an answer for a request that others of its upstream do not share, in
/// multiples of the objective, before it is tried elsewhere.
const OVERDUE: u32 = 3;

/// Least such time.
const LEAST_OVERDUE: Duration = Duration::from_millis(250);

/// Longest pause in the middle of a stream while others of its upstream go on. Callers give a
/// stream up after two seconds.
const PAUSE: Duration = Duration::from_millis(1_000);

impl Core {
    pub(super) fn arrived(&mut self, number: u64, arrival: arrival::Arrival) {
        let draw = self.draw();
        let now = self.now;
        let Some(table) = &self.table else {
            let refusal = refusal(action::Reason::NotReady, Some(NOT_READY_RETRY));
            return self.turn_away(number, arrival.identifier, refusal);
        };
        let place = match table.find(&arrival) {
            Ok(place) => place,
            Err(stray) => {
                let reason = match stray {
                    table::Stray::NoRoute => action::Reason::NoRoute,
                    table::Stray::NoKey => action::Reason::NoKey,
                };
                return self.turn_away(number, arrival.identifier, refusal(reason, None));
            }
        };
        let Some(pool) = table::split(place.route, draw).cloned() else {
            let refusal = refusal(action::Reason::NoUpstream, Some(NOBODY_RETRY));
            return self.turn_away(number, arrival.identifier, refusal);
        };
        let model = arrival.model.clone().filter(|_| table.engine(&pool).is_some());
        let request = begin(now, arrival, place, pool, model);
        self.traffic = true;
        self.requests.insert(number, request);
        self.start(number, false);
    }

    /// Sends the request to an upstream, or ends it.
    fn start(&mut self, number: u64, again: bool) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let want = choice::Want {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &request.excluded,
            again,
        };
        let cold_rate = self.table.as_ref().and_then(|table| table.cold_rate(&request.pool));
        let bounds = choice::Bounds { out: &self.out, cold_rate, entries: self.entries };
        match choice::choose(now, &self.targets, want, bounds) {
            choice::Choice::Take(instance) => self.send(number, &instance),
            choice::Choice::Full(wait) => self.end(number, action::Reason::Overloaded, wait),
            choice::Choice::Nobody => self.end(number, action::Reason::NoUpstream, NOBODY_RETRY),
        }
    }

    fn send(&mut self, number: u64, instance: &name::Instance) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(target) = self.targets.get_mut(instance) else { return };
        let load = (target.load.estimate(now), target.limit.get());
        target.load.own += 1;
        target.recent.note(now);
        request.tries += 1;
        request.attempt = Some(request::Attempt {
            instance: instance.clone(),
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
            quiet: first_quiet(request),
        };
        let told = notice::Notice::Sent {
            identifier: request.identifier.clone(),
            route: request.route.clone(),
            instance: instance.clone(),
            attempt: request.tries,
            load,
            report_age: target.load.age(now),
            after: now.since(request.arrived),
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
            extra: self.settings.retry_extra / f64::from(self.entries),
            window: self.settings.retry_window,
        }
    }

    pub(super) fn headed(&mut self, number: u64, head: event::Head) {
        self.hear(number, head.load);
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
        }
        if let Some(report) = report {
            target.load.report(now, report);
        }
    }

    pub(super) fn answered(&mut self, number: u64, head: event::Head) {
        self.hear(number, head.load);
        let Some(request) = self.requests.get(&number) else { return };
        if request.forwarded {
            // What should go on a stream is something else: the caller can't be given both.
            return self.failed(number, event::Fault::Wrong, None);
        }
        if head.status < 500 {
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
        self.leave_target(number, true);
        self.conclude(number, 200);
    }

    fn conclude(&mut self, number: u64, status: u16) {
        let Some(request) = self.requests.remove(&number) else { return };
        let begun = request.begun.unwrap_or(self.now);
        self.measure(&request, measure::Outcome::Answered(begun.since(request.arrived)));
        self.note(notice::Notice::Answered {
            identifier: request.identifier,
            status,
            attempts: request.tries,
            first: begun.since(request.arrived),
            after: self.now.since(request.arrived),
        });
    }

    pub(super) fn failed(&mut self, number: u64, fault: event::Fault, load: Option<load::Report>) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = request.attempt.clone() else { return };
        self.note(notice::Notice::Failed {
            identifier: request.identifier.clone(),
            instance: attempt.instance.clone(),
            fault,
            after: now.since(attempt.started),
        });
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            match fault {
                event::Fault::Unreachable | event::Fault::Stranger => {
                    target.health.unreachable(now);
                }
                event::Fault::NotRun => {}
                event::Fault::Broken | event::Fault::Wrong => target.health.failed(now),
            }
            if let Some(load) = load {
                target.load.report(now, load);
            }
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
        self.end(number, reason, LEAST_RETRY);
    }

    /// Whether another attempt may be made; spends from the budget when it may.
    fn may_go_on(&mut self, number: u64) -> bool {
        let now = self.now;
        let bound = self.bound();
        let Some(request) = self.requests.get(&number) else { return false };
        let left = now.until(request.limit) >= LEAST_LEFT;
        if !left || request.runs >= request.attempts || request.tries >= TRIES {
            return false;
        }
        let pool = request.pool.clone();
        self.budgets.entry(pool).or_default().again(now, bound)
    }

    /// Counts the newest attempt's upstream among those that may have run the request.
    fn count_run(&mut self, number: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.runs += 1;
        }
    }

    pub(super) fn quiet(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let silence = now.since(attempt.moved.unwrap_or(attempt.started));
        let target = self.targets.get(&attempt.instance);
        let all_silent = target
            .map_or(silence, |target| now.since(target.moved.max(attempt.started)).min(silence));
        if !request.repetition.may_repeat() {
            let left = now.until(request.limit).max(LEAST_LEFT);
            return self.decide(number, action::Decision::Wait(left));
        }
        let (stall, own) = limits(request, attempt);
        let stalled = all_silent >= stall;
        if !stalled && silence < own {
            let instance = attempt.instance.clone();
            let streams = request.repetition.streams();
            if streams && attempt.moved.is_some() && all_silent >= target::SUSPECT {
                self.suspect(&instance);
            }
            let wait = (stall - all_silent.min(stall)).min(own - silence).max(LEAST_LEFT);
            return self.decide(number, action::Decision::Wait(wait));
        }
        let instance = attempt.instance.clone();
        let told = notice::Notice::Moved {
            identifier: request.identifier.clone(),
            instance: instance.clone(),
            silence: (silence, all_silent),
        };
        if stalled {
            self.stall(&instance, all_silent);
        }
        self.take_away(number, told);
    }

    /// Tells the leader that an upstream may stand still.
    fn suspect(&mut self, instance: &name::Instance) {
        let Some(target) = self.targets.get_mut(instance) else { return };
        if !std::mem::replace(&mut target.suspected, true) {
            self.tell();
        }
    }

    /// Notes that everything stands still on an upstream, and tells the leader at once.
    fn stall(&mut self, instance: &name::Instance, silence: Duration) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(instance) else { return };
        if target.is_stalled(now) {
            return;
        }
        target.stalled = Some(now);
        self.note(notice::Notice::Stalled(instance.clone(), silence));
        self.tell();
    }

    /// Takes a request away from its upstream, if it can go on elsewhere.
    fn take_away(&mut self, number: u64, told: notice::Notice) {
        let runs = self.requests.get(&number).map_or(0, |request| request.runs);
        self.count_run(number);
        let elsewhere = self.has_elsewhere(number) && self.may_go_on(number);
        if !elsewhere {
            if let Some(request) = self.requests.get_mut(&number) {
                request.runs = runs;
            }
            return self.decide(number, action::Decision::Wait(target::STALL));
        }
        self.note(told);
        if let Some(target) = self.target_of(number) {
            target.health.failed(target.moved);
        }
        self.drop_attempt(number);
        self.start(number, true);
    }

    /// Whether another upstream than the present one would take the request.
    fn has_elsewhere(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let Some(attempt) = &request.attempt else { return false };
        let mut excluded = request.excluded.clone();
        excluded.push(attempt.instance.clone());
        let want = choice::Want {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &excluded,
            again: true,
        };
        let cold_rate = self.table.as_ref().and_then(|table| table.cold_rate(&request.pool));
        let bounds = choice::Bounds { out: &self.out, cold_rate, entries: self.entries };
        matches!(choice::choose(self.now, &self.targets, want, bounds), choice::Choice::Take(_))
    }

    pub(super) fn expired(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let sent = request.runs > 0 || request.attempt.is_some();
        let reason = if sent { action::Reason::TimedOut } else { action::Reason::TooLate };
        self.drop_attempt(number);
        self.end(number, reason, LEAST_RETRY);
    }

    pub(super) fn gone(&mut self, number: u64) {
        self.drop_attempt(number);
        let Some(request) = self.requests.remove(&number) else { return };
        let after = self.now.since(request.arrived);
        self.note(notice::Notice::Gone { identifier: request.identifier, after });
    }

    /// Ends a request without an answer of an upstream. Once its head is out the answer can only be
    /// broken off; once work may have run, "not run" would be a lie.
    fn end(&mut self, number: u64, reason: action::Reason, wait: Duration) {
        let Some(request) = self.requests.remove(&number) else { return };
        let ran = request.runs > 0 && reason.is_not_run();
        let reason = if ran { action::Reason::Failed } else { reason };
        let after = self.now.since(request.arrived);
        if request.forwarded {
            self.decide(number, action::Decision::Cut);
            self.measure(&request, measure::Outcome::Cut);
            let (identifier, attempts) = (request.identifier, request.tries);
            return self.note(notice::Notice::Cut { identifier, reason, attempts, after });
        }
        let retry_after = reason.is_not_run().then(|| self.book(&request, wait));
        self.measure(&request, measure::Outcome::Refused(reason));
        let refusal = refusal(reason, retry_after);
        self.decide(number, action::Decision::Refuse(refusal));
        self.note(notice::Notice::Refused {
            identifier: request.identifier,
            reason,
            retry_after,
            attempts: request.tries,
            after,
        });
    }

    /// When the caller of a refused request is to come back.
    fn book(&mut self, request: &request::Request, wait: Duration) -> Duration {
        let now = self.now;
        let serves = |target: &&target::Target| {
            target.pool == request.pool && target.model == request.model && !target.is_stalled(now)
        };
        let pace: f64 = self.targets.values().filter(serves).map(|it| it.load.pace()).sum();
        let own = pace / f64::from(self.entries);
        let spacing = if own > 0.0 { Duration::from_secs_f64(1.0 / own) } else { Duration::ZERO };
        let key = (request.pool.clone(), request.model.clone());
        let returns = self.returns.entry(key).or_default();
        returns.book(now, wait, spacing.min(MOST_RETRY)).clamp(LEAST_RETRY, MOST_RETRY)
    }

    fn measure(&mut self, request: &request::Request, outcome: measure::Outcome) {
        self.actions.push(action::Action::Measure(measure::Measure {
            team: request.team.clone(),
            class: Some(request.class()),
            outcome,
            attempts: request.tries,
            whole: self.now.since(request.arrived),
        }));
    }

    /// Refuses a request that has no place.
    fn turn_away(&mut self, number: u64, identifier: String, refusal: action::Refusal) {
        self.actions.push(action::Action::Measure(measure::Measure {
            team: None,
            class: None,
            outcome: measure::Outcome::Refused(refusal.reason),
            attempts: 0,
            whole: Duration::ZERO,
        }));
        self.decide(number, action::Decision::Refuse(refusal));
        self.note(notice::Notice::Refused {
            identifier,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
            attempts: 0,
            after: Duration::ZERO,
        });
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

    fn target_of(&mut self, number: u64) -> Option<&mut target::Target> {
        let attempt = self.requests.get(&number)?.attempt.as_ref()?;
        self.targets.get_mut(&attempt.instance)
    }

    /// The attempt is over; its upstream is not asked again.
    fn drop_attempt(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(attempt) = request.attempt.take() else { return };
        if let Some(target) = self.targets.get_mut(&attempt.instance) {
            target.load.own = target.load.own.saturating_sub(1);
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
    request::Request {
        identifier: arrival.identifier,
        route: route.name.clone(),
        team: place.team.map(|team| team.name.clone()),
        pool,
        model,
        repetition: route.repetition,
        attempts: route.attempts.max(1),
        objective: route.objective,
        arrived: now,
        limit: now + time,
        runs: 0,
        tries: 0,
        excluded: Vec::new(),
        attempt: None,
        forwarded: false,
        last_event: arrival.last_event,
        begun: None,
    }
}

fn refusal(reason: action::Reason, retry_after: Option<Duration>) -> action::Refusal {
    action::Refusal { reason, retry_after }
}

/// Silence of all requests on the upstream, and of this one, that is borne now.
fn limits(request: &request::Request, attempt: &request::Attempt) -> (Duration, Duration) {
    let overdue = (request.objective * OVERDUE).max(LEAST_OVERDUE);
    match (request.repetition.streams(), attempt.moved) {
        (true, Some(_)) => (target::STALL, PAUSE),
        (true, None) => (target::FIRST_STALL, overdue.max(target::FIRST_STALL)),
        (false, _) => (overdue, overdue),
    }
}

/// Silence after which a fresh attempt is looked at.
fn first_quiet(request: &request::Request) -> Duration {
    let overdue = (request.objective * OVERDUE).max(LEAST_OVERDUE);
    if request.repetition.streams() { target::FIRST_STALL } else { overdue }
}
