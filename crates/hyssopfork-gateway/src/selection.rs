//! Load balancing: selects an upstream for a request, or rejects it.
//!
//! Of the upstreams with capacity, the request goes to the one that uses the smallest part of its
//! [`limit`](crate::concurrency_limit); among equals, to one of the own zone or one that this
//! process prefers. Requests that are already late leave capacity for those that can be on time:
//! otherwise requests queue at upstreams until all are late. If no upstream has capacity, the
//! request is rejected at once with a `Retry-After`.

use crate::{engine_model, load, pause, target};
use hyssopfork_fleet::view;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Part of its slots by which an upstream may exceed its limit for requests that were accepted
/// before and lost their upstream: rejecting them would abort responses that clients already
/// receive.
const RETRY_OVERSHOOT: f64 = 0.5;

/// Part of its limit that an upstream reserves for requests that can still be on time. Otherwise
/// retries of rejected requests, which are late already, displace these.
const RESERVED_FOR_ON_TIME: f64 = 0.25;

/// Standard deviations of the load estimate that are kept free: a request that is sent to an
/// upstream that is fuller than estimated waits there until it is late.
const UNCERTAINTY_FACTOR: f64 = 0.3;

/// Part of its limit by which an upstream of another zone must be emptier to be preferred: traffic
/// between zones has a cost, but a lower one than a late response.
const ZONE_PREFERENCE: f64 = 0.06;

/// Part of its limit by which an upstream without reports must be emptier to be preferred if it is
/// last in this process's order of preference. Each process prefers different upstreams: it
/// receives their reports frequently and has open connections to them.
const AFFINITY: f64 = 1.0;

/// Penalty of an upstream whose slots are known to be all in use: the request would wait there.
/// Larger than any difference in used parts of the limits, which each entry learns for itself.
const FULL_PENALTY: f64 = 1.0;

/// Typical age of a total of the other entries at an upstream that is nearly full.
const TOTAL_AGE: Duration = Duration::from_millis(100);

/// Time after a successful response during which an upstream is used even though the leader doesn't
/// receive its heartbeats.
const RECENT_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// Requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Pool.
    pub pool: &'a name::Pool,
    /// Model; `None` for a plain service.
    pub model: Option<&'a name::Model>,
    /// Zone of this process.
    pub zone: &'a name::Zone,
    /// Upstreams that the request has been sent to.
    pub excluded: &'a [name::Instance],
    /// Priority over other requests.
    pub priority: Priority,
    /// Prediction for the groups of the model; `None` if it has no declared performance.
    pub forecast: Option<engine_model::Forecast>,
    /// Part of the limit that is left to requests of more urgent ranks.
    pub reserve: f64,
}

/// Priority of a request, which decides how much capacity must be left for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// The response can still begin on time.
    #[strum(serialize = "in_time")]
    OnTime,
    /// The response will be late: the request is a retry of a rejected one.
    Late,
    /// The request was accepted before and is retried elsewhere.
    #[strum(serialize = "again")]
    Retry,
}

/// Constraints that are independent of the request.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Zones that are out.
    pub excluded_zones: &'a BTreeSet<name::Zone>,
    /// Pauses that upstreams have asked for.
    pub pauses: &'a pause::Pauses,
    /// Average load of the upstreams of the pool and model.
    pub average: load::Average,
}

/// Result of a selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// This upstream.
    Selected(name::Instance),
    /// No upstream has capacity.
    Full {
        /// Time until one will have capacity.
        wait: Duration,
        /// Upstream that is closest to having capacity; `None` if none is available.
        best: Option<name::Instance>,
    },
    /// Every available upstream has asked for a pause, including those that the request has been
    /// sent to.
    Paused {
        /// Time until the first pause ends.
        wait: Duration,
    },
    /// No upstream matches.
    NoUpstream,
}

/// Condition of an upstream. Upstreams in a better condition, listed first, are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Healthy,
    Unhealthy,
    Stalled,
}

