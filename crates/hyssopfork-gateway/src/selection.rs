//! Choice of an upstream for a request, or of rejection.
//!
//! Of the upstreams with room, the request goes to the one with the smallest part of its
//! [`limit`](crate::limit) taken, one of the own zone or one that this process prefers among equals. Late
//! requests leave room for those that can be in time: otherwise requests queue at upstreams until all
//! are served late. Where no upstream has room, the request is rejected at once with a `Retry-After`.

use crate::{load, target};
use hyssopfork_fleet::view;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Part of its slots beyond its limit that an upstream takes of requests that were accepted before
/// and lost their upstream: to refuse them would break off what their callers have.
const RETRY_OVERSHOOT: f64 = 0.5;

/// Part of its limit that an upstream reserves for requests that can still be answered on time.
/// Otherwise retries of rejected requests, which are late already, displace these.
const RESERVED_FOR_ON_TIME: f64 = 0.25;

/// Deviations of the estimate that are kept free: what is sent to an upstream that is fuller than it
/// seems waits there until it is late.
const UNCERTAINTY_FACTOR: f64 = 0.3;

/// Part of its slots by which an upstream of another zone must be emptier to go first: traffic
/// between zones costs, but less than a late answer.
const ZONE_PREFERENCE: f64 = 0.06;

/// Part of its slots by which an upstream of which nothing is known must be emptier to go first, where
/// it is last in this process's order of preference. Each process prefers different ones: it gets their
/// reports again and again, and has connections to them.
const AFFINITY: f64 = 1.0;

/// Time for which an upstream that the leader doesn't hear counts as good after it has answered.
const RECENT_RESPONSE_TIME: Duration = Duration::from_secs(2);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Pool.
    pub pool: &'a name::Pool,
    /// Model; `None` for a plain service.
    pub model: Option<&'a name::Model>,
    /// Zone of this process.
    pub zone: &'a name::Zone,
    /// Upstreams that it was sent to before.
    pub excluded: &'a [name::Instance],
    /// How it stands.
    pub priority: Priority,
}

/// How a request stands, which decides how much room must be left for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Its answer can still begin in time.
    #[strum(serialize = "in_time")]
    OnTime,
    /// Its answer will be late: it is a retry of a rejected request.
    Late,
    /// It was accepted before and goes on elsewhere.
    #[strum(serialize = "again")]
    Retry,
}

/// What bounds the choice for all requests.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Zones that are out.
    pub excluded_zones: &'a BTreeSet<name::Zone>,
    /// What the upstreams of the pool and model have on average.
    pub average: load::Average,
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// This upstream.
    Selected(name::Instance),
    /// None has room.
    Full {
        /// When one will.
        wait: Duration,
        /// The one that came closest; `None` where none could be asked at all.
        best: Option<name::Instance>,
    },
    /// There is none.
    NoUpstream,
}

/// Preference among upstreams that may be taken: each class before the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    Healthy,
    Unhealthy,
    Stalled,
}

/// Chooses among the targets.
pub fn select(
    now: clock::Instant,
    targets: &BTreeMap<name::Instance, target::Target>,
    query: Query<'_>,
    constraints: Constraints<'_>,
) -> Selection {
    let fits = |(instance, target): &(&name::Instance, &target::Target)| {
        target.pool == *query.pool
            && target.model.as_ref() == query.model
            && !query.excluded.contains(instance)
            && !constraints.excluded_zones.contains(&target.zone)
            && target.standing != view::Standing::Leaving
    };
    let open = |(_, target): &(&name::Instance, &target::Target)| {
        let silent = target.standing == view::Standing::Silent;
        !target.health.is_backing_off(now)
            && (!silent || target.health.has_responded_within(now, RECENT_RESPONSE_TIME))
    };
    let candidates: Vec<_> = targets.iter().filter(fits).collect();
    let usable: Vec<Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| open(candidate))
        .filter(|(_, target)| is_within_rate(now, target))
        .map(|(instance, target)| Candidate::new(now, instance, target, query, constraints))
        .collect();
    let class = usable.iter().map(|candidate| candidate.condition).min();
    let wanted = usable.iter().filter(|candidate| Some(candidate.condition) == class);
    let free = wanted.clone().filter(|candidate| candidate.excess <= 0.0);
    let first = free.min_by(|left, right| left.score.total_cmp(&right.score));
    if let Some(candidate) = first {
        return Selection::Selected(candidate.instance.clone());
    }
    if candidates.is_empty() {
        return Selection::NoUpstream;
    }
    let best = wanted.min_by_key(|candidate| candidate.wait);
    let limited = candidates.iter().filter(|candidate| open(candidate));
    let limited = limited.map(|(_, target)| target.rate_limit_delay(now)).min();
    Selection::Full {
        wait: best.map_or(limited.unwrap_or_default(), |candidate| candidate.wait),
        best: best.map(|candidate| candidate.instance.clone()),
    }
}

/// An upstream that can be asked.
struct Candidate<'a> {
    instance: &'a name::Instance,
    condition: Condition,
    score: f64,
    /// Requests that it would have beyond what it may have.
    excess: f64,
    /// Time until it has room.
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
        let room = match query.priority {
            Priority::OnTime => 0.0,
            Priority::Late => -target.limit.get() * RESERVED_FOR_ON_TIME,
            Priority::Retry => target.load.slots() * RETRY_OVERSHOOT,
        };
        let doubt = target.load.deviation(now, constraints.average) * UNCERTAINTY_FACTOR;
        let excess = load + 1.0 + doubt - target.limit.get() - room;
        Candidate {
            instance,
            condition: condition(now, target),
            score: score(now, target, load, query.zone, constraints),
            excess,
            wait: Duration::from_secs_f64(excess.max(0.0) / target.load.throughput()),
        }
    }
}

/// Whether the upstream bears another request now.
fn is_within_rate(now: clock::Instant, target: &target::Target) -> bool {
    let warm = target.slow_start_share.is_none_or(|part| target.recent_sends.has_room(now, part));
    warm && target.rate_limit_delay(now).is_zero()
}

fn condition(now: clock::Instant, target: &target::Target) -> Condition {
    if target.is_stalled(now) {
        Condition::Stalled
    } else if target.suspected || target.health.is_outlier(now) {
        Condition::Unhealthy
    } else {
        Condition::Healthy
    }
}

/// Part of the limit that is taken, with what makes the upstream less welcome than others.
fn score(
    now: clock::Instant,
    target: &target::Target,
    load: f64,
    zone: &name::Zone,
    constraints: Constraints<'_>,
) -> f64 {
    let elsewhere = if target.zone == *zone { 0.0 } else { ZONE_PREFERENCE };
    // Who has several requests at each upstream knows all of them.
    let unknown = (1.0 - target.load.freshness(now)) / (1.0 + constraints.average.own.mean());
    load / target.limit.get() + elsewhere + target.preference * unknown * AFFINITY
}
