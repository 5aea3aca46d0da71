//! Requests for which nothing comes: waited for, or taken elsewhere.

use super::{Core, serve};
use crate::{action, notice, request, selection, target};
use hyssopfork_fleet::view;
use hyssopfork_wire::name;
use std::time::Duration;

/// Longest time without an answer for a request that others of its upstream do not share, in
/// multiples of the objective, before it is tried elsewhere.
const OVERDUE_FACTOR: u32 = 3;

/// Least such time.
const MIN_OVERDUE_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest pause in the middle of a stream while others of its upstream go on. Callers give a
/// stream up after two seconds.
const MAX_STREAM_PAUSE: Duration = Duration::from_millis(1_000);

impl Core {
    pub(super) fn on_idle_timeout(&mut self, number: u64) {
        let now = self.now;
        if self.is_recalled(number) {
            self.count_possible_run(number);
            self.drop_attempt(number);
            return self.end_without_response(number, action::Reason::Failed, Duration::ZERO);
        }
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let silence = now.since(attempt.last_bytes_at.unwrap_or(attempt.started_at));
        let target = self.targets.get(&attempt.instance);
        let all_silent = target.map_or(silence, |target| {
            now.since(target.last_bytes_at.max(attempt.started_at)).min(silence)
        });
        if !request.repetition.may_repeat() {
            let left = now.until(request.deadline).max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(left));
        }
        let (stall, own) = idle_limits(request, attempt);
        let stalled = all_silent >= stall;
        let lost =
            silence >= target::LOST_GROUP_TIMEOUT && self.is_group_lost(attempt.incarnation.epoch);
        if !stalled && !lost && silence < own {
            let instance = attempt.instance.clone();
            let streams = request.repetition.streams();
            if streams && attempt.last_bytes_at.is_some() && all_silent >= target::SUSPECT_TIMEOUT {
                self.mark_suspected(&instance);
            }
            let wait =
                (stall - all_silent.min(stall)).min(own - silence).min(target::CHECK_INTERVAL);
            let wait = wait.max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(wait));
        }
        // A group that is known to be lost is no suspicion.
        let instance = attempt.instance.clone();
        if !lost && !self.move_buckets.entry(request.pool.clone()).or_default().has_token() {
            self.mark_suspected(&instance);
            return self.decide(number, action::Decision::Wait(target::CHECK_INTERVAL));
        }
        let told = notice::Notice::Moved {
            identifier: request.identifier.clone(),
            instance: instance.clone(),
            silence: (silence, all_silent),
        };
        if stalled {
            self.mark_stalled(&instance, all_silent);
        }
        self.move_elsewhere(number, told, lost);
    }

    /// Whether the group of this epoch is lost, or gone. The leader knows that from its own questions
    /// sooner than a silence says it, and a member that died stops the whole group for good.
    fn is_group_lost(&self, epoch: u64) -> bool {
        let goes_on = |group: &view::Group| group.epoch == epoch && !group.lost;
        epoch != 0 && !self.groups.values().any(goes_on)
    }

    /// Tells the leader that an upstream may stand still.
    fn mark_suspected(&mut self, instance: &name::Instance) {
        let Some(target) = self.targets.get_mut(instance) else { return };
        if !std::mem::replace(&mut target.suspected, true) {
            self.report_evidence();
        }
    }

    /// Notes that everything stands still on an upstream, and tells the leader at once.
    fn mark_stalled(&mut self, instance: &name::Instance, silence: Duration) {
        let now = self.now;
        let Some(target) = self.targets.get_mut(instance) else { return };
        if target.is_stalled(now) {
            return;
        }
        target.stalled_since = Some(now);
        self.log(notice::Notice::Stalled(instance.clone(), silence));
        self.report_evidence();
    }

    /// Takes a request away from its upstream, if it can go on elsewhere.
    fn move_elsewhere(&mut self, number: u64, told: notice::Notice, lost: bool) {
        let runs = self.requests.get(&number).map_or(0, |request| request.possible_runs);
        self.count_possible_run(number);
        let elsewhere = self.has_alternative(number) && self.try_retry(number);
        if !elsewhere {
            if let Some(request) = self.requests.get_mut(&number) {
                request.possible_runs = runs;
            }
            return self.decide(number, action::Decision::Wait(target::STREAM_STALL_TIMEOUT));
        }
        self.log(told);
        if let Some(request) = self.requests.get(&number).filter(|_| !lost) {
            self.move_buckets.entry(request.pool.clone()).or_default().take_token();
        }
        if let Some(target) = self.target_of(number) {
            target.health.on_failure(target.last_bytes_at);
        }
        self.drop_attempt(number);
        self.dispatch(number, true);
    }

    /// Whether another upstream than the present one would take the request.
    fn has_alternative(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let Some(attempt) = &request.attempt else { return false };
        let mut excluded = request.excluded.clone();
        excluded.push(attempt.instance.clone());
        let want = selection::Query {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &excluded,
            priority: selection::Priority::Retry,
        };
        let bounds = self.constraints(request);
        matches!(
            selection::select(self.now, &self.targets, want, bounds),
            selection::Selection::Selected(_)
        )
    }
}

/// Silence of all requests on the upstream, and of this one, that is borne now.
fn idle_limits(request: &request::Request, attempt: &request::Attempt) -> (Duration, Duration) {
    let overdue = (request.objective * OVERDUE_FACTOR).max(MIN_OVERDUE_TIMEOUT);
    match (request.repetition.streams(), attempt.last_bytes_at) {
        (true, Some(_)) => (target::STREAM_STALL_TIMEOUT, MAX_STREAM_PAUSE),
        (true, None) => (target::FIRST_EVENT_TIMEOUT, overdue.max(target::FIRST_EVENT_TIMEOUT)),
        (false, _) => (overdue, overdue),
    }
}

/// Silence after which a fresh attempt is looked at.
pub(super) fn initial_idle_timeout(request: &request::Request) -> Duration {
    let overdue = (request.objective * OVERDUE_FACTOR).max(MIN_OVERDUE_TIMEOUT);
    if request.repetition.streams() { target::SUSPECT_TIMEOUT } else { overdue }
}
