//! Attempts of a request: answered, refused, tried elsewhere, resumed.

use crate::{action, attempt, core, event, notice, pool, request};
use bytes::Bytes;
use hyssopfork_policy::{choice, retry};
use hyssopfork_wire::{attempt as wire, clock, frame, refusal};
use std::time::Duration;

/// Attempts that one request may take, over all upstreams.
const MAX_ATTEMPTS: u32 = 16;

/// Time that an interrupted stream may take to go on from another upstream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(5_000);

impl core::Core {
    /// The agent told its load.
    pub(crate) fn on_load_reported(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        load: frame::Load,
    ) {
        self.watcher.on_version_seen(load.version);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let destination = attempt.destination.clone();
        let Some(pool) = self.pool_for(attempt.request) else { return };
        // A report of another process or placement says nothing of the one there now.
        if pool.destination(&destination.instance) == Some(&destination) {
            pool.chooser.on_load_report(now, &destination.instance, load);
        }
    }

    /// The agent handed the attempt to the upstream.
    pub(crate) fn on_attempt_started(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        self.record_activity(now, identifier);
        if let Some(attempt) = self.attempts.get_mut(identifier)
            && attempt.state == attempt::State::Offered
        {
            attempt.transition_to(attempt::State::Started);
        }
    }

    /// The answer's head came.
    pub(crate) fn on_head_received(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        head: &frame::Head,
    ) {
        self.record_activity(now, identifier);
        let Some(attempt) = self.attempts.get_mut(identifier) else { return };
        if !matches!(attempt.state, attempt::State::Offered | attempt::State::Started) {
            return;
        }
        attempt.transition_to(attempt::State::HeadReceived);
        let number = attempt.request;
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.claim.is_some() {
            return;
        }
        let is_stream = is_event_stream(head);
        if request.client == request::Client::Receiving && !is_stream {
            // An upstream that answers a resumed stream with anything else would be glued to
            // what the caller already has.
            self.fail_request(now, number, refusal::Reason::UpstreamFailed);
            return;
        }
        request.is_stream = is_stream;
        request.client = request::Client::Receiving;
        self.forward_response(now, number, identifier);
    }

    fn forward_response(&mut self, now: clock::Instant, number: u64, identifier: wire::Identifier) {
        if let Some(attempt) = self.attempts.get_mut(identifier) {
            attempt.transition_to(attempt::State::Forwarding);
        }
        self.actions.push(action::Action::ForwardResponse { request: number, attempt: identifier });
        let others: Vec<_> = self
            .requests
            .get(&number)
            .into_iter()
            .flat_map(|request| request.attempts.iter().copied())
            .filter(|other| *other != identifier)
            .collect();
        others.into_iter().for_each(|other| self.cancel_and_drop_attempt(now, other));
    }

    /// The first part of the answer's body came.
    pub(crate) fn on_response_started(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
    ) {
        self.record_activity(now, identifier);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let (number, elapsed) = (attempt.request, now.since(attempt.sent_at));
        if let Some(pool) = self.pool_for(number) {
            pool.chooser.on_response_started(now, identifier);
        }
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.response_started_at.is_some() {
            return;
        }
        request.response_started_at = Some(now);
        let class = request.routing.class;
        let Some(pool) = self.pool_for(number) else { return };
        pool.queue.on_response_started(now, number);
        pool.hedge(class).record_start_latency(elapsed);
    }

