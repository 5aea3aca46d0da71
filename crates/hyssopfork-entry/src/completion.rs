//! Completion of requests: each client gets exactly one final response.

use crate::{action, attempt, core, measurement, notice, request};
use hyssopfork_policy::choice;
use hyssopfork_wire::{attempt as wire, clock, refusal};

impl core::Core {
    /// Fails the requests that are past their deadline.
    pub(crate) fn fail_overdue_requests(&mut self, now: clock::Instant) {
        let overdue: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| now >= request.deadline && self.is_awaiting_response(request))
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            let reason = self.expiry_reason(number);
            self.fail_request(now, number, reason);
        }
    }

    fn expiry_reason(&mut self, number: u64) -> refusal::Reason {
        let is_waiting = |request: &request::Request| request.phase == request::Phase::Waiting;
        let waiting = self.requests.get(&number).is_some_and(is_waiting);
        let empty = self.pool_for(number).is_some_and(|pool| pool.is_empty());
        if waiting && empty { refusal::Reason::NoUpstream } else { refusal::Reason::Deadline }
    }

    /// Handles a client that disconnected. Claimed work that was already sent continues, so that
    /// its outcome is known when the client returns with the same key.
    pub(crate) fn on_client_gone(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.client == request::Client::Done {
            return;
        }
        let claimed = request.claim.is_some();
        self.finish_client(now, number, measurement::Outcome::ClientGone);
        if !claimed {
            self.cancel_attempts(now, number);
        }
        self.release_claim(now, number);
        self.remove_if_finished(now, number);
    }

    /// Sends the final rejection at once and cancels the attempts in flight. Waiting for the
    /// responses to the cancels would delay the client only to make its rejection more precise.
    pub(crate) fn fail_request(
        &mut self,
        now: clock::Instant,
        number: u64,
        reason: refusal::Reason,
    ) {
        let Some(request) = self.requests.get(&number) else { return };
        let sent = request.may_have_run || !request.attempts.is_empty();
        if request.client != request::Client::Done {
            let refusal = self.final_rejection(request, reason, sent);
            self.send_rejection(now, number, refusal);
        }
        self.abandon_attempts(now, number);
        self.release_claim(now, number);
        self.remove_if_finished(now, number);
    }

    /// Fails a request of which nothing was sent, with the rejection given by the queue.
    pub(crate) fn reject_queued(
        &mut self,
        now: clock::Instant,
        number: u64,
        refusal: refusal::Refusal,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.last_rejection = Some(refusal);
        self.fail_request(now, number, refusal.reason);
    }

    /// Finishes a request whose complete response went to the client.
    pub(crate) fn complete_request(&mut self, now: clock::Instant, number: u64) {
        self.finish_client(now, number, measurement::Outcome::Completed);
        self.cancel_attempts(now, number);
        self.remove_if_finished(now, number);
    }

    /// Rejects the request, or aborts the response where a part of it was forwarded.
    pub(crate) fn send_rejection(
        &mut self,
        now: clock::Instant,
        number: u64,
        refusal: refusal::Refusal,
    ) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.client == request::Client::Receiving {
            self.actions.push(action::Action::Abort { request: number, refusal });
            self.log_notice(notice::Notice::Cut(number));
            self.finish_client(now, number, measurement::Outcome::Aborted(refusal.reason));
        } else {
            self.actions.push(action::Action::Reject { request: number, refusal });
            self.log_notice(notice::Notice::Refused(number, refusal));
            let outcome = measurement::Outcome::Rejected(refusal.reason, refusal.ran);
            self.finish_client(now, number, outcome);
        }
    }

    /// Marks the client as having its final response and measures the request.
    pub(crate) fn finish_client(
        &mut self,
        now: clock::Instant,
        number: u64,
        outcome: measurement::Outcome,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        assert_ne!(
            request.client,
            request::Client::Done,
            "a client gets exactly one final response"
        );
        request.client = request::Client::Done;
        let measurement = request.measure(now, outcome);
        self.actions.push(action::Action::RecordMeasurement(measurement));
    }

    /// Removes a request for which nothing is left to do.
    pub(crate) fn remove_if_finished(&mut self, now: clock::Instant, number: u64) {
        if self.requests.get(&number).is_some_and(request::Request::is_finished) {
            if let Some(pool) = self.pool_for(number) {
                pool.queue.remove(number);
                pool.queue.on_request_ended(now, number);
            }
            self.requests.remove(&number);
            self.active_claims.remove(&number);
        }
    }

    /// Sends a cancel, once per attempt.
    pub(crate) fn cancel_attempt(&mut self, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get_mut(identifier) else { return };
        if attempt.cancel_sent {
            return;
        }
        attempt.cancel_sent = true;
        let destination = &attempt.destination;
        let (to, boot) = (destination.traffic_address, destination.boot);
        self.actions.push(action::Action::CancelAttempt { attempt: identifier, to, boot });
    }

    /// Cancels an attempt and removes it from those in flight.
    pub(crate) fn cancel_and_drop_attempt(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
    ) {
        self.cancel_attempt(identifier);
        self.actions.push(action::Action::DropAttempt(identifier));
        self.finish_attempt(now, identifier, choice::Outcome::Cancelled);
    }

    fn is_awaiting_response(&self, request: &request::Request) -> bool {
        let has_response = |identifier: &wire::Identifier| {
            let attempt = self.attempts.get(*identifier);
            attempt.is_some_and(|attempt| {
                matches!(attempt.state, attempt::State::HeadReceived | attempt::State::Forwarding)
            })
        };
        request.client != request::Client::Done
            && match request.phase {
                request::Phase::Claiming | request::Phase::Waiting => true,
                request::Phase::InFlight => !request.attempts.iter().any(has_response),
                request::Phase::Recording => true,
                request::Phase::Finished => false,
            }
    }

    /// Builds the final rejection. `NotRun` is claimed only when it is certain: nothing is in
    /// flight, and each earlier attempt either never reached its agent or was rejected by it as not
    /// run.
    fn final_rejection(
        &self,
        request: &request::Request,
        reason: refusal::Reason,
        sent: bool,
    ) -> refusal::Refusal {
        let retry_after =
            request.last_rejection.and_then(|last| last.retry_after).or(Some(core::RETRY_AFTER));
        if !sent {
            return refusal::Refusal::not_run(reason, retry_after);
        }
        let may_repeat = request.routing.repeatable || request.claim.is_some();
        let retry_after = retry_after.filter(|_| may_repeat);
        let reason = if request.claim.is_some() { refusal::Reason::OutcomeUnknown } else { reason };
        refusal::Refusal::may_have_run(reason, retry_after)
    }

    /// Abandons the attempts of a failed request. Claimed work is followed to its end and cancelled
    /// only while its start has not been reported: a cancel that stopped it halfway would leave its
    /// outcome unknown.
    fn abandon_attempts(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.claim.is_none() {
            self.cancel_attempts(now, number);
            return;
        }
        for identifier in request.attempts.clone() {
            let not_started = |attempt: &attempt::Attempt| attempt.state == attempt::State::Offered;
            if self.attempts.get(identifier).is_some_and(not_started) {
                self.cancel_attempt(identifier);
            }
        }
    }

    fn cancel_attempts(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Finished;
        for identifier in request.attempts.clone() {
            self.cancel_and_drop_attempt(now, identifier);
        }
    }
}
