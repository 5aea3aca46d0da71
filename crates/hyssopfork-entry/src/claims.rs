//! Claims: idempotency of non-repeatable work by its key.
//!
//! A claim is requested from control before the work is sent, and its outcome is recorded before
//! the client gets the response. When the client no longer waits, the claim is resolved in the
//! background.

use crate::{action, core, notice, request};
use bytes::Bytes;
use hyssopfork_wire::{claim, clock, control, frame, refusal, timing};
use std::time::Duration;

/// Time after which an unanswered call to control counts as failed.
const CLAIM_CALL_TIMEOUT: Duration = timing::RENEWAL_INTERVAL;

/// Time before a failed call is repeated.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the deadline of a request during which the entry tries to resolve its claim. Later
/// control itself treats the outcome as unknown, which is correct.
const CLAIM_RESOLUTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Header of a recorded response whose body was too long to keep; its value is the length.
const OMITTED_BODY_LENGTH_HEADER: &str = "hyssopfork-unkept-length";

impl core::Core {
    /// Requests a claim for a request that has just been accepted.
    pub(crate) fn request_claim(&mut self, now: clock::Instant, number: u64) {
        let identifier = self.attempts.next_identifier();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(text) = request.arrival.idempotency_key.clone() else { return };
        let team = request.routing.team.clone();
        let route = request.routing.route.clone();
        request.phase = request::Phase::Claiming;
        request.next_identifier = Some(identifier);
        request.claim = Some(request::Claim {
            key: claim::Key { team, route, text },
            identifier,
            state: request::ClaimState::Requested,
            call: None,
            next_call_at: now,
        });
        self.active_claims.insert(number);
    }

    /// Sends the calls to control that are due.
    pub(crate) fn send_due_claim_calls(&mut self, now: clock::Instant) {
        let numbers: Vec<u64> = self.active_claims.iter().copied().collect();
        for number in numbers {
            self.send_claim_call_if_due(now, number);
        }
    }

    fn send_claim_call_if_due(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let deadline = request.deadline;
        let client_done = request.client == request::Client::Done;
        let Some(claim) = request.claim.as_mut() else { return };
        if client_done && claim.call.is_none() && now.since(deadline) >= CLAIM_RESOLUTION_TIMEOUT {
            claim.state = request::ClaimState::Settled;
            self.remove_if_finished(now, number);
            return;
        }
        if now < claim.next_call_at {
            return;
        }
        let digest = request.arrival.digest;
        let Some(body) = control_request(claim, digest) else { return };
        let Some(to) = self.watcher.target() else { return };
        let call = self.watcher.next_call();
        // A call that the shell lost must not block the claim, so an overdue call is repeated.
        if let Some(overdue) = claim.call.replace(call) {
            self.claim_calls.remove(&overdue);
        }
        claim.next_call_at = now + CLAIM_CALL_TIMEOUT * 2;
        self.claim_calls.insert(call, core::ClaimCall { request: number, to });
        let request = Box::new(body);
        let timeout = CLAIM_CALL_TIMEOUT;
        self.actions.push(action::Action::CallControl { call, to, request, timeout });
    }

    /// Handles the response to a call about a claim.
    pub(crate) fn on_claim_response(
        &mut self,
        now: clock::Instant,
        call: core::ClaimCall,
        response: Option<control::Response>,
    ) {
        let Some(request) = self.requests.get_mut(&call.request) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        claim.call = None;
        claim.next_call_at = now + CLAIM_RETRY_INTERVAL;
        match (claim.state.clone(), response) {
            (
                request::ClaimState::Requested | request::ClaimState::Abandoned,
                Some(control::Response::Claimed(reply)),
            ) => self.on_claim_reply(now, call.request, reply),
            (request::ClaimState::Recording(_), Some(control::Response::Recorded)) => {
                self.on_outcome_recorded(now, call.request);
            }
            (state, response) => self.on_claim_call_failed(call, &state, response.as_ref()),
        }
    }

    /// Records the complete response of claimed work before the client gets it, so that a later
    /// request with the same key gets the same response.
    pub(crate) fn record_response(
        &mut self,
        now: clock::Instant,
        number: u64,
        head: frame::Head,
        body: Bytes,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Recording;
        request.may_have_run = true;
        request.deadline = request.deadline.max(now + CLAIM_CALL_TIMEOUT * 4);
        let outcome = recorded_outcome(&head, &body);
        request.response = Some(request::Response { head, body });
        self.record_outcome(now, number, outcome);
    }

    /// Resolves the claim of a request whose client no longer waits.
    pub(crate) fn release_claim(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let may_have_run = request.may_have_run;
        let in_flight = !request.attempts.is_empty();
        if request.phase != request::Phase::Recording {
            request.phase = request::Phase::Finished;
        }
        let Some(claim) = request.claim.as_mut() else { return };
        match claim.state {
            request::ClaimState::Requested => claim.state = request::ClaimState::Abandoned,
            request::ClaimState::Granted if !in_flight && may_have_run => {
                let identifier = claim.identifier;
                self.log_notice(notice::Notice::OutcomeUnknown(identifier));
                self.record_outcome(now, number, claim::Outcome::Unknown);
            }
            request::ClaimState::Granted if !in_flight => {
                self.record_outcome(now, number, claim::Outcome::NotRun);
            }
            request::ClaimState::Granted
            | request::ClaimState::Abandoned
            | request::ClaimState::Recording(_)
            | request::ClaimState::Settled => {}
        }
    }

