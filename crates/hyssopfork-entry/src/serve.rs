//! Attempts of a request: offered, answered, tried elsewhere, resumed.

use crate::{action, arrival, attempt, core, event, notice, request};
use bytes::Bytes;
use hyssopfork_wire::{attempt as wire, clock, frame, refusal};
use std::collections::BTreeSet;
use std::time::Duration;

/// Attempts that one request may take, over all upstreams.
const TRIES: u32 = 16;

/// Time that an interrupted stream may take to go on from another upstream.
const RESUME_LIMIT: Duration = Duration::from_millis(5_000);

impl core::Core {
    /// Offers waiting requests to upstreams, oldest first.
    pub(crate) fn dispatch(&mut self, now: clock::Instant) {
        for number in std::mem::take(&mut self.waiting) {
            if !self.dispatch_one(now, number) {
                self.waiting.push_back(number);
            }
        }
    }

    /// Whether the request no longer waits.
    fn dispatch_one(&mut self, now: clock::Instant, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return true };
        if request.phase != request::Phase::Waiting {
            return true;
        }
        if now >= request.deadline {
            self.give_up(now, number, refusal::Reason::Deadline);
            return true;
        }
        if !self.watcher.is_recent(now) {
            self.give_up(now, number, refusal::Reason::Stale);
            return true;
        }
        if !arrival::is_current(self.watcher.view(), &request.plan) {
            self.give_up(now, number, refusal::Reason::NoRoute);
            return true;
        }
        let Some(place) = self.choose(now, request) else { return false };
        self.offer(now, number, place);
        true
    }

    fn choose(&self, now: clock::Instant, request: &request::Request) -> Option<attempt::Place> {
        let view = self.watcher.view();
        let pool = &request.plan.pool;
        let nobody = BTreeSet::new();
        let choose = |avoid| self.upstreams.choose(now, view, pool, avoid);
        let resumes =
            |place: &attempt::Place| request.caller != request::Caller::Reading || place.resumes;
        choose(&request.avoid).or_else(|| choose(&nobody)).filter(resumes)
    }

    fn offer(&mut self, now: clock::Instant, number: u64, place: attempt::Place) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let identifier = request.next.take().unwrap_or_else(|| self.attempts.draw());
        request.phase = request::Phase::Running;
        request.tries += 1;
        request.offered.get_or_insert(now);
        request.attempts.push(identifier);
        let offer = wire::Offer {
            attempt: identifier,
            boot: place.boot,
            version: self.watcher.view().version,
            group: place.group.clone(),
            team: request.plan.team.clone(),
            class: request.plan.class,
            cost: request.arrival.cost,
            deadline: now.until(request.deadline),
            resume_from: request.delivered.unwrap_or(0),
            method: request.arrival.method.clone(),
            path: request.arrival.path.clone(),
            headers: request.arrival.headers.clone(),
        };
        let collect = request.claim.is_some();
        let to = place.traffic;
        self.upstreams.offer(&place);
        self.note(notice::Notice::Offered(number, identifier, place.instance.clone()));
        let attempt = attempt::Attempt {
            request: number,
            place,
            state: attempt::State::Offered,
            sent: now,
            cancelled: false,
        };
        self.attempts.insert(identifier, attempt);
        let offer = Box::new(offer);
        self.actions.push(action::Action::Start { request: number, to, offer, collect });
    }

    /// The agent told its load.
    pub(crate) fn loaded(&mut self, identifier: wire::Identifier, load: frame::Load) {
        self.watcher.hear(load.version);
        if let Some(attempt) = self.attempts.get(identifier) {
            self.upstreams.hear(&attempt.place, load);
        }
    }

    /// The agent handed the attempt to the upstream.
    pub(crate) fn started(&mut self, identifier: wire::Identifier) {
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
        self.forward(number, identifier);
    }

    fn forward(&mut self, number: u64, identifier: wire::Identifier) {
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
        others.into_iter().for_each(|other| self.cancel_and_drop(other));
    }

    /// The first part of the answer's body came.
    pub(crate) fn begun(&mut self, now: clock::Instant, identifier: wire::Identifier) {
        let Some(attempt) = self.attempts.get(identifier) else { return };
        if let Some(request) = self.requests.get_mut(&attempt.request) {
            request.begun.get_or_insert(now);
        }
    }

    /// Events of the stream were delivered.
    pub(crate) fn delivered(&mut self, identifier: wire::Identifier, events: u64) {
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
        if let Some(number) = self.land(identifier) {
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
        if let Some(number) = self.land(identifier) {
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
        let Some(attempt) = self.attempts.get(identifier) else { return };
        let place = attempt.place.clone();
        let Some(number) = self.land(identifier) else { return };
        self.upstreams.pause(&place, now);
        self.note(notice::Notice::AttemptRefused(identifier, refusal));
        let Some(request) = self.requests.get_mut(&number) else { return };
        let full = matches!(refusal.reason, refusal::Reason::Overloaded | refusal::Reason::Cold);
        if !full {
            request.avoid.insert(place.instance);
        }
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
        let place = attempt.place.clone();
        let forwarding = attempt.state == attempt::State::Forwarding;
        let offered = attempt.state == attempt::State::Offered;
        self.note(notice::Notice::AttemptFailed(identifier, fault));
        let unsent = fault == event::Fault::Unreachable && offered;
        if !unsent {
            self.cancel(identifier);
        }
        let Some(number) = self.land(identifier) else { return };
        self.upstreams.pause(&place, now);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.avoid.insert(place.instance);
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
    pub(crate) fn land(&mut self, identifier: wire::Identifier) -> Option<u64> {
        let attempt = self.attempts.remove(identifier)?;
        self.upstreams.end(&attempt.place);
        let request = self.requests.get_mut(&attempt.request)?;
        request.attempts.retain(|other| *other != identifier);
        Some(attempt.request)
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
        if may_try_again(request, refusal) {
            self.try_again(now, number);
        } else {
            self.give_up(now, number, refusal.reason);
        }
    }

    fn try_again(&mut self, now: clock::Instant, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Waiting;
        if request.caller == request::Caller::Reading {
            request.deadline = now + RESUME_LIMIT;
            let delivered = request.delivered.unwrap_or(0);
            self.note(notice::Notice::Resumed(number, delivered));
        }
        self.waiting.push_front(number);
    }
}

/// Whether the work may be sent once more.
///
/// Work that may not be repeated goes out again only while no attempt of it may have run. A
/// caller that has a part of an answer can only be given the rest of a stream whose delivered
/// events were counted.
fn may_try_again(request: &request::Request, refusal: refusal::Refusal) -> bool {
    let repeats = request.may_repeat() || !request.may_have_run;
    let permanent = refusal.reason == refusal::Reason::Malformed;
    let continues = match request.caller {
        request::Caller::Waiting => true,
        request::Caller::Reading => request.streams && request.delivered.is_some(),
        request::Caller::Done => false,
    };
    repeats && continues && !permanent && request.tries < TRIES
}

fn is_stream(head: &frame::Head) -> bool {
    let is_event_stream = |(name, value): &(String, String)| {
        name.eq_ignore_ascii_case("content-type") && value.starts_with("text/event-stream")
    };
    head.status == 200 && head.headers.iter().any(is_event_stream)
}
