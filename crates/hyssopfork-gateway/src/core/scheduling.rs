//! Scheduling of requests that compete for too little capacity.

use super::{Core, completion};
use crate::{action, notice, request, retry_schedule, scheduler, selection};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of its limit from which an upstream's load is taken for the cause of a late response.
const MIN_LOAD_RATIO: f64 = 0.5;

/// Divisor of the time that a client has left; its `Retry-After` is at most that part.
const RETURN_TIME_DIVISOR: u32 = 3;

/// Requests that wait for a place, and what their scheduling depends on.
#[derive(Debug, Default)]
pub(super) struct Scheduling {
    queue: scheduler::Queue,
    first_event_times: BTreeMap<request::Kind, scheduler::FirstEventTime>,
    /// Whether a place may have become free.
    capacity_changed: bool,
    /// Requests that were sent or rejected lately.
    admissions: BTreeMap<request::Kind, retry_schedule::Admissions>,
}

impl Scheduling {
    /// Records that a place may have become free.
    pub(super) fn on_capacity_changed(&mut self) {
        self.capacity_changed = true;
    }

    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&mut self, number: u64) {
        self.queue.remove(number);
    }

    /// Whether the request is queued.
    pub(super) fn contains(&self, number: u64) -> bool {
        self.queue.get(number).is_some()
    }
}

impl Core {
    /// Part of the limit that the request leaves to those of more urgent ranks.
    pub(super) fn rank_reserve(&self, request: &request::Request) -> f64 {
        let reserve = self.rank_reserves.get(&request.kind());
        reserve.map_or(0.0, |reserve| reserve.ratio(self.now, request.rank))
    }