    /// Events of the stream were delivered.
    pub(crate) fn on_events_delivered(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        events: u64,
    ) {
        self.record_activity(now, identifier);
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if attempt.state != attempt::State::Forwarding {
            return;
        }
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.delivered_events = request.delivered_events.max(Some(events));
        }
    }

    /// The whole answer was forwarded.
    pub(crate) fn on_attempt_completed(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
    ) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if attempt.state != attempt::State::Forwarding {
            return;
        }
        if let Some(number) = self.finish_attempt(now, identifier, choice::Outcome::Completed) {
            self.complete_request(now, number);
        }
    }

    /// The whole answer of a collected attempt is here.
    pub(crate) fn on_response_collected(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        head: frame::Head,
        body: Bytes,
    ) {
        let is_claimed = |request: &request::Request| request.claim.is_some();
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if !self.requests.get(&attempt.request).is_some_and(is_claimed) {
            return;
        }
        if let Some(number) = self.finish_attempt(now, identifier, choice::Outcome::Completed) {
            self.record_response(now, number, head, body);
        }
    }

    /// The agent or upstream refused.
    pub(crate) fn on_attempt_rejected(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        refusal: refusal::Refusal,
    ) {
        let outcome = match refusal.ran {
            refusal::Ran::NotRun => choice::Outcome::Rejected(refusal.reason),
            refusal::Ran::MayHaveRun => choice::Outcome::Failed,
        };
        let Some(number) = self.finish_attempt(now, identifier, outcome) else { return };
        self.log_notice(notice::Notice::AttemptRefused(identifier, refusal));
        self.retry_or_fail(now, number, refusal);
    }

    /// The attempt ended without a whole answer or a refusal.
    pub(crate) fn on_attempt_failed(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        fault: event::Fault,
        delivered: u64,
    ) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let forwarding = attempt.state == attempt::State::Forwarding;
        let offered = attempt.state == attempt::State::Offered;
        self.log_notice(notice::Notice::AttemptFailed(identifier, fault));
        let never_sent = fault == event::Fault::Unreachable && offered;
        if !never_sent {
            // The work may still run where the answer can't be had from.
            self.cancel_attempt(identifier);
        }
        let Some(number) = self.finish_attempt(now, identifier, choice::Outcome::Failed) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else { return };
        if forwarding {
            request.delivered_events = request.delivered_events.max(Some(delivered));
        }
        let reason = refusal::Reason::UpstreamFailed;
        let refusal = if never_sent {
            refusal::Refusal::not_run(reason, Some(core::RETRY_AFTER))
        } else {
            refusal::Refusal::may_have_run(reason, None)
        };
        self.retry_or_fail(now, number, refusal);
    }

    /// A cancel was answered. It counts only for an attempt that is still in flight, one of
    /// claimed work whose caller has been answered.
    pub(crate) fn on_cancel_response(
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
        let is_cancelled = |attempt: &attempt::Attempt| attempt.cancel_sent;
        if self.attempts.get(identifier).is_some_and(is_cancelled) {
            self.actions.push(action::Action::DropAttempt(identifier));
            self.on_attempt_rejected(now, identifier, refusal);
        }
    }

    /// Takes an attempt out of flight; the request it was for.
    pub(crate) fn finish_attempt(
        &mut self,
        now: clock::Instant,
        identifier: wire::Identifier,
        outcome: choice::Outcome,
    ) -> Option<u64> {
        let attempt = self.attempts.remove(identifier)?;
        let number = attempt.request;
        if let Some(pool) = self.pool_for(number) {
            pool.chooser.on_attempt_ended(now, identifier, outcome);
        }
        let request = self.requests.get_mut(&number)?;
        request.attempts.retain(|other| *other != identifier);
        Some(number)
    }

    fn record_activity(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if let Some(pool) = self.pool_for(attempt.request) {
            pool.chooser.on_response_data(now, identifier);
        }
    }

    pub(crate) fn pool_for(&mut self, number: u64) -> Option<&mut pool::Pool> {
        let request = self.requests.get(&number)?;
        self.pools.get_mut(&request.routing.pool)
    }

    /// An attempt came to nothing: the request is tried elsewhere, goes on with its other
    /// attempt, or ends.
    fn retry_or_fail(&mut self, now: clock::Instant, number: u64, refusal: refusal::Refusal) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.may_have_run |= refusal.ran == refusal::Ran::MayHaveRun;
        request.last_rejection = Some(refusal);
        if !request.attempts.is_empty() {
            return;
        }
        let may_retry = is_retryable(request, refusal) && now < response_deadline(now, request);
        let (repeatable, ran) = (request.routing.repeatable, ran_so_far(request));
        // A refusal for want of room cost the upstream nothing, and the queue holds the request
        // until there is room: it spends nothing from the budget.
        let budget_exempt =
            matches!(refusal.reason, refusal::Reason::Overloaded | refusal::Reason::Cold);
        let allowed = may_retry
            && self.pool_for(number).is_some_and(|pool| match budget_exempt {
                true => retry::is_retryable(repeatable, ran),
                false => pool.retry_budget.try_retry(repeatable, ran),
            });
        if allowed {
            self.retry(now, number);
        } else {
            self.fail_request(now, number, refusal.reason);
        }
    }

    fn retry(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.client == request::Client::Receiving {
            request.deadline = now + RESUME_TIMEOUT;
            let delivered = request.delivered_events.unwrap_or(0);
            self.log_notice(notice::Notice::Resumed(number, delivered));
        }
        self.retry_or_back_off(now, number);
    }
}

/// When the request's answer must have begun, or gone on.
fn response_deadline(now: clock::Instant, request: &request::Request) -> clock::Instant {
    match request.client {
        request::Client::Receiving => now + RESUME_TIMEOUT,
        request::Client::Waiting | request::Client::Done => request.deadline,
    }
}

fn ran_so_far(request: &request::Request) -> refusal::Ran {
    if request.may_have_run { refusal::Ran::MayHaveRun } else { refusal::Ran::NotRun }
}

/// Whether the work may be sent once more.
///
/// Work that may not be repeated goes out again only while no attempt of it may have run. A
/// caller that has a part of an answer can only be given the rest of a stream whose delivered
/// events were counted.
fn is_retryable(request: &request::Request, refusal: refusal::Refusal) -> bool {
    let permanent = refusal.reason == refusal::Reason::Malformed;
    let can_continue = match request.client {
        request::Client::Waiting => true,
        request::Client::Receiving => request.is_stream && request.delivered_events.is_some(),
        request::Client::Done => false,
    };
    can_continue && !permanent && request.attempt_count < MAX_ATTEMPTS
}

fn is_event_stream(head: &frame::Head) -> bool {
    let is_stream_type = |(name, value): &(String, String)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    };
    head.status == 200 && head.headers.iter().any(is_stream_type)
}
