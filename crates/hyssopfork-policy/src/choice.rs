//! Upstream selection in an entry process: combines load balancing, prefix affinity, outlier
//! ejection, concurrency limits and zone evacuation for one pool.
//!
//! [`Chooser::capacity`] tells how many requests may start, [`Chooser::pick`] which upstream a
//! request goes to. Both work from load reports that may be stale; only the upstream's agent
//! decides for certain, and its rejection "not run" corrects a wrong choice.

use crate::{affinity, balance, classes, ejection, evacuation, limit, slow_start};
use hyssopfork_wire::{attempt, clock, frame, name, refusal};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Interval between two outlier checks.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its instance: for a group the first member.
    pub instance: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Announced limit of concurrent requests when warm.
    pub concurrency: u32,
}

/// Criteria for the upstream of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Zone of the entry process.
    pub zone: &'a name::Zone,
    /// Hash of the prompt prefix, if there is one.
    pub prefix: Option<u64>,
    /// Upstreams that must not be chosen because the request has been sent to them already.
    pub excluded: &'a [name::Instance],
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Completed,
    /// Rejected before any of it ran.
    Rejected(refusal::Reason),
    /// The upstream failed, broke off or could not be reached.
    Failed,
    /// Ended for a reason unrelated to the upstream.
    Cancelled,
}

#[derive(Clone, Debug)]
struct State {
    upstream: Upstream,
    load: balance::Load,
    limit: limit::Limit,
    record: ejection::Record,
    /// Attempts in flight.
    in_flight: BTreeMap<attempt::Identifier, Attempt>,
    /// Present while the upstream returns from an ejection.
    slow_start: Option<slow_start::SlowStart>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent_at: clock::Instant,
    cost: u32,
    /// Whether the response has started.
    is_responding: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    instance: name::Instance,
    sent_at: clock::Instant,
    cost: u32,
}

/// The upstreams of one pool as one entry process sees them.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    upstreams: Vec<State>,
    index: BTreeMap<name::Instance, usize>,
    attempts: HashMap<attempt::Identifier, Dispatch>,
    holders: affinity::Holders,
    evacuation: evacuation::Evacuation,
    last_outlier_check: clock::Instant,
}

impl Chooser {
    /// Adds or updates an upstream. A new one has the limit of a cold upstream until its agent's
    /// first report.
    pub fn insert(&mut self, now: clock::Instant, upstream: Upstream) {
        if let Some(&index) = self.index.get(&upstream.instance) {
            self.upstreams[index].upstream = upstream;
            return;
        }
        self.index.insert(upstream.instance.clone(), self.upstreams.len());
        self.upstreams.push(State {
            load: balance::Load::default(),
            limit: limit::Limit::new(upstream.concurrency),
            record: ejection::Record::new(now),
            in_flight: BTreeMap::new(),
            slow_start: None,
            upstream,
        });
    }

    /// Removes an upstream. Attempts on it may still end.
    pub fn remove(&mut self, instance: &name::Instance) {
        let Some(index) = self.index.remove(instance) else { return };
        self.upstreams.swap_remove(index);
        if let Some(moved) = self.upstreams.get(index) {
            self.index.insert(moved.upstream.instance.clone(), index);
        }
        self.holders.forget_instance(instance);
    }

    /// The known upstreams.
    pub fn instances(&self) -> impl Iterator<Item = &name::Instance> {
        self.index.keys()
    }

    /// Sets whether a zone is evacuated. The load reports from a zone that returns are discarded.
    pub fn set_zone_evacuated(&mut self, zone: &name::Zone, evacuated: bool) {
        if !self.evacuation.set(zone, evacuated) {
            return;
        }
        for state in self.upstreams.iter_mut().filter(|state| state.upstream.zone == *zone) {
            state.load.reset_report();
        }
    }

    /// Applies a load report of an agent.
    pub fn on_load_report(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        load: frame::Load,
    ) {
        let Some(state) = self.state_mut(instance) else { return };
        state.load.on_report(now, load);
        state.record.on_activity(now);
    }

    /// Applies a cache event: the upstream has cached a prompt prefix, or has evicted it.
    pub fn on_cache_event(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        prefix: u64,
        cached: bool,
    ) {
        self.holders.on_cache_event(now, instance, prefix, cached);
    }