    /// Counts a request that is sent to an upstream, with the work that is expected of it.
    pub(super) fn count_sent(&mut self, number: u64, instance: &name::Instance) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        if self.has_ranks(&request.pool) {
            self.rank_reserves.entry(request.kind()).or_default().on_sent(now);
        }
        let Some(target) = self.targets.get(instance).filter(|_| self.is_scheduled(request)) else {
            return;
        };
        let admissions = self.scheduling.admissions.entry(request.kind()).or_default();
        admissions.on_sent(now);
        let work = 1.0 / target.load.throughput();
        let account = (request.kind(), request.team.clone());
        self.scheduling.queue.on_sent(now, number, account, work);
    }

    /// Adds the work of an attempt that has ended to the usage of its team: the time in which it
    /// held one of the upstream's slots. What a client states about the size is not trusted.
    pub(super) fn count_ended(&mut self, number: u64, instance: &name::Instance, time: Duration) {
        let slots = self.targets.get(instance).map_or(1.0, |target| target.load.slots());
        self.scheduling.queue.on_ended(self.now, number, time.as_secs_f64() / slots);
        self.scheduling.on_capacity_changed();
    }

    /// Counts a request of this kind and rank that was rejected for lack of capacity, or late.
    pub(super) fn count_missed(&mut self, kind: request::Kind, rank: u32) {
        if self.has_ranks(&kind.0) {
            self.rank_reserves.entry(kind).or_default().on_missed(self.now, rank);
        }
    }

    /// Handles the first bytes of an attempt: learns the typical time, and counts the request as
    /// missed if its response begins too late because of the load.
    pub(super) fn count_first_bytes(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let Some(target) = self.targets.get(&attempt.instance) else { return };
        let places = target.limit.get().min(target.load.slots());
        let has_place = attempt.load_at_start + 1.0 <= places;
        if has_place && self.is_scheduled(request) {
            let time = now.since(attempt.started_at);
            self.scheduling.first_event_times.entry(request.kind()).or_default().add(time);
        }
        let is_loaded = attempt.load_at_start >= target.limit.get() * MIN_LOAD_RATIO;
        if now > request.on_time_until && is_loaded {
            self.count_missed(request.kind(), request.rank);
        }
    }

    /// `Retry-After` of a request that was rejected for lack of capacity: the time at which there will
    /// be capacity for a late one, if places become free every `spacing` from `wait` on.
    ///
    /// Late requests get places once those that run now have ended, which takes about the duration of
    /// one. Where many are rejected, new requests take most of these places, and `Retry-After` is longer in
    /// proportion, since most clients retry only once.
    pub(super) fn return_time(
        &mut self,
        request: &request::Request,
        wait: Duration,
        spacing: Duration,
    ) -> Duration {
        let now = self.now;
        let kind = request.kind();
        let max =
            (now.until(request.deadline) / RETURN_TIME_DIVISOR).max(completion::MIN_RETRY_AFTER);
        let serving = self.targets.values().filter(|it| it.pool == kind.0 && it.model == kind.1);
        let slots: f64 = serving.map(|target| target.load.slots()).sum();
        let duration = Duration::try_from_secs_f64(slots / self.throughput(&kind)).unwrap_or(max);
        let admissions = self.scheduling.admissions.entry(kind.clone()).or_default();
        admissions.on_rejected(now);
        let factor = 1.0 / admissions.admitted_ratio();
        let wait = wait.min(max).saturating_add(duration.min(max)).mul_f64(factor);
        let schedule = self.retry_schedules.entry(kind).or_default();
        let time = schedule.reserve_within(now, wait, spacing.min(max).mul_f64(factor), max);
        time.max(completion::MIN_RETRY_AFTER)
    }

    /// Whether the declaration gives requests for the pool different ranks.
    fn has_ranks(&self, pool: &name::Pool) -> bool {
        self.table.as_ref().is_some_and(|table| table.has_ranks(pool))
    }

    /// Whether requests like this one are scheduled: those for engines whose performance is declared,
    /// or whose requests differ in rank.
    pub(super) fn is_scheduled(&self, request: &request::Request) -> bool {
        let Some(table) = self.table.as_ref().filter(|_| request.model.is_some()) else {
            return false;
        };
        let engine = table.engine(&request.pool);
        engine.is_some_and(|engine| engine.performance.is_some()) || table.has_ranks(&request.pool)
    }

    /// Number of requests that wait for a place.
    pub fn queued_requests(&self) -> usize {
        self.scheduling.len()
    }

    /// Requests that the upstreams of the pool and model complete per second.
    pub(super) fn throughput(&self, kind: &request::Kind) -> f64 {
        let serving = self.targets.values().filter(|target| {
            target.pool == kind.0
                && target.model == kind.1
                && !target.is_suspended
                && !target.is_stalled(self.now)
        });
        serving.map(|target| target.load.throughput()).sum()
    }

    fn capacity(&self, kind: &request::Kind) -> scheduler::Capacity {
        let entries = self.entry_count();
        scheduler::Capacity { throughput: self.throughput(kind), entries }
    }

    /// Queues a first attempt that found all upstreams full, if a place will be free in time. `wait`
    /// is the time until `best` has one, if no other request took it. Returns whether the request
    /// was queued.
    pub(super) fn enqueue_for_place(
        &mut self,
        number: u64,
        wait: Duration,
        best: Option<&name::Instance>,
    ) -> bool {
        let now = self.now;
        let Some(best) = best.and_then(|best| self.targets.get(best)) else { return false };
        let Some(request) = self.requests.get(&number) else { return false };
        let is_new =
            request.attempt_count == 0 && !request.was_queued && request.queue_time.is_none();
        if !is_new || self.queue.is_retrying(number) || !self.is_scheduled(request) {
            return false;
        }
        let kind = request.kind();
        let first_event = self.scheduling.first_event_times.get(&kind).and_then(|time| time.get());
        // Where the limit is above the slots, a request waits at the upstream as well.
        let slot_wait = best.load.time_to_slot(best.limit.get() - 1.0);
        let send_by =
            first_event.and_then(|time| scheduler::send_by(now, request, time + slot_wait));
        let Some(send_by) = send_by else { return false };
        let item = scheduler::Item {
            kind: kind.clone(),
            rank: request.rank,
            team: request.team.clone(),
            work: 1.0 / best.load.throughput(),
            bytes: request.content.length(),
            queued_at: now,
            send_by,
        };
        // The place that becomes free next is counted below, for all upstreams together.
        let backlog = wait.saturating_sub(Duration::from_secs_f64(item.work));
        let (identifier, rank) = (request.identifier.clone(), request.rank);
        let admission = self.scheduling.queue.push(number, item);
        if admission == scheduler::Admission::Full {
            return false;
        }
        let order = self.scheduling.queue.order(now, &kind);
        let ahead = order.iter().position(|queued| *queued == number).unwrap_or(order.len());
        let predicted = backlog.saturating_add(self.capacity(&kind).time_for(ahead + 1));
        if predicted > now.until(send_by) {
            self.scheduling.queue.remove(number);
            if let scheduler::Admission::Displaced(displaced, item) = admission {
                self.scheduling.queue.push(displaced, *item);
            }
            return false;
        }
        let timeout = now.until(send_by);
        self.log(notice::Notice::Queued { identifier, rank, ahead, predicted, timeout });
        self.decide(number, action::Decision::Queue(timeout));
        if let scheduler::Admission::Displaced(displaced, item) = admission {
            self.reject_queued(displaced, item.queued_at, scheduler::Cause::Displaced);
        }
        self.reject_overtaken(&kind);
        true
    }

    /// Sends queued requests if a place may have become free.
    pub(super) fn release_after_change(&mut self) {
        if std::mem::take(&mut self.scheduling.capacity_changed) {
            self.release_queued();
        }
    }

    /// Sends queued requests in order while there are places.
    pub(super) fn release_queued(&mut self) {
        for kind in self.scheduling.queue.kinds() {
            while let Some(next) = self.scheduling.queue.next(self.now, &kind) {
                if !self.release(next) {
                    break;
                }
            }
        }
    }

    /// Sends the request whose turn it is; returns whether it left the queue.
    fn release(&mut self, next: scheduler::Next) -> bool {
        let now = self.now;
        let number = next.number;
        let Some(request) = self.requests.get(&number) else {
            self.scheduling.queue.remove(number);
            return true;
        };
        let mut query = self.query(request, false);
        if next.is_oldest {
            query.reserve = 0.0;
        }
        let constraints = self.constraints(request);
        let selected = selection::select(now, &self.targets, query, constraints);
        let selection::Selection::Selected(instance) = selected else { return false };
        if !self.is_on_time_at(number, &instance) {
            if let Some(item) = self.scheduling.queue.remove(number) {
                self.reject_queued(number, item.queued_at, scheduler::Cause::Timeout);
            }
            return true;
        }
        let Some(item) = self.scheduling.queue.release(number) else { return false };
        let waited = self.record_queue_time(number, item.queued_at);
        if let Some(wait) = self.quarantine_retry_after(number) {
            self.end_without_response(number, action::Reason::Quarantined, wait);
            return true;
        }
        if let Some(request) = self.requests.get(&number) {
            let (identifier, rank) = (request.identifier.clone(), request.rank);
            self.log(notice::Notice::Dequeued { identifier, rank, waited });
        }
        self.send(number, &instance);
        true
    }

    /// Whether the request can still be on time at this upstream, where it waits for a slot if the
    /// limit is above the slots.
    fn is_on_time_at(&self, number: u64, instance: &name::Instance) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let Some(target) = self.targets.get(instance) else { return false };
        let kind = request.kind();
        let first_event = self.scheduling.first_event_times.get(&kind).and_then(|time| time.get());
        let average = self.average_load(&request.pool, request.model.as_ref());
        let load = target.load.estimate(self.now, average);
        let slot_wait = target.load.time_to_slot(load);
        let time = first_event.unwrap_or_default() + slot_wait;
        scheduler::send_by(self.now, request, time).is_some()
    }

    /// Handles the end of a request's time in the queue.
    pub(super) fn on_place_timeout(&mut self, number: u64) {
        self.release_queued();
        let Some(item) = self.scheduling.queue.remove(number) else { return };
        let Some(request) = self.requests.get(&number) else { return };
        let constraints = self.constraints(request);
        let query = self.query(request, false);
        match selection::select(self.now, &self.targets, query, constraints) {
            selection::Selection::NoUpstream => {
                self.record_queue_time(number, item.queued_at);
                self.dispatch(number, false);
            }
            _ => self.reject_queued(number, item.queued_at, scheduler::Cause::Timeout),
        }
    }

    /// Rejects queued requests that can no longer be on time, since others precede them or
    /// capacity was lost.
    pub(super) fn reject_overtaken(&mut self, kind: &request::Kind) {
        let now = self.now;
        let capacity = self.capacity(kind);
        // Without any upstream, the requests wait for one as they do on arrival.
        if capacity.throughput <= 0.0 {
            return;
        }
        let mut ahead = 0;
        for number in self.scheduling.queue.order(now, kind) {
            let Some(item) = self.scheduling.queue.get(number) else { continue };
            if capacity.time_for(ahead) <= now.until(item.send_by) {
                ahead += 1;
                continue;
            }
            let queued_at = item.queued_at;
            self.scheduling.queue.remove(number);
            self.reject_queued(number, queued_at, scheduler::Cause::Overtaken);
        }
    }

    /// Rejects requests of all kinds that can no longer be on time, and forgets what is old.
    pub(super) fn expire_scheduling(&mut self) {
        self.scheduling.queue.expire(self.now);
        for kind in self.scheduling.queue.kinds() {
            self.reject_overtaken(&kind);
        }
        self.scheduling.on_capacity_changed();
    }

    /// Rejects a request that has left the queue.
    fn reject_queued(&mut self, number: u64, queued_at: clock::Instant, cause: scheduler::Cause) {
        let waited = self.record_queue_time(number, queued_at);
        let Some(request) = self.requests.get(&number) else { return };
        let (identifier, rank) = (request.identifier.clone(), request.rank);
        let constraints = self.constraints(request);
        let query = self.query(request, false);
        let wait = match selection::select(self.now, &self.targets, query, constraints) {
            selection::Selection::Full { wait, .. } => wait,
            _ => Duration::ZERO,
        };
        self.log(notice::Notice::QueueRejected { identifier, rank, waited, cause });
        self.end_without_response(number, action::Reason::Overloaded, wait);
    }

    /// Records the time that the request has spent in the queue.
    fn record_queue_time(&mut self, number: u64, queued_at: clock::Instant) -> Duration {
        let waited = self.now.since(queued_at);
        if let Some(request) = self.requests.get_mut(&number) {
            request.queue_time = Some(waited);
        }
        waited
    }

    /// Priority of the request among those that wait at an upstream; `None` for the upstream's
    /// default, if neither ranks nor streams distinguish the requests for its pool.
    pub(super) fn upstream_priority(&self, request: &request::Request) -> Option<u8> {
        if !self.has_ranks(&request.pool) && !request.repetition.streams() {
            return None;
        }
        let progress = if request.head_forwarded {
            scheduler::Progress::Continued
        } else if request.repetition.may_repeat() && request.last_event.is_some() {
            scheduler::Progress::Resumed
        } else {
            scheduler::Progress::New
        };
        Some(scheduler::upstream_priority(progress, request.rank))
    }
}
