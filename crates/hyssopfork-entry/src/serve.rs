//! Attempts of a request: answered, refused, tried elsewhere, resumed.

use crate::{action, attempt, core, event, notice, pool, request};
use bytes::Bytes;
use hyssopfork_policy::{choice, retry};
use hyssopfork_wire::{attempt as wire, clock, frame, refusal};
use std::time::Duration;

/// Attempts that one request may take, over all upstreams.
const TRIES: u32 = 16;

/// Time that an interrupted stream may take to go on from another upstream.
const RESUME_LIMIT: Duration = Duration::from_millis(5_000);

impl core::Core {
    /// The agent told its load.
    pub(crate) fn loaded(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        load: frame::Load,
    ) {
        self.watcher.on_version_seen(load.version);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let place = attempt.place.clone();
        let Some(pool) = self.pool_of(attempt.request) else { return };
        // A report of another process or placement says nothing of the one there now.
        if pool.place(&place.instance) == Some(&place) {
            pool.chooser.on_load_report(now, &place.instance, load);
        }
    }

    /// The agent handed the attempt to the upstream.
    pub(crate) fn started(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        self.heard(now, identifier);
        if let Some(attempt) = self.attempts.get_mut(identifier)
            && attempt.state == attempt::State::Offered
        {
            attempt.turn(attempt::State::Started);
        }
    }

    /// The answer's head came.
    pub(crate) fn headed(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        head: &frame::Head,
    ) {
        self.heard(now, identifier);
        let Some(attempt) = self.attempts.get_mut(identifier) else { return };
        if !matches!(attempt.state, attempt::State::Offered | attempt::State::Started) {
            return;
        }
        attempt.turn(attempt::State::Headed);
        let number = attempt.request;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.claim.is_some() {
            return;
        }
        let streams = is_stream(head);
        if request.caller == request::Caller::Reading && !streams {
            // An upstream that answers a resumed stream with anything else would be glued to
            // what the caller already has.
            self.give_up(now, number, refusal::Reason::UpstreamFailed);
            return;
        }
        request.streams = streams;
        request.caller = request::Caller::Reading;
        self.forward(now, number, identifier);
    }

    fn forward(&mut self, now: clock::Instant, number: u64, identifier: wire::Identifier) {
        if let Some(attempt) = self.attempts.get_mut(identifier) {
            attempt.turn(attempt::State::Forwarding);
        }
        self.actions.push(action::Action::Forward { request: number, attempt: identifier });
        let others: Vec<_> = self
            .requests
            .get(&number)
            .into_iter()
            .flat_map(|request| request.attempts.iter().copied())
            .filter(|other| *other != identifier)
            .collect();
        others.into_iter().for_each(|other| self.cancel_and_drop(now, other));
    }

    /// The first part of the answer's body came.
    pub(crate) fn begun(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        self.heard(now, identifier);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let (number, elapsed) = (attempt.request, now.since(attempt.sent));
        if let Some(pool) = self.pool_of(number) {
            pool.chooser.on_response_started(now, identifier);
        }
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.begun.is_some() {
            return;
        }
        request.begun = Some(now);
        let class = request.plan.class;
        let Some(pool) = self.pool_of(number) else { return };
        pool.queue.on_response_started(now, number);
        pool.hedge(class).record_start_latency(elapsed);
    }

    /// Events of the stream were delivered.
    pub(crate) fn delivered(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        events: u64,
    ) {
        self.heard(now, identifier);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if attempt.state != attempt::State::Forwarding {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.delivered = request.delivered.max(Some(events));
        }
    }

    /// The whole answer was forwarded.
    pub(crate) fn ended(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if attempt.state != attempt::State::Forwarding {
            return;
        }
        if let Some(number) = self.land(now, identifier, choice::Outcome::Completed) {
            self.answered(now, number);
        }
    }

    /// The whole answer of a collected attempt is here.
    pub(crate) fn collected(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        head: frame::Head,
        body: Bytes,
    ) {
        let collects = |request: &request::Request| request.claim.is_some();
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if !self.requests.get(&attempt.request).is_some_and(collects) {
            return;
        }
        if let Some(number) = self.land(now, identifier, choice::Outcome::Completed) {
            self.record_answer(now, number, head, body);
        }
    }

    /// The agent or upstream refused.
    pub(crate) fn refused(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        refusal: refusal::Refusal,
    ) {
        let outcome = match refusal.ran {
            refusal::Ran::NotRun => choice::Outcome::Rejected(refusal.reason),
            refusal::Ran::MayHaveRun => choice::Outcome::Failed,
        };
        let Some(number) = self.land(now, identifier, outcome) else { return };
        self.note(notice::Notice::AttemptRefused(identifier, refusal));
        self.lost(now, number, refusal);
    }

