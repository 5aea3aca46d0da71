//! Claims on non-repeatable work: asked for before the work is sent, recorded before the caller
//! gets its answer, resolved in the background where the caller doesn't wait any more.

use crate::{action, core, notice, request};
use bytes::Bytes;
use hyssopfork_wire::{claim, clock, control, frame, refusal, timing};
use std::time::Duration;

/// Time after which an unanswered call is made again.
const CALL_TIMEOUT: Duration = timing::RENEWAL_INTERVAL;

/// Time before a call that failed is made again.
const RETRY: Duration = Duration::from_millis(50);

/// Time after its deadline that a request's claim is tried to be resolved. After that control
/// itself counts the outcome as unknown, which is true.
const RESOLVE_LIMIT: Duration = Duration::from_secs(60);

/// Header of a recorded answer whose body was too long to keep, with its length.
const UNKEPT: &str = "hyssopfork-unkept-length";

impl core::Core {
    /// Asks for a claim on a request that has just been accepted.
    pub(crate) fn claim(&mut self, now: clock::Instant, number: u64) {
        let identifier = self.attempts.draw();
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(text) = request.arrival.key.clone() else { return };
        let team = request.plan.team.clone();
        let route = request.plan.route.clone();
        request.phase = request::Phase::Claiming;
        request.next = Some(identifier);
        request.claim = Some(request::Claim {
            key: claim::Key { team, route, text },
            identifier,
            hold: request::Hold::Asking,
            call: None,
            ask_at: now,
        });
        self.claiming.insert(number);
    }

    /// Makes the calls that are due.
    pub(crate) fn ask_claims(&mut self, now: clock::Instant) {
        let numbers: Vec<u64> = self.claiming.iter().copied().collect();
        for number in numbers {
            self.ask_claim(now, number);
        }
    }

    fn ask_claim(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let deadline = request.deadline;
        let over = request.caller == request::Caller::Done;
        let Some(claim) = request.claim.as_mut() else { return };
        if over && claim.call.is_none() && now.since(deadline) >= RESOLVE_LIMIT {
            claim.hold = request::Hold::Settled;
            self.clear(now, number);
            return;
        }
        if now < claim.ask_at {
            return;
        }
        let digest = request.arrival.digest;
        let Some(body) = call_body(claim, digest) else { return };
        let Some(to) = self.watcher.target() else { return };
        let call = self.watcher.next_call();
        // A shell that loses a call must not stop the claim: an overdue one is made again.
        if let Some(overdue) = claim.call.replace(call) {
            self.claim_calls.remove(&overdue);
        }
        claim.ask_at = now + CALL_TIMEOUT * 2;
        self.claim_calls.insert(call, core::ClaimCall { request: number, to });
        let request = Box::new(body);
        let timeout = CALL_TIMEOUT;
        self.actions.push(action::Action::Control { call, to, request, timeout });
    }

    /// Control answered a call.
    pub(crate) fn claim_answered(
        &mut self,
        now: clock::Instant,
        call: core::ClaimCall,
        response: Option<control::Response>,
    ) {
        let Some(request) = self.requests.get_mut(&call.request) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        claim.call = None;
        claim.ask_at = now + RETRY;
        match (claim.hold.clone(), response) {
            (
                request::Hold::Asking | request::Hold::Renouncing,
                Some(control::Response::Claimed(reply)),
            ) => self.claimed(now, call.request, reply),
            (request::Hold::Recording(_), Some(control::Response::Recorded)) => {
                self.recorded(now, call.request);
            }
            (hold, response) => self.claim_failed(call, &hold, response.as_ref()),
        }
    }

    /// The whole answer of claimed work is here: it is recorded before the caller gets it, so
    /// that whoever asks with the key later gets the same.
    pub(crate) fn record_answer(
        &mut self,
        now: clock::Instant,
        number: u64,
        head: frame::Head,
        body: Bytes,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Recording;
        request.may_have_run = true;
        request.deadline = request.deadline.max(now + CALL_TIMEOUT * 4);
        let outcome = outcome(&head, &body);
        request.answer = Some(request::Answer { head, body });
        self.record(now, number, outcome);
    }

    /// Settles what becomes of the claim of a request whose caller no longer waits.
    pub(crate) fn release(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let may_have_run = request.may_have_run;
        let in_flight = !request.attempts.is_empty();
        if request.phase != request::Phase::Recording {
            request.phase = request::Phase::Over;
        }
        let Some(claim) = request.claim.as_mut() else { return };
        match claim.hold {
            request::Hold::Asking => claim.hold = request::Hold::Renouncing,
            request::Hold::Held if !in_flight && may_have_run => {
                let identifier = claim.identifier;
                self.note(notice::Notice::OutcomeUnknown(identifier));
                self.record(now, number, claim::Outcome::Unknown);
            }
            request::Hold::Held if !in_flight => {
                self.record(now, number, claim::Outcome::NotRun);
            }
            request::Hold::Held
            | request::Hold::Renouncing
            | request::Hold::Recording(_)
            | request::Hold::Settled => {}
        }
    }

