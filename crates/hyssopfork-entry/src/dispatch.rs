//! Dispatch of queued requests to upstreams, with backoff and hedging.

use crate::{action, attempt, core, notice, pool, request, routing};
use hyssopfork_policy::{choice, queue};
use hyssopfork_wire::{attempt as wire, clock, name, number, refusal};
use std::time::Duration;

/// First backoff of a request that no upstream accepts; doubles each time, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Interval between two checks for stragglers. Each check scans all requests, and a response
/// usually takes longer than this to start.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

impl core::Core {
    /// Queues a request, or rejects it at once.
    pub(crate) fn enqueue(&mut self, now: clock::Instant, number: u64) {
        let random = self.next_random();
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Waiting;
        let item = queue_item(number, request);
        let name = request.routing.pool.clone();
        let class = request.routing.class;
        let pool = sync_pool(&mut self.pools, &self.watcher, now, &name);
        let refusal = if pool.is_unavailable(now) {
            let retry_after = pool.queue.retry_after(class, random);
            refusal::Refusal::not_run(refusal::Reason::NoUpstream, Some(retry_after))
        } else {
            match pool.queue.enqueue(now, item, random) {
                queue::Admission::Queued => return,
                queue::Admission::Rejected(refusal) => refusal,
            }
        };
        self.reject_queued(now, number, refusal);
    }

    /// Dispatches queued requests as far as capacity allows.
    pub(crate) fn dispatch_queued(&mut self, now: clock::Instant) {
        self.requeue_backed_off(now);
        let names: Vec<name::Pool> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.dispatch_pool(now, &name);
        }
    }

    /// Sends the request to another upstream at once if one has capacity; otherwise backs off and
    /// queues it again. Without the backoff a request would use up all its attempts within the few
    /// milliseconds for which a group is incomplete.
    pub(crate) fn retry_or_back_off(&mut self, now: clock::Instant, number: u64) {
        if let Some(destination) = self.choose_destination(now, number) {
            self.offer_attempt(now, number, destination);
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Waiting;
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(request.backoff_count);
        request.backoff_count = (request.backoff_count + 1).min(8);
        self.backing_off.insert((now + backoff.min(MAX_BACKOFF), number));
    }

    /// Sends a second attempt for each repeatable request whose only attempt is a straggler.
    pub(crate) fn hedge_stragglers(&mut self, now: clock::Instant) {
        if now < self.next_hedge_check_at {
            return;
        }
        self.next_hedge_check_at = now + HEDGE_CHECK_INTERVAL;
        let candidates: Vec<(u64, Duration)> = self
            .requests
            .iter()
            .filter_map(|(number, request)| Some((*number, self.unanswered_time(now, request)?)))
            .collect();
        for (number, waited) in candidates {
            self.hedge_request(now, number, waited);
        }
    }

    fn hedge_request(&mut self, now: clock::Instant, number: u64, waited: Duration) {
        let Some(request) = self.requests.get(&number) else { return };
        let class = request.routing.class;
        let Some(pool) = self.pools.get_mut(&request.routing.pool) else { return };
        if pool.hedge(class).delay().is_none_or(|delay| waited < delay) {
            return;
        }
        let Some(destination) = self.choose_destination(now, number) else { return };
        let Some(pool) = self.pools.get_mut(&self.requests[&number].routing.pool) else { return };
        if pool.try_hedge(class, waited) {
            self.offer_attempt(now, number, destination);
        }
    }

    /// How long the only attempt of a repeatable request has been in flight without a response;
    /// `None` when there is nothing to hedge.
    fn unanswered_time(&self, now: clock::Instant, request: &request::Request) -> Option<Duration> {
        let [identifier] = request.attempts.as_slice() else { return None };
        let attempt = self.attempts.get(*identifier)?;
        let unanswered = matches!(attempt.state, attempt::State::Offered | attempt::State::Started);
        let may_hedge = request.routing.repeatable && request.client == request::Client::Waiting;
        (may_hedge && unanswered).then(|| now.since(attempt.sent_at))
    }

    fn requeue_backed_off(&mut self, now: clock::Instant) {
        while let Some((at, number)) = self.backing_off.first().copied() {
            if at > now {
                return;
            }
            self.backing_off.pop_first();
            let Some(request) = self.requests.get_mut(&number) else { continue };
            if request.phase != request::Phase::Waiting {
                continue;
            }
            request.excluded.clear();
            let item = queue_item(number, request);
            if let Some(pool) = self.pools.get_mut(&request.routing.pool) {
                pool.queue.requeue(now, item);
            }
        }
    }

    fn dispatch_pool(&mut self, now: clock::Instant, name: &name::Pool) {
        let random = self.next_random();
        let pool = sync_pool(&mut self.pools, &self.watcher, now, name);
        let capacity = pool.chooser.capacity(now);
        let batch = pool.queue.dispatch(now, capacity, random);
        let pool_empty = pool.is_empty();
        for expired in batch.expired {
            let mut refusal = expired.rejection;
            if pool_empty {
                refusal.reason = refusal::Reason::NoUpstream;
            }
            self.reject_queued(now, expired.item.request, refusal);
        }
        for item in batch.ready {
            self.dispatch_item(now, name, item);
        }
    }

    fn dispatch_item(&mut self, now: clock::Instant, name: &name::Pool, item: queue::Item) {
        let number = item.request;
        if let Some(reason) = self.dispatch_obstacle(now, number) {
            self.fail_request(now, number, reason);
            return;
        }
        let is_waiting = |request: &request::Request| request.phase == request::Phase::Waiting;
        let waiting = self.requests.get(&number).is_some_and(is_waiting);
        let destination = self.choose_destination(now, number).filter(|_| waiting);
        match destination {
            Some(destination) => self.offer_attempt(now, number, destination),
            None => {
                let Some(pool) = self.pools.get_mut(name) else { return };
                if waiting {
                    pool.queue.requeue(now, item);
                } else {
                    pool.queue.on_request_ended(now, number);
                }
            }
        }
    }

    /// Why a request that has waited may no longer be sent.
    fn dispatch_obstacle(&self, now: clock::Instant, number: u64) -> Option<refusal::Reason> {
        let request = self.requests.get(&number)?;
        if request.phase != request::Phase::Waiting {
            return None;
        }
        if now >= request.deadline {
            return Some(refusal::Reason::Deadline);
        }
        if !self.watcher.is_recent(now) {
            return Some(refusal::Reason::Stale);
        }
        let current = routing::is_current(self.watcher.view(), &request.routing);
        (!current).then_some(refusal::Reason::NoRoute)
    }

    fn choose_destination(
        &mut self,
        now: clock::Instant,
        number: u64,
    ) -> Option<attempt::Destination> {
        if !self.watcher.is_recent(now) {
            return None;
        }
        let random = self.next_random();
        let request = self.requests.get(&number)?;
        let pool = sync_pool(&mut self.pools, &self.watcher, now, &request.routing.pool);
        let criteria = choice::Criteria {
            zone: &self.settings.zone,
            prefix: request.arrival.prefix_hash,
            excluded: &request.excluded,
        };
        let instance = pool.chooser.pick(now, criteria, random)?;
        let destination = pool.destination(&instance)?;
        let can_continue = request.client != request::Client::Receiving || destination.can_resume;
        can_continue.then(|| destination.clone())
    }

    fn offer_attempt(
        &mut self,
        now: clock::Instant,
        number: u64,
        destination: attempt::Destination,
    ) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let identifier =
            request.next_identifier.take().unwrap_or_else(|| self.attempts.next_identifier());
        request.phase = request::Phase::InFlight;
        request.attempt_count += 1;
        request.first_offered_at.get_or_insert(now);
        request.attempts.push(identifier);
        request.excluded.push(destination.instance.clone());
        if let Some(pool) = self.pools.get_mut(&request.routing.pool) {
            pool.chooser.on_attempt_sent(
                now,
                &destination.instance,
                identifier,
                request.arrival.cost_tokens,
            );
            if request.attempt_count == 1 {
                pool.retry_budget.on_first_attempt();
            }
        }
        let version = self.watcher.view().version;
        let offer = Box::new(build_offer(now, request, identifier, &destination, version));
        let collect = request.claim.is_some();
        let to = destination.traffic_address;
        self.log_notice(notice::Notice::Offered(number, identifier, destination.instance.clone()));
        let state = attempt::State::Offered;
        let attempt = attempt::Attempt {
            request: number,
            destination,
            state,
            sent_at: now,
            cancel_sent: false,
        };
        self.attempts.insert(identifier, attempt);
        self.actions.push(action::Action::StartAttempt { request: number, to, offer, collect });
    }
}