    /// Discards the cache events of an upstream: there was a gap, or it turned cold.
    pub fn forget_cache(&mut self, instance: &name::Instance) {
        self.holders.forget_instance(instance);
    }

    /// Capacity of the upstreams for this process. Requests of other entry processes, and their
    /// share of the free slots, are not counted: a share of a total that included them would never
    /// take effect as a limit.
    pub fn capacity(&self, now: clock::Instant) -> classes::Capacity {
        let (mut in_flight, mut others, mut free) = (0, 0.0, 0);
        for state in &self.upstreams {
            let limit = self.concurrency_limit(now, state);
            in_flight += state.load.in_flight;
            others += state.load.others_in_flight(now);
            free += state.load.free_slots(now, limit);
        }
        let share = f64::from(in_flight + 1) / (f64::from(in_flight + 1) + others);
        classes::Capacity { free, total: in_flight + (f64::from(free) * share).ceil() as u32 }
    }

    /// Chooses an upstream with a free slot; `None` if there is none.
    pub fn pick(
        &mut self,
        now: clock::Instant,
        criteria: Criteria<'_>,
        random: u64,
    ) -> Option<name::Instance> {
        self.check_outliers(now);
        let candidates = self.candidates(now, criteria);
        let affine = criteria.prefix.and_then(|prefix| self.find_affine(now, prefix, &candidates));
        let chosen = affine.or_else(|| balance::choose(&candidates, random))?;
        Some(self.upstreams[chosen.index].upstream.instance.clone())
    }

    /// Records that an attempt was sent.
    pub fn on_attempt_sent(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        attempt: attempt::Identifier,
        cost: u32,
    ) {
        let dispatch = Dispatch { instance: instance.clone(), sent_at: now, cost };
        self.attempts.insert(attempt, dispatch);
        let Some(state) = self.state_mut(instance) else { return };
        if state.load.in_flight == 0 {
            state.record.on_activity(now);
        }
        state.load.in_flight += 1;
        state.in_flight.insert(attempt, Attempt { sent_at: now, cost, is_responding: false });
    }

    /// Records that the response to an attempt has started.
    pub fn on_response_started(&mut self, now: clock::Instant, attempt: attempt::Identifier) {
        let Some(dispatch) = self.attempts.get(&attempt) else { return };
        let instance = dispatch.instance.clone();
        let Some(state) = self.state_mut(&instance) else { return };
        let waiting = state.in_flight.get_mut(&attempt).filter(|attempt| !attempt.is_responding);
        let Some(waiting) = waiting else { return };
        waiting.is_responding = true;
        state.record.on_response_started(now, now.since(waiting.sent_at), waiting.cost);
    }

    /// Records that a part of the response to an attempt arrived.
    pub fn on_response_data(&mut self, now: clock::Instant, attempt: attempt::Identifier) {
        let Some(dispatch) = self.attempts.get(&attempt) else { return };
        let instance = dispatch.instance.clone();
        if let Some(state) = self.state_mut(&instance) {
            state.record.on_activity(now);
        }
    }

