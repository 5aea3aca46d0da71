//! Stall detection: requests that receive no bytes wait on or move to another upstream.

use super::{Core, serve};
use crate::{action, ending, notice, request, retry_budget, selection, target};
use hyssopfork_fleet::view;
use hyssopfork_wire::name;
use std::time::Duration;

/// Longest time without a response for a request, in multiples of its objective, before it is tried
/// elsewhere although other requests of its upstream progress.
const OVERDUE_FACTOR: u32 = 3;

/// Lower bound of that time.
const MIN_OVERDUE_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest pause within a stream while other streams of its upstream progress. Clients abandon a
/// stream after two seconds.
const MAX_STREAM_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest time without bytes for a request whose upstream is known to be gone. It is retried elsewhere
/// until then, and then ends. The group is replaced within a second or two, so that the client's retry can
/// be served.
const MAX_LOST_GROUP_WAIT: Duration = Duration::from_millis(1_000);

/// What this entry knows of an attempt's upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// Nothing speaks against it.
    Intact,
    /// Its group gets no new requests, or the view lacks it. That ends no request: the group may go on,
    /// and a new leader may not know it yet.
    Unavailable,
    /// Its process or its group is known to be gone, so that the response will not complete.
    Lost,
}

impl Core {
    pub(super) fn on_idle_timeout(&mut self, number: u64) {
        let now = self.now;
        if self.is_recalled(number) {
            self.count_possible_run(number);
            self.record_ending(number, ending::Cause::Quarantined, Duration::ZERO);
            self.drop_attempt(number);
            return self.end_without_response(number, action::Reason::Failed, Duration::ZERO);
        }
        if let Some(request) = self.requests.get_mut(&number) {
            request.on_body_sent();
        }
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let silence = now.since(attempt.last_bytes_at.unwrap_or(attempt.started_at));
        let target = self.targets.get(&attempt.instance);
        let all_silent = target.map_or(silence, |target| {
            now.since(target.last_bytes_at.max(attempt.started_at)).min(silence)
        });
        if !request.may_run_again() {
            let left = now.until(request.deadline).max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(left));
        }
        let (stall_timeout, max_silence) = idle_limits(request, attempt);
        let is_stalled = all_silent >= stall_timeout;
        let condition = self.condition_of(attempt);
        let is_unavailable =
            silence >= target::LOST_GROUP_TIMEOUT && condition != Condition::Intact;
        if !is_stalled && !is_unavailable && silence < max_silence {
            let instance = attempt.instance.clone();
            let streams = request.repetition.streams();
            if streams && attempt.last_bytes_at.is_some() && all_silent >= target::SUSPECT_TIMEOUT {
                self.mark_suspected(&instance);
            }
            let wait = (stall_timeout - all_silent.min(stall_timeout))
                .min(max_silence - silence)
                .min(target::CHECK_INTERVAL);
            let wait = wait.max(serve::MIN_TIME_LEFT);
            return self.decide(number, action::Decision::Wait(wait));
        }
        // A move away from a group that gets no new requests needs no token.
        let instance = attempt.instance.clone();
        if !is_unavailable
            && !self.move_buckets.entry(request.pool.clone()).or_default().has_token()
        {
            self.mark_suspected(&instance);
            return self.decide(number, action::Decision::Wait(target::CHECK_INTERVAL));
        }
        let moved = notice::Notice::Moved {
            identifier: request.identifier.clone(),
            instance: instance.clone(),
            silence: (silence, all_silent),
        };
        if is_stalled {
            self.mark_stalled(&instance, all_silent);
        }
        let cause = match condition {
            Condition::Lost => ending::Cause::LostGroup,
            Condition::Unavailable => ending::Cause::UnavailableGroup,
            Condition::Intact => ending::Cause::Silence,
        };
        self.move_elsewhere(
            number,
            moved,
            if is_unavailable { cause } else { ending::Cause::Silence },
        );
    }

    /// What this entry knows of the attempt's upstream.
    fn condition_of(&self, attempt: &request::Attempt) -> Condition {
        let incarnation = &attempt.incarnation;
        if incarnation.epoch == 0 {
            return Condition::Intact;
        }
        let announcement = self.upstreams.get(&attempt.instance).map(|it| &it.announcement);
        if announcement.is_some_and(|it| it.shows_end_of(incarnation.born, incarnation.epoch)) {
            return Condition::Lost;
        }
        let group = self.groups.values().find(|group| group.epoch == incarnation.epoch);
        match group.map(|group| group.state) {
            Some(view::GroupState::Lost) => Condition::Lost,
            None | Some(view::GroupState::Suspended) => Condition::Unavailable,
            Some(_) => Condition::Intact,
        }
    }

    /// Notifies the leader that an upstream may be stalled.
    fn mark_suspected(&mut self, instance: &name::Instance) {
        let Some(target) = self.targets.get_mut(instance) else { return };
        if !std::mem::replace(&mut target.suspected, true) {
            self.report_evidence();
        }
    }

    /// Records that an upstream is stalled, and notifies the leader at once.
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

    /// Moves a request to another upstream if one has capacity and a retry is allowed. Otherwise it waits,
    /// or ends if its upstream is known to be gone.
    fn move_elsewhere(&mut self, number: u64, moved: notice::Notice, cause: ending::Cause) {
        let now = self.now;
        let runs = self.requests.get(&number).map_or(0, |request| request.possible_runs);
        self.count_possible_run(number);
        let can_move =
            self.has_alternative(number) && self.try_retry(number, retry_budget::Priority::High);
        let evidence_age = self.evidence_age(number);
        if !can_move {
            let is_lost = cause == ending::Cause::LostGroup;
            let silence = self.requests.get(&number).and_then(|request| request.silence(now));
            let is_overdue = silence.is_some_and(|silence| silence >= MAX_LOST_GROUP_WAIT);
            if is_lost && (is_overdue || !self.has_attempts_left(number)) {
                self.record_ending(number, cause, evidence_age);
                self.drop_attempt(number);
                return self.end_without_response(number, action::Reason::Failed, Duration::ZERO);
            }
            if let Some(request) = self.requests.get_mut(&number) {
                request.possible_runs = runs;
            }
            // A group that gets no new requests is seldom the first to send bytes again.
            let wait = match cause {
                ending::Cause::Silence => target::STREAM_STALL_TIMEOUT,
                _ => target::CHECK_INTERVAL,
            };
            return self.decide(number, action::Decision::Wait(wait));
        }
        self.log(moved);
        let request = self.requests.get(&number);
        if let Some(request) = request.filter(|_| cause == ending::Cause::Silence) {
            self.move_buckets.entry(request.pool.clone()).or_default().take_token();
        }
        if let Some(target) = self.target_of(number) {
            target.health.on_failure(target.last_bytes_at);
        }
        self.record_ending(number, cause, evidence_age);
        if cause != ending::Cause::LostGroup {
            self.record_interruption(number);
        }
        self.drop_attempt(number);
        self.dispatch(number, true);
    }

    /// Time for which this entry has known that the attempt's group is lost, suspended or missing.
    fn evidence_age(&self, number: u64) -> Duration {
        let attempt = self.requests.get(&number).and_then(|request| request.attempt.as_ref());
        let epoch = attempt.map_or(0, |attempt| attempt.incarnation.epoch);
        let since = self.unavailable_since.get(&epoch);
        since.map_or(Duration::ZERO, |since| self.now.since(*since))
    }

    /// Whether an upstream other than the current one has capacity for the request.
    fn has_alternative(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let Some(attempt) = &request.attempt else { return false };
        let mut excluded = request.excluded.clone();
        excluded.push(attempt.instance.clone());
        let query = selection::Query {
            pool: &request.pool,
            model: request.model.as_ref(),
            zone: &self.settings.zone,
            excluded: &excluded,
            priority: selection::Priority::Retry,
            forecast: self.forecast(request),
            reserve: 0.0,
        };
        let constraints = self.constraints(request);
        matches!(
            selection::select(self.now, &self.targets, query, constraints),
            selection::Selection::Selected(_)
        )
    }
}

/// Longest time without bytes for all requests of the upstream, and for this one.
fn idle_limits(request: &request::Request, attempt: &request::Attempt) -> (Duration, Duration) {
    let overdue = (request.objective * OVERDUE_FACTOR).max(MIN_OVERDUE_TIMEOUT);
    match (request.repetition.streams(), attempt.last_bytes_at) {
        (true, Some(_)) => (target::STREAM_STALL_TIMEOUT, MAX_STREAM_PAUSE),
        (true, None) => (target::FIRST_EVENT_TIMEOUT, overdue.max(target::FIRST_EVENT_TIMEOUT)),
        (false, _) => (overdue, overdue),
    }
}

/// Idle timeout of a new attempt. One at a group is looked at early, because the leader may know that
/// the group is lost.
pub(super) fn initial_idle_timeout(request: &request::Request, is_at_group: bool) -> Duration {
    let overdue = (request.objective * OVERDUE_FACTOR).max(MIN_OVERDUE_TIMEOUT);
    let is_early = request.repetition.streams() || is_at_group;
    if is_early { target::SUSPECT_TIMEOUT } else { overdue }
}