    /// The attempt ended without a whole answer or a refusal.
    pub(crate) fn failed(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        fault: event::Fault,
        delivered: u64,
    ) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let forwarding = attempt.state == attempt::State::Forwarding;
        let offered = attempt.state == attempt::State::Offered;
        self.note(notice::Notice::AttemptFailed(identifier, fault));
        let unsent = fault == event::Fault::Unreachable && offered;
        if !unsent {
            // The work may still run where the answer can't be had from.
            self.cancel(identifier);
        }
        let Some(number) = self.land(now, identifier, choice::Outcome::Failed) else { return };
        let Some(request) = self.requests.get_mut(&number) else { return };
        if forwarding {
            request.delivered = request.delivered.max(Some(delivered));
        }
        let reason = refusal::Reason::UpstreamFailed;
        let refusal = if unsent {
            refusal::Refusal::not_run(reason, Some(core::SOON))
        } else {
            refusal::Refusal::may_have_run(reason, None)
        };
        self.lost(now, number, refusal);
    }

    /// A cancel was answered. It counts only for an attempt that is still in flight, one of
    /// claimed work whose caller has been answered.
    pub(crate) fn cancel_answered(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        outcome: Option<wire::Cancelled>,
    ) {
        let reason = refusal::Reason::Cancelled;
        let refusal = match outcome {
            Some(wire::Cancelled::NeverStarted) => refusal::Refusal::not_run(reason, None),
            Some(wire::Cancelled::Unknown) => refusal::Refusal::may_have_run(reason, None),
            // The answer, or its failure, still comes on the attempt's own connection.
            Some(wire::Cancelled::Started | wire::Cancelled::Finished) | None => return,
        };
        let cancelled = |attempt: &attempt::Attempt| attempt.cancelled;
        if self.attempts.get(identifier).is_some_and(cancelled) {
            self.actions.push(action::Action::Drop(identifier));
            self.refused(now, identifier, refusal);
        }
    }

    /// Takes an attempt out of flight; the request it was for.
    pub(crate) fn land(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        outcome: choice::Outcome,
    ) -> Option<u64> {
        let attempt = self.attempts.remove(identifier)?;
        let number = attempt.request;
        if let Some(pool) = self.pool_of(number) {
            pool.chooser.on_attempt_ended(now, identifier, outcome);
        }
        let request = self.requests.get_mut(&number)?;
        request.attempts.retain(|other| *other != identifier);
        Some(number)
    }

    fn heard(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if let Some(pool) = self.pool_of(attempt.request) {
            pool.chooser.on_response_data(now, identifier);
        }
    }

    pub(crate) fn pool_of(&mut self, number: u64) -> Option<&mut pool::Pool> {
        let request = self.requests.get(&number)?;
        self.pools.get_mut(&request.plan.pool)
    }

    /// An attempt came to nothing: the request is tried elsewhere, goes on with its other
    /// attempt, or ends.
    fn lost(&mut self, now: clock::Instant, number: u64, refusal: refusal::Refusal) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.may_have_run |= refusal.ran == refusal::Ran::MayHaveRun;
        request.last = Some(refusal);
        if !request.attempts.is_empty() {
            return;
        }
        let may = may_try_again(request, refusal) && now < limit(now, request);
        let (repeatable, ran) = (request.plan.repeatable, ran(request));
        // A refusal for want of room cost the upstream nothing, and the queue holds the request
        // until there is room: it spends nothing from the budget.
        let free = matches!(refusal.reason, refusal::Reason::Overloaded | refusal::Reason::Cold);
        let allowed = may
            && self.pool_of(number).is_some_and(|pool| match free {
                true => retry::is_retryable(repeatable, ran),
                false => pool.budget.try_retry(repeatable, ran),
            });
        if allowed {
            self.try_again(now, number);
        } else {
            self.give_up(now, number, refusal.reason);
        }
    }

    fn try_again(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.caller == request::Caller::Reading {
            request.deadline = now + RESUME_LIMIT;
            let delivered = request.delivered.unwrap_or(0);
            self.note(notice::Notice::Resumed(number, delivered));
        }
        self.try_elsewhere(now, number);
    }
}

/// When the request's answer must have begun, or gone on.
fn limit(now: clock::Instant, request: &request::Request) -> clock::Instant {
    match request.caller {
        request::Caller::Reading => now + RESUME_LIMIT,
        request::Caller::Waiting | request::Caller::Done => request.deadline,
    }
}

fn ran(request: &request::Request) -> refusal::Ran {
    if request.may_have_run { refusal::Ran::MayHaveRun } else { refusal::Ran::NotRun }
}

/// Whether the work may be sent once more.
///
/// Work that may not be repeated goes out again only while no attempt of it may have run. A
/// caller that has a part of an answer can only be given the rest of a stream whose delivered
/// events were counted.
fn may_try_again(request: &request::Request, refusal: refusal::Refusal) -> bool {
    let permanent = refusal.reason == refusal::Reason::Malformed;
    let continues = match request.caller {
        request::Caller::Waiting => true,
        request::Caller::Reading => request.streams && request.delivered.is_some(),
        request::Caller::Done => false,
    };
    continues && !permanent && request.tries < TRIES
}

fn is_stream(head: &frame::Head) -> bool {
    let is_event_stream = |(name, value): &(String, String)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    };
    head.status == 200 && head.headers.iter().any(is_event_stream)
}
