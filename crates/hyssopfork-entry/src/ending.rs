//! Endings: each caller gets exactly one final answer.

use crate::{action, attempt, core, measure, notice, request};
use hyssopfork_policy::choice;
use hyssopfork_wire::{attempt as wire, clock, refusal};

impl core::Core {
    /// Gives up what is past its deadline.
    pub(crate) fn expire(&mut self, now: clock::Instant) {
        let overdue: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline && self.has_not_begun(request))
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            let reason = self.overdue_reason(number);
            self.give_up(now, number, reason);
        }
    }

    fn overdue_reason(&mut self, number: u64) -> refusal::Reason {
        let waits = |request: &request::Request| request.phase == request::Phase::Waiting;
        let waiting = self.requests.get(&number).is_some_and(waits);
        let empty = self.pool_of(number).is_some_and(|pool| pool.is_empty());
        if waiting && empty { refusal::Reason::NoUpstream } else { refusal::Reason::Deadline }
    }

    /// The caller went away. Claimed work that was sent goes on, so that its outcome is known
    /// when the caller comes back with the same key.
    pub(crate) fn gone(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.caller == request::Caller::Done {
            return;
        }
        let claimed = request.claim.is_some();
        self.conclude(now, number, measure::Outcome::Gone);
        if !claimed {
            self.drop_attempts(now, number);
        }
        self.release(now, number);
        self.clear(now, number);
    }

    /// Gives the request up with its final answer at once, and cancels what is in flight beside
    /// it: waiting for the cancel's answer would hold the caller back for the sake of a word.
    pub(crate) fn give_up(&mut self, now: clock::Instant, number: u64, reason: refusal::Reason) {
        let Some(request) = self.requests.get(&number) else { return };
        let sent = request.may_have_run || !request.attempts.is_empty();
        if request.caller != request::Caller::Done {
            let refusal = self.final_refusal(request, reason, sent);
            self.refuse(now, number, refusal);
        }
        self.abandon(now, number);
        self.release(now, number);
        self.clear(now, number);
    }

    /// Gives the request up before anything of it was sent, with a refusal that the queue gave.
    pub(crate) fn turn_back(
        &mut self,
        now: clock::Instant,
        number: u64,
        refusal: refusal::Refusal,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.last = Some(refusal);
        self.give_up(now, number, refusal.reason);
    }

    /// The whole answer went to the caller.
    pub(crate) fn answered(&mut self, now: clock::Instant, number: u64) {
        self.conclude(now, number, measure::Outcome::Answered);
        self.drop_attempts(now, number);
        self.clear(now, number);
    }

    /// Refuses, or cuts the answer where a part has gone out.
    pub(crate) fn refuse(&mut self, now: clock::Instant, number: u64, refusal: refusal::Refusal) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.caller == request::Caller::Reading {
            self.actions.push(action::Action::Cut { request: number, refusal });
            self.note(notice::Notice::Cut(number));
            self.conclude(now, number, measure::Outcome::Cut(refusal.reason));
        } else {
            self.actions.push(action::Action::Refuse { request: number, refusal });
            self.note(notice::Notice::Refused(number, refusal));
            let outcome = measure::Outcome::Refused(refusal.reason, refusal.ran);
            self.conclude(now, number, outcome);
        }
    }

    /// Notes that the caller has its final answer.
    pub(crate) fn conclude(&mut self, now: clock::Instant, number: u64, outcome: measure::Outcome) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        assert_ne!(request.caller, request::Caller::Done, "one final answer to each caller");
        request.caller = request::Caller::Done;
        let measure = request.measure(now, outcome);
        self.actions.push(action::Action::Measure(measure));
    }

    /// Forgets a request for which nothing is left to do.
    pub(crate) fn clear(&mut self, now: clock::Instant, number: u64) {
        if self.requests.get(&number).is_some_and(request::Request::is_over) {
            if let Some(pool) = self.pool_of(number) {
                pool.queue.remove(number);
                pool.queue.on_request_ended(now, number);
            }
            self.requests.remove(&number);
            self.claiming.remove(&number);
        }
    }

    /// Sends a cancel.
    pub(crate) fn cancel(&mut self, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get_mut(identifier) else { return };
        if attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        let place = &attempt.place;
        let (to, boot) = (place.traffic, place.boot);
        self.actions.push(action::Action::Cancel { attempt: identifier, to, boot });
    }

    /// Cancels an attempt and takes it out of flight.
    pub(crate) fn cancel_and_drop(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        self.cancel(identifier);
        self.actions.push(action::Action::Drop(identifier));
        self.land(now, identifier, choice::Outcome::Cancelled);
    }

    fn has_not_begun(&self, request: &request::Request) -> bool {
        let begun = |identifier: &wire::Identifier| {
            let attempt = self.attempts.get(*identifier);
            attempt.is_some_and(|attempt| {
                matches!(attempt.state, attempt::State::Headed | attempt::State::Forwarding)
            })
        };
        request.caller != request::Caller::Done
            && match request.phase {
                request::Phase::Claiming | request::Phase::Waiting => true,
                request::Phase::Running => !request.attempts.iter().any(begun),
                request::Phase::Recording => true,
                request::Phase::Over => false,
            }
    }

    /// `NotRun` is said only when it is certain: nothing is in flight, and every attempt before
    /// never reached its agent or was refused by it as not run.
    fn final_refusal(
        &self,
        request: &request::Request,
        reason: refusal::Reason,
        sent: bool,
    ) -> refusal::Refusal {
        let after = request.last.and_then(|last| last.retry_after).or(Some(core::SOON));
        if !sent {
            return refusal::Refusal::not_run(reason, after);
        }
        let repeats = request.plan.repeatable || request.claim.is_some();
        let after = after.filter(|_| repeats);
        let reason = if request.claim.is_some() { refusal::Reason::OutcomeUnknown } else { reason };
        refusal::Refusal::may_have_run(reason, after)
    }

    /// Stops caring for the attempts of a request that was given up. Claimed work is watched to
    /// its end, and cancelled only while it hasn't been heard to have started: a cancel that
    /// stops it halfway would leave an outcome that nobody knows.
    fn abandon(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.claim.is_none() {
            self.drop_attempts(now, number);
            return;
        }
        for identifier in request.attempts.clone() {
            let offered = |attempt: &attempt::Attempt| attempt.state == attempt::State::Offered;
            if self.attempts.get(identifier).is_some_and(offered) {
                self.cancel(identifier);
            }
        }
    }

    fn drop_attempts(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Over;
        for identifier in request.attempts.clone() {
            self.cancel_and_drop(now, identifier);
        }
    }
}