/// Selects one of the targets.
pub fn select(
    now: clock::Instant,
    targets: &BTreeMap<name::Instance, target::Target>,
    query: Query<'_>,
    constraints: Constraints<'_>,
) -> Selection {
    let serves = |(_, target): &(&name::Instance, &target::Target)| {
        target.pool == *query.pool
            && target.model.as_ref() == query.model
            && !constraints.excluded_zones.contains(&target.zone)
            && target.standing != view::Status::Leaving
            && !target.is_suspended
    };
    let is_available = |(_, target): &(&name::Instance, &target::Target)| {
        let is_silent = target.standing == view::Status::Silent;
        !target.health.is_backing_off(now)
            && (!is_silent || target.health.has_responded_within(now, RECENT_RESPONSE_TIME))
    };
    let pause = |(instance, target): &(&name::Instance, &target::Target)| {
        constraints.pauses.remaining(now, instance, target.incarnation.born)
    };
    let serving: Vec<_> = targets.iter().filter(serves).collect();
    let candidates = serving.iter().filter(|(instance, _)| !query.excluded.contains(instance));
    let unpaused = candidates
        .clone()
        .filter(|candidate| is_available(candidate) && pause(candidate).is_zero());
    let usable: Vec<Candidate<'_>> = unpaused
        .clone()
        .filter(|(_, target)| is_within_rate(now, target))
        .map(|(instance, target)| Candidate::new(now, instance, target, query, constraints))
        .collect();
    let best_condition = usable.iter().map(|candidate| candidate.condition).min();
    let preferred = usable.iter().filter(|candidate| Some(candidate.condition) == best_condition);
    let with_capacity = preferred.clone().filter(|candidate| candidate.excess <= 0.0);
    let lowest = with_capacity.min_by(|left, right| left.score.total_cmp(&right.score));
    if let Some(candidate) = lowest {
        return Selection::Selected(candidate.instance.clone());
    }
    let first_pause_end = serving.iter().filter(|it| is_available(it)).map(pause).min();
    if let Some(wait) = first_pause_end.filter(|wait| !wait.is_zero()) {
        return Selection::Paused { wait };
    }
    if candidates.count() == 0 {
        return Selection::NoUpstream;
    }
    let best = preferred.min_by_key(|candidate| candidate.wait);
    let rate_limited = unpaused.map(|(_, target)| target.rate_limit_delay(now)).min();
    Selection::Full {
        wait: best.map_or(rate_limited.unwrap_or_default(), |candidate| candidate.wait),
        best: best.map(|candidate| candidate.instance.clone()),
    }
}

/// An available upstream.
struct Candidate<'a> {
    instance: &'a name::Instance,
    condition: Condition,
    score: f64,
    /// Requests beyond its capacity if it took this one.
    excess: f64,
    /// Time until it has capacity.
    wait: Duration,
}

impl<'a> Candidate<'a> {
    fn new(
        now: clock::Instant,
        instance: &'a name::Instance,
        target: &target::Target,
        query: Query<'_>,
        constraints: Constraints<'_>,
    ) -> Candidate<'a> {
        let load = target.load.estimate(now, constraints.average);
        let limit = target.limit.get_with(query.forecast.map(|forecast| forecast.limit));
        let throughput =
            query.forecast.map_or(target.load.throughput(), |forecast| forecast.throughput);
        // An idle upstream takes any request.
        let reserve = (limit * query.reserve).min(limit - 1.0);
        let allowance = match query.priority {
            Priority::OnTime => -reserve,
            Priority::Late => -limit * RESERVED_FOR_ON_TIME - reserve,
            Priority::Retry => target.load.slots() * RETRY_OVERSHOOT,
        };
        let margin = target.load.deviation(now, constraints.average) * UNCERTAINTY_FACTOR;
        // A stream that lost its upstream is aborted if it is rejected, and only preempted at worst if
        // the memory is exhausted.
        let memory =
            query.forecast.and_then(|it| it.memory).filter(|_| query.priority != Priority::Retry);
        let memory_excess =
            memory.map(|it| it.excess(target.load.own_requests, target.load.own_tokens, load));
        let excess = load + 1.0 + margin - limit - allowance;
        let excess = memory_excess.map_or(excess, |memory_excess| excess.max(memory_excess));
        Candidate {
            instance,
            condition: condition(now, instance, target, constraints.pauses),
            score: score(now, target, load / limit, query.zone, constraints),
            excess,
            wait: Duration::from_secs_f64(excess.max(0.0) / throughput),
        }
    }
}

/// Whether slow start and the rate limit allow another request now.
fn is_within_rate(now: clock::Instant, target: &target::Target) -> bool {
    target.is_within_slow_start(now) && target.rate_limit_delay(now).is_zero()
}

fn condition(
    now: clock::Instant,
    instance: &name::Instance,
    target: &target::Target,
    pauses: &pause::Pauses,
) -> Condition {
    let has_trial = pauses.has_trial(instance, target.incarnation.born);
    if target.is_stalled(now) {
        Condition::Stalled
    } else if target.suspected || target.health.is_outlier(now) || has_trial {
        Condition::Unhealthy
    } else {
        Condition::Healthy
    }
}

/// The used part of the limit, plus penalties that make the upstream less preferred.
fn score(
    now: clock::Instant,
    target: &target::Target,
    used: f64,
    zone: &name::Zone,
    constraints: Constraints<'_>,
) -> f64 {
    let zone_penalty = if target.zone == *zone { 0.0 } else { ZONE_PREFERENCE };
    let spread = if target.load.total(now).is_some() {
        // All entries know which upstream is the emptiest, and would all send there until they
        // receive the next total. The preference spreads these requests.
        (target.load.turnover(TOTAL_AGE) * constraints.average.own.upstreams as f64).min(AFFINITY)
    } else {
        // A process with several requests at each upstream has recent information about all of
        // them.
        (1.0 - target.load.freshness(now)) / (1.0 + constraints.average.own.mean()) * AFFINITY
    };
    let full_penalty = if target.load.is_known_full(now) { FULL_PENALTY } else { 0.0 };
    used + zone_penalty + target.preference * spread + full_penalty
}
