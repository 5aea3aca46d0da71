//! Requests for which nothing comes: waited for, or taken elsewhere.

use super::{Core, serve};
use crate::{action, choice, notice, request, target};
use hyssopfork_fleet::view;
use hyssopfork_wire::name;
use std::time::Duration;

/// Longest time without an answer for a request that others of its upstream do not share, in
/// multiples of the objective, before it is tried elsewhere.
const OVERDUE: u32 = 3;

/// Least such time.
const LEAST_OVERDUE: Duration = Duration::from_millis(250);

/// Longest pause in the middle of a stream while others of its upstream go on. Callers give a
/// stream up after two seconds.
const PAUSE: Duration = Duration::from_millis(1_000);

impl Core {
    pub(super) fn quiet(&mut self, number: u64) {
        let now = self.now;
        if self.is_recalled(number) {
            self.count_run(number);
            self.drop_attempt(number);
            return self.end(number, action::Reason::Failed, Duration::ZERO);
        }
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let silence = now.since(attempt.moved.unwrap_or(attempt.started));
        let target = self.targets.get(&attempt.instance);
        let all_silent = target
            .map_or(silence, |target| now.since(target.moved.max(attempt.started)).min(silence));
        if !request.repetition.may_repeat() {
            let left = now.until(request.limit).max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(left));
        }
        let (stall, own) = limits(request, attempt);
        let stalled = all_silent >= stall;
        let lost = silence >= target::LOST && self.is_lost(attempt.incarnation.epoch);
        if !stalled && !lost && silence < own {
            let instance = attempt.instance.clone();
            let streams = request.repetition.streams();
            if streams && attempt.moved.is_some() && all_silent >= target::SUSPECT {
                self.suspect(&instance);
            }
            let wait = (stall - all_silent.min(stall)).min(own - silence).min(target::LOOK);
            let wait = wait.max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(wait));
        }
        // A group that is known to be lost is no suspicion.
        let instance = attempt.instance.clone();
        if !lost && !self.moves.entry(request.pool.clone()).or_default().has_room() {
            self.suspect(&instance);
            return self.decide(number, action::Decision::Wait(target::LOOK));
        }
        let told = notice::Notice::Moved {
            identifier: request.identifier.clone(),
            instance: instance.clone(),
            silence: (silence, all_silent),
        };
        if stalled {
            self.stall(&instance, all_silent);
        }
        self.take_away(number, told, lost);
    }

    /// Whether the group of this epoch is lost, or gone. The leader knows that from its own questions
    /// sooner than a silence says it, and a member that died stops the whole group for good.
    fn is_lost(&self, epoch: u64) -> bool {
        let goes_on = |group: &view::Group| group.epoch == epoch && !group.lost;
        epoch != 0 && !self.groups.values().any(goes_on)
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
    fn take_away(&mut self, number: u64, told: notice::Notice, lost: bool) {
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
        if let Some(request) = self.requests.get(&number).filter(|_| !lost) {
            self.moves.entry(request.pool.clone()).or_default().spend();
        }
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
            standing: choice::Standing::Again,
        };
        let bounds = self.bounds(request);
        matches!(choice::choose(self.now, &self.targets, want, bounds), choice::Choice::Take(_))
    }
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
pub(super) fn first_quiet(request: &request::Request) -> Duration {
    let overdue = (request.objective * OVERDUE).max(LEAST_OVERDUE);
    if request.repetition.streams() { target::SUSPECT } else { overdue }
}