    /// Records the outcome of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: clock::Instant,
        attempt: attempt::Identifier,
        outcome: Outcome,
    ) {
        let Some(dispatch) = self.attempts.remove(&attempt) else { return };
        if let Some(state) = self.state_mut(&dispatch.instance) {
            state.in_flight.remove(&attempt);
            state.on_attempt_ended(now, &dispatch, outcome);
        }
    }

    fn state_mut(&mut self, instance: &name::Instance) -> Option<&mut State> {
        let index = *self.index.get(instance)?;
        self.upstreams.get_mut(index)
    }

    /// Requests that an upstream may have in flight now: 0 while it is ejected or its zone is
    /// evacuated.
    fn concurrency_limit(&self, now: clock::Instant, state: &State) -> u32 {
        if state.record.is_ejected(now) || self.evacuation.is_evacuated(&state.upstream.zone) {
            return 0;
        }
        let slow_start = state.slow_start.as_ref().map_or(u32::MAX, slow_start::SlowStart::limit);
        state.load.limit(now).min(state.limit.get()).min(slow_start)
    }

    fn candidates(&self, now: clock::Instant, criteria: Criteria<'_>) -> Vec<balance::Candidate> {
        let median =
            ejection::median_token_latency(self.upstreams.iter().map(|state| &state.record));
        let mut candidates = Vec::new();
        for (index, state) in self.upstreams.iter().enumerate() {
            let limit = self.concurrency_limit(now, state);
            let excluded = criteria.excluded.contains(&state.upstream.instance);
            if excluded || state.load.free_slots(now, limit) == 0 {
                continue;
            }
            candidates.push(balance::Candidate {
                index,
                utilization: (f64::from(state.load.in_flight) + state.load.others_in_flight(now))
                    / f64::from(limit),
                relative_latency: state
                    .record
                    .token_latency()
                    .zip(median)
                    .map_or(1.0, |(own, median)| own / median),
                same_zone: state.upstream.zone == *criteria.zone,
            });
        }
        candidates
    }

    /// The first in rank for the prefix, known holders ahead, whose load is within the affinity
    /// bound.
    fn find_affine(
        &self,
        now: clock::Instant,
        prefix: u64,
        candidates: &[balance::Candidate],
    ) -> Option<balance::Candidate> {
        let total = candidates.iter().map(|candidate| candidate.utilization).sum::<f64>();
        let mean = total / candidates.len().max(1) as f64;
        let holders = self.holders.holders_of(now, prefix);
        let mut ranked: Vec<_> = candidates.iter().collect();
        ranked.sort_by_cached_key(|candidate| {
            let instance = &self.upstreams[candidate.index].upstream.instance;
            (!holders.contains(instance), std::cmp::Reverse(affinity::rank(instance, prefix)))
        });
        let mut first = ranked.into_iter().take(affinity::MAX_CANDIDATES);
        first.find(|candidate| affinity::is_within_bound(candidate.utilization, mean)).copied()
    }

    fn check_outliers(&mut self, now: clock::Instant) {
        if now.since(self.last_outlier_check) < OUTLIER_CHECK_INTERVAL {
            return;
        }
        self.last_outlier_check = now;
        let records = self.upstreams.iter_mut().map(|state| {
            let ages = state.in_flight_ages(now);
            (&mut state.record, ages)
        });
        let mut records: Vec<_> = records.collect();
        for index in ejection::eject_outliers(now, &mut records) {
            let state = &mut self.upstreams[index];
            state.slow_start = Some(slow_start::SlowStart::new(now, state.upstream.concurrency));
        }
    }
}

impl State {
    fn in_flight_ages(&self, now: clock::Instant) -> ejection::Ages {
        let mut ages = ejection::Ages::default();
        for attempt in self.in_flight.values() {
            let waited = now.since(attempt.sent_at);
            let per_token = waited.as_secs_f64() / f64::from(attempt.cost.max(1));
            ages.response = ages.response.max(per_token);
            if !attempt.is_responding && waited >= ejection::MIN_SILENCE {
                ages.start_wait = ages.start_wait.max(per_token);
            }
        }
        ages
    }

    fn on_attempt_ended(&mut self, now: clock::Instant, dispatch: &Dispatch, outcome: Outcome) {
        self.load.in_flight = self.load.in_flight.saturating_sub(1);
        let elapsed = now.since(dispatch.sent_at);
        let (feedback, slow_start_outcome) = match outcome {
            Outcome::Completed => {
                self.record.on_completion(now, elapsed, dispatch.cost);
                (limit::Feedback::Completed, slow_start::Outcome::Completed)
            }
            Outcome::Failed => {
                self.record.on_failure(now, dispatch.sent_at);
                (limit::Feedback::Overloaded, slow_start::Outcome::Failed)
            }
            Outcome::Rejected(_) | Outcome::Cancelled => {
                (limit::Feedback::Neutral, slow_start::Outcome::Neutral)
            }
        };
        self.limit.on_attempt_ended(
            now,
            dispatch.sent_at,
            dispatch.cost,
            self.load.in_flight,
            feedback,
        );
        let Some(slow_start) = &mut self.slow_start else { return };
        slow_start.on_request_ended(now, dispatch.sent_at, dispatch.cost, slow_start_outcome);
        if slow_start.is_warm() {
            self.slow_start = None;
        }
    }
}
