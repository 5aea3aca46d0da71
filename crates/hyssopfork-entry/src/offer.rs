//! Offers: waiting requests leave the queue for an upstream.

use crate::{action, arrival, attempt, core, notice, pool, request};
use hyssopfork_policy::{choice, queue};
use hyssopfork_wire::{attempt as wire, clock, name, number, refusal};
use std::time::Duration;

/// First rest of a request that no upstream would take; doubles with each up to [`REST_MOST`].
const REST: Duration = Duration::from_millis(50);

/// Time between two looks for stragglers, each of which goes over all requests; an answer usually
/// takes longer than this to begin.
const HEDGE_PERIOD: Duration = Duration::from_millis(50);

/// Longest rest.
const REST_MOST: Duration = Duration::from_millis(400);

impl core::Core {
    /// Lets a request wait for an upstream, or refuses it at once.
    pub(crate) fn enqueue(&mut self, now: clock::Instant, number: u64) {
        let random = self.random();
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Waiting;
        let item = item(number, request);
        let name = request.plan.pool.clone();
        let class = request.plan.class;
        let pool = follow(&mut self.pools, &self.watcher, now, &name);
        let refusal = if pool.is_deserted(now) {
            let after = pool.queue.retry_after(class, random);
            refusal::Refusal::not_run(refusal::Reason::NoUpstream, Some(after))
        } else {
            match pool.queue.enqueue(now, item, random) {
                queue::Admission::Queued => return,
                queue::Admission::Rejected(refusal) => refusal,
            }
        };
        self.turn_back(now, number, refusal);
    }

