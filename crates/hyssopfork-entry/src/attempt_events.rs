//! Events of attempts: load, progress, completion, failure, and the retry or resumption that
//! follows.

use crate::{action, attempt, core, event, notice, pool, request};
use bytes::Bytes;
use hyssopfork_policy::{choice, retry};
use hyssopfork_wire::{attempt as wire, clock, frame, refusal};
use std::time::Duration;

/// Maximum number of attempts of one request, over all upstreams.
const MAX_ATTEMPTS: u32 = 16;

/// Time within which an interrupted stream must continue from another upstream.
const RESUME_TIMEOUT: Duration = Duration::from_millis(5_000);

impl core::Core {
    /// Handles the load reported by an agent.
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
        // A report of another process or placement doesn't apply to the current one.
        if pool.destination(&destination.instance) == Some(&destination) {
            pool.chooser.on_load_report(now, &destination.instance, load);
        }
    }

    /// Handles an attempt that the agent sent to the upstream.
    pub(crate) fn on_attempt_started(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        self.record_activity(now, identifier);
        if let Some(attempt) = self.attempts.get_mut(identifier)
            && attempt.state == attempt::State::Offered
        {
            attempt.transition_to(attempt::State::Started);
        }
    }

    /// Handles the head of a response.
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
            // A response that is not a stream must not be appended to the stream that the client
            // already has.
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

    /// Handles the first part of a response body.
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

    /// Handles the delivery of stream events to the client.
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

    /// Handles a response that was forwarded completely.
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

    /// Handles the complete response of a collected attempt.
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

    /// Handles the rejection of an attempt by the agent or the upstream.
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

    /// Handles an attempt that ended without a complete response or a rejection.
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
            // The work may still run, although its response can't be read.
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

    /// Handles the response to a cancel. It counts only for an attempt that is still in flight,
    /// which is one of claimed work whose client has its final response.
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
            // The response, or its failure, still arrives on the attempt's own connection.
            Some(wire::Cancelled::Started | wire::Cancelled::Finished) | None => return,
        };
        let is_cancelled = |attempt: &attempt::Attempt| attempt.cancel_sent;
        if self.attempts.get(identifier).is_some_and(is_cancelled) {
            self.actions.push(action::Action::DropAttempt(identifier));
            self.on_attempt_rejected(now, identifier, refusal);
        }
    }

    /// Removes an attempt from those in flight and returns its request.
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

    /// Handles an attempt that ended without success: the request is retried, continues with its
    /// other attempt, or fails.
    fn retry_or_fail(&mut self, now: clock::Instant, number: u64, refusal: refusal::Refusal) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.may_have_run |= refusal.ran == refusal::Ran::MayHaveRun;
        request.last_rejection = Some(refusal);
        if !request.attempts.is_empty() {
            return;
        }
        let may_retry = is_retryable(request, refusal) && now < response_deadline(now, request);
        let (repeatable, ran) = (request.routing.repeatable, ran_so_far(request));
        // A rejection for lack of capacity cost the upstream nothing, and the queue holds the
        // request until there is capacity, so the retry is not charged to the budget.
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

/// When the response must have started, or continued.
fn response_deadline(now: clock::Instant, request: &request::Request) -> clock::Instant {
    match request.client {
        request::Client::Receiving => now + RESUME_TIMEOUT,
        request::Client::Waiting | request::Client::Done => request.deadline,
    }
}

fn ran_so_far(request: &request::Request) -> refusal::Ran {
    if request.may_have_run { refusal::Ran::MayHaveRun } else { refusal::Ran::NotRun }
}

/// Whether the client and the rejection permit another attempt.
///
/// Whether the work itself may be repeated is decided by [`retry`]: non-repeatable work is retried
/// only while no attempt of it may have run. A client that has a part of a response can only be
/// given the rest of a stream whose delivered events were counted.
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