    fn record_outcome(&mut self, now: clock::Instant, number: u64, outcome: claim::Outcome) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        claim.state = request::ClaimState::Recording(outcome);
        claim.next_call_at = now;
        self.active_claims.insert(number);
    }

    fn on_claim_reply(&mut self, now: clock::Instant, number: u64, reply: claim::Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        let abandoned = claim.state == request::ClaimState::Abandoned;
        if reply == claim::Reply::Granted {
            claim.state = request::ClaimState::Granted;
            if abandoned {
                self.record_outcome(now, number, claim::Outcome::NotRun);
            } else {
                self.enqueue(now, number);
            }
            return;
        }
        claim.state = request::ClaimState::Settled;
        if request.client != request::Client::Done {
            self.respond_without_claim(now, number, reply);
        }
        self.remove_if_finished(now, number);
    }

    /// Responds to a client whose request was not granted the claim.
    fn respond_without_claim(&mut self, now: clock::Instant, number: u64, reply: claim::Reply) {
        let retry_after = Some(core::RETRY_AFTER);
        let refusal = match reply {
            claim::Reply::Done(claim::Outcome::Answered { head, body }) => {
                if has_recorded_body(&head) {
                    self.send_response(now, number, head, Bytes::from(body));
                    return;
                }
                refusal::Refusal::may_have_run(refusal::Reason::OutcomeUnknown, None)
            }
            claim::Reply::Done(claim::Outcome::Unknown) => {
                refusal::Refusal::may_have_run(refusal::Reason::OutcomeUnknown, None)
            }
            claim::Reply::InProgress => {
                refusal::Refusal::may_have_run(refusal::Reason::InProgress, retry_after)
            }
            claim::Reply::DigestDiffers => {
                refusal::Refusal::not_run(refusal::Reason::KeyReused, None)
            }
            claim::Reply::Full => {
                refusal::Refusal::not_run(refusal::Reason::Overloaded, retry_after)
            }
            claim::Reply::Done(claim::Outcome::NotRun) | claim::Reply::Granted => {
                refusal::Refusal::not_run(refusal::Reason::Cancelled, retry_after)
            }
        };
        self.send_rejection(now, number, refusal);
    }

    fn on_outcome_recorded(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(claim) = request.claim.as_mut() {
            claim.state = request::ClaimState::Settled;
        }
        request.phase = request::Phase::Finished;
        let response = request.response.take();
        if request.client == request::Client::Waiting
            && let Some(response) = response
        {
            self.send_response(now, number, response.head, response.body);
        }
        self.remove_if_finished(now, number);
    }

    fn send_response(&mut self, now: clock::Instant, number: u64, head: frame::Head, body: Bytes) {
        self.actions.push(action::Action::Respond { request: number, head, body });
        self.complete_request(now, number);
    }

    fn on_claim_call_failed(
        &mut self,
        call: core::ClaimCall,
        state: &request::ClaimState,
        response: Option<&control::Response>,
    ) {
        match response {
            Some(control::Response::NotLeader(hint)) => self.watcher.on_not_leader(call.to, *hint),
            Some(control::Response::Unknown) => {}
            _ => self.watcher.on_call_failed(call.to),
        }
        let Some(request) = self.requests.get(&call.request) else { return };
        let Some(claim) = request.claim.as_ref() else { return };
        let identifier = claim.identifier;
        if matches!(state, request::ClaimState::Recording(_)) {
            self.log_notice(notice::Notice::RecordAgain(identifier));
        } else {
            self.log_notice(notice::Notice::ClaimAgain(identifier));
        }
    }
}

fn control_request(claim: &request::Claim, digest: [u8; 32]) -> Option<control::Request> {
    let key = claim.key.clone();
    match &claim.state {
        request::ClaimState::Requested | request::ClaimState::Abandoned => {
            let attempt = claim.identifier;
            Some(control::Request::Claim(claim::Claim { key, digest, attempt }))
        }
        request::ClaimState::Recording(outcome) => {
            Some(control::Request::Record(key, claim.identifier, outcome.clone()))
        }
        request::ClaimState::Granted | request::ClaimState::Settled => None,
    }
}

/// Outcome to record for a response. A response that is too long is recorded without its body and
/// marked, so that the empty body is not taken for the complete one.
fn recorded_outcome(head: &frame::Head, body: &Bytes) -> claim::Outcome {
    if body.len() <= claim::MAX_BODY_BYTES {
        return claim::Outcome::Answered { head: head.clone(), body: body.to_vec() };
    }
    let mut head = head.clone();
    head.headers.push((OMITTED_BODY_LENGTH_HEADER.to_owned(), body.len().to_string()));
    claim::Outcome::Answered { head, body: Vec::new() }
}

fn has_recorded_body(head: &frame::Head) -> bool {
    head.headers.iter().all(|(name, _)| name != OMITTED_BODY_LENGTH_HEADER)
}