    /// Starts what there is room for.
    pub(crate) fn dispatch(&mut self, now: clock::Instant) {
        self.wake(now);
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

    /// Sends the request to another upstream at once where one has room; else lets it rest for a
    /// while and wait its turn anew. Without the rest it would run through all its tries within
    /// the few milliseconds for which a group is not whole.
    pub(crate) fn try_elsewhere(&mut self, now: clock::Instant, number: u64) {
        if let Some(place) = self.choose(now, number) {
            self.offer(now, number, place);
            return;
        }
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.phase = request::Phase::Waiting;
        let doubled = REST * 2u32.saturating_pow(request.rests);
        request.rests = (request.rests + 1).min(8);
        self.resting.insert((now + doubled.min(REST_MOST), number));
    }

    /// Sends second copies of repeatable requests that are stuck on a straggler.
    pub(crate) fn hedge(&mut self, now: clock::Instant) {
        if now < self.hedge_at {
            return;
        }
        self.hedge_at = now + HEDGE_PERIOD;
        let stuck: Vec<(u64, Duration)> = self
            .requests
            .iter()
            .filter_map(|(number, request)| Some((*number, self.stuck(now, request)?)))
            .collect();
        for (number, waited) in stuck {
            self.hedge_one(now, number, waited);
        }
    }

    fn hedge_one(&mut self, now: clock::Instant, number: u64, waited: Duration) {
        let Some(request) = self.requests.get(&number) else { return };
        let class = request.plan.class;
        let Some(pool) = self.pools.get_mut(&request.plan.pool) else { return };
        if pool.hedge(class).delay().is_none_or(|delay| waited < delay) {
            return;
        }
        let Some(place) = self.choose(now, number) else { return };
        let Some(pool) = self.pools.get_mut(&self.requests[&number].plan.pool) else { return };
        if pool.may_hedge(class, waited) {
            self.offer(now, number, place);
        }
    }

    /// How long the only attempt of a repeatable request has been in flight without an answer;
    /// `None` where there is nothing to hedge.
    fn stuck(&self, now: clock::Instant, request: &request::Request) -> Option<Duration> {
        let [identifier] = request.attempts.as_slice() else { return None };
        let attempt = self.attempts.get(*identifier)?;
        let unanswered = matches!(attempt.state, attempt::State::Offered | attempt::State::Started);
        let hedges = request.plan.repeatable && request.caller == request::Caller::Waiting;
        (hedges && unanswered).then(|| now.since(attempt.sent))
    }

    fn wake(&mut self, now: clock::Instant) {
        while let Some((at, number)) = self.resting.first().copied() {
            if at > now {
                return;
            }
            self.resting.pop_first();
            let Some(request) = self.requests.get_mut(&number) else { continue };
            if request.phase != request::Phase::Waiting {
                continue;
            }
            request.excluded.clear();
            let item = item(number, request);
            if let Some(pool) = self.pools.get_mut(&request.plan.pool) {
                pool.queue.requeue(now, item);
            }
        }
    }

    fn dispatch_pool(&mut self, now: clock::Instant, name: &name::Pool) {
        let random = self.random();
        let pool = follow(&mut self.pools, &self.watcher, now, name);
        let room = pool.chooser.capacity(now);
        let batch = pool.queue.dispatch(now, room, random);
        let empty = pool.is_empty();
        for expired in batch.expired {
            let mut refusal = expired.rejection;
            if empty {
                refusal.reason = refusal::Reason::NoUpstream;
            }
            self.turn_back(now, expired.item.request, refusal);
        }
        for item in batch.ready {
            self.start(now, name, item);
        }
    }

    fn start(&mut self, now: clock::Instant, name: &name::Pool, item: queue::Item) {
        let number = item.request;
        if let Some(reason) = self.obstacle(now, number) {
            self.give_up(now, number, reason);
            return;
        }
        let waits = |request: &request::Request| request.phase == request::Phase::Waiting;
        let waiting = self.requests.get(&number).is_some_and(waits);
        let place = self.choose(now, number).filter(|_| waiting);
        match place {
            Some(place) => self.offer(now, number, place),
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

    /// Why a request that has waited may not be sent any more.
    fn obstacle(&self, now: clock::Instant, number: u64) -> Option<refusal::Reason> {
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
        let current = arrival::is_current(self.watcher.view(), &request.plan);
        (!current).then_some(refusal::Reason::NoRoute)
    }

    fn choose(&mut self, now: clock::Instant, number: u64) -> Option<attempt::Place> {
        if !self.watcher.is_recent(now) {
            return None;
        }
        let random = self.random();
        let request = self.requests.get(&number)?;
        let pool = follow(&mut self.pools, &self.watcher, now, &request.plan.pool);
        let want = choice::Criteria {
            zone: &self.settings.zone,
            prefix: request.arrival.prefix,
            excluded: &request.excluded,
        };
        let instance = pool.chooser.pick(now, want, random)?;
        let place = pool.place(&instance)?;
        let continues = request.caller != request::Caller::Reading || place.resumes;
        continues.then(|| place.clone())
    }

    fn offer(&mut self, now: clock::Instant, number: u64, place: attempt::Place) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let identifier = request.next.take().unwrap_or_else(|| self.attempts.draw());
        request.phase = request::Phase::Running;
        request.tries += 1;
        request.offered.get_or_insert(now);
        request.attempts.push(identifier);
        request.excluded.push(place.instance.clone());
        if let Some(pool) = self.pools.get_mut(&request.plan.pool) {
            pool.chooser.on_attempt_sent(now, &place.instance, identifier, request.arrival.cost);
            if request.tries == 1 {
                pool.budget.on_first_attempt();
            }
        }
        let version = self.watcher.view().version;
        let offer = Box::new(describe(now, request, identifier, &place, version));
        let collect = request.claim.is_some();
        let to = place.traffic;
        self.note(notice::Notice::Offered(number, identifier, place.instance.clone()));
        let state = attempt::State::Offered;
        let attempt =
            attempt::Attempt { request: number, place, state, sent: now, cancelled: false };
        self.attempts.insert(identifier, attempt);
        self.actions.push(action::Action::Start { request: number, to, offer, collect });
    }
}

/// The pool, led on to the view that is held now.
fn follow<'a>(
    pools: &'a mut std::collections::BTreeMap<name::Pool, pool::Pool>,
    watcher: &hyssopfork_watch::watcher::Watcher,
    now: clock::Instant,
    name: &name::Pool,
) -> &'a mut pool::Pool {
    let pool = pools.entry(name.clone()).or_insert_with(|| pool::Pool::new(now));
    pool.follow(now, watcher.view(), name);
    pool
}

fn item(number: u64, request: &request::Request) -> queue::Item {
    queue::Item {
        request: number,
        team: request.plan.team.clone(),
        class: request.plan.class,
        cost: request.arrival.cost,
        deadline: request.deadline,
    }
}

/// What the agent is told of an attempt.
fn describe(
    now: clock::Instant,
    request: &request::Request,
    identifier: wire::Identifier,
    place: &attempt::Place,
    version: number::Version,
) -> wire::Offer {
    wire::Offer {
        attempt: identifier,
        boot: place.boot,
        first: false,
        version,
        group: place.group.clone(),
        team: request.plan.team.clone(),
        class: request.plan.class,
        cost: request.arrival.cost,
        deadline: now.until(request.deadline),
        resume_from: request.delivered.unwrap_or(0),
        method: request.arrival.method.clone(),
        path: request.arrival.path.clone(),
        headers: request.arrival.headers.clone(),
    }
}