/// The pool, updated to the current view.
fn sync_pool<'a>(
    pools: &'a mut std::collections::BTreeMap<name::Pool, pool::Pool>,
    watcher: &hyssopfork_watch::watcher::Watcher,
    now: clock::Instant,
    name: &name::Pool,
) -> &'a mut pool::Pool {
    let pool = pools.entry(name.clone()).or_insert_with(|| pool::Pool::new(now));
    pool.apply_view(now, watcher.view(), name);
    pool
}

fn queue_item(number: u64, request: &request::Request) -> queue::Item {
    queue::Item {
        request: number,
        team: request.routing.team.clone(),
        class: request.routing.class,
        cost: request.arrival.cost_tokens,
        deadline: request.deadline,
    }
}

/// Offer of an attempt, for the agent.
fn build_offer(
    now: clock::Instant,
    request: &request::Request,
    identifier: wire::Identifier,
    destination: &attempt::Destination,
    version: number::Version,
) -> wire::Offer {
    wire::Offer {
        attempt: identifier,
        boot: destination.boot,
        first: false,
        version,
        group: destination.group.clone(),
        team: request.routing.team.clone(),
        class: request.routing.class,
        cost: request.arrival.cost_tokens,
        deadline: now.until(request.deadline),
        resume_from: request.delivered_events.unwrap_or(0),
        method: request.arrival.method.clone(),
        path: request.arrival.path.clone(),
        headers: request.arrival.headers.clone(),
    }
}