    fn record(&mut self, now: clock::Instant, number: u64, outcome: claim::Outcome) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        claim.hold = request::Hold::Recording(outcome);
        claim.ask_at = now;
        self.claiming.insert(number);
    }

    fn claimed(&mut self, now: clock::Instant, number: u64, reply: claim::Reply) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(claim) = request.claim.as_mut() else { return };
        let renounced = claim.hold == request::Hold::Renouncing;
        if reply == claim::Reply::Granted {
            claim.hold = request::Hold::Held;
            if renounced {
                self.record(now, number, claim::Outcome::NotRun);
            } else {
                self.enqueue(now, number);
            }
            return;
        }
        claim.hold = request::Hold::Settled;
        if request.caller != request::Caller::Done {
            self.answer_claim(now, number, reply);
        }
        self.clear(now, number);
    }

    /// Answers a caller whose work is not this request's to do.
    fn answer_claim(&mut self, now: clock::Instant, number: u64, reply: claim::Reply) {
        let soon = Some(core::SOON);
        let refusal = match reply {
            claim::Reply::Done(claim::Outcome::Answered { head, body }) => {
                if is_kept(&head) {
                    self.replay(now, number, head, Bytes::from(body));
                    return;
                }
                refusal::Refusal::may_have_run(refusal::Reason::OutcomeUnknown, None)
            }
            claim::Reply::Done(claim::Outcome::Unknown) => {
                refusal::Refusal::may_have_run(refusal::Reason::OutcomeUnknown, None)
            }
            claim::Reply::InProgress => {
                refusal::Refusal::may_have_run(refusal::Reason::InProgress, soon)
            }
            claim::Reply::DigestDiffers => {
                refusal::Refusal::not_run(refusal::Reason::KeyReused, None)
            }
            claim::Reply::Full => refusal::Refusal::not_run(refusal::Reason::Overloaded, soon),
            claim::Reply::Done(claim::Outcome::NotRun) | claim::Reply::Granted => {
                refusal::Refusal::not_run(refusal::Reason::Cancelled, soon)
            }
        };
        self.refuse(now, number, refusal);
    }

    fn recorded(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if let Some(claim) = request.claim.as_mut() {
            claim.hold = request::Hold::Settled;
        }
        request.phase = request::Phase::Over;
        let answer = request.answer.take();
        if request.caller == request::Caller::Waiting
            && let Some(answer) = answer
        {
            self.replay(now, number, answer.head, answer.body);
        }
        self.clear(now, number);
    }

    fn replay(&mut self, now: clock::Instant, number: u64, head: frame::Head, body: Bytes) {
        self.actions.push(action::Action::Answer { request: number, head, body });
        self.answered(now, number);
    }

    fn claim_failed(
        &mut self,
        call: core::ClaimCall,
        hold: &request::Hold,
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
        if matches!(hold, request::Hold::Recording(_)) {
            self.note(notice::Notice::RecordAgain(identifier));
        } else {
            self.note(notice::Notice::ClaimAgain(identifier));
        }
    }
}

fn call_body(claim: &request::Claim, digest: [u8; 32]) -> Option<control::Request> {
    let key = claim.key.clone();
    match &claim.hold {
        request::Hold::Asking | request::Hold::Renouncing => {
            let attempt = claim.identifier;
            Some(control::Request::Claim(claim::Claim { key, digest, attempt }))
        }
        request::Hold::Recording(outcome) => {
            Some(control::Request::Record(key, claim.identifier, outcome.clone()))
        }
        request::Hold::Held | request::Hold::Settled => None,
    }
}

/// What is recorded of an answer. One too long to keep is recorded as run without its body, and
/// marked, so that nobody takes the empty body for the whole answer.
fn outcome(head: &frame::Head, body: &Bytes) -> claim::Outcome {
    if body.len() <= claim::MAX_BODY_BYTES {
        return claim::Outcome::Answered { head: head.clone(), body: body.to_vec() };
    }
    let mut head = head.clone();
    head.headers.push((UNKEPT.to_owned(), body.len().to_string()));
    claim::Outcome::Answered { head, body: Vec::new() }
}

fn is_kept(head: &frame::Head) -> bool {
    head.headers.iter().all(|(name, _)| name != UNKEPT)
}
