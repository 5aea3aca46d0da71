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
const DOUBT: f64 = 0.3;

/// Part of its slots by which an upstream of another zone must be emptier to go first: traffic
/// between zones costs, but less than a late answer.
const ZONE_PREFERENCE: f64 = 0.06;

/// Part of its slots by which an upstream of which nothing is known must be emptier to go first, where
/// it is last in this process's order of preference. Each process prefers different ones: it gets their
/// reports again and again, and has connections to them.
const AFFINITY: f64 = 1.0;

/// Time for which an upstream that the leader doesn't hear counts as good after it has answered.
const VOUCHED: Duration = Duration::from_secs(2);

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Pool.
    pub pool: &'a name::Pool,
    /// Model; `None` for a plain service.
    pub model: Option<&'a name::Model>,
    /// Zone of this process.
    pub zone: &'a name::Zone,
    /// Upstreams that it was sent to before.
    pub excluded: &'a [name::Instance],
    /// How it stands.
    pub standing: Standing,
}

/// How a request stands, which decides how much room must be left for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Its answer can still begin in time.
    InTime,
    /// Its answer will be late: it is a retry of a rejected request.
    Late,
    /// It was accepted before and goes on elsewhere.
    Again,
}

/// What bounds the choice for all requests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    /// Zones that are out.
    pub out: &'a BTreeSet<name::Zone>,
    /// What the upstreams of the pool and model have on average.
    pub average: load::Average,
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This upstream.
    Take(name::Instance),
    /// None has room.
    Full {
        /// When one will.
        wait: Duration,
        /// The one that came closest; `None` where none could be asked at all.
        best: Option<name::Instance>,
    },
    /// There is none.
    Nobody,
}

/// Preference among upstreams that may be taken: each class before the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Sound,
    Sick,
    Stalled,
}

/// Chooses among the targets.
pub fn choose(
    now: clock::Instant,
    targets: &BTreeMap<name::Instance, target::Target>,
    want: Want<'_>,
    bounds: Bounds<'_>,
) -> Choice {
    let fits = |(instance, target): &(&name::Instance, &target::Target)| {
        target.pool == *want.pool
            && target.model.as_ref() == want.model
            && !want.excluded.contains(instance)
            && !bounds.out.contains(&target.zone)
            && target.standing != view::Status::Leaving
    };
    let open = |(_, target): &(&name::Instance, &target::Target)| {
        let silent = target.standing == view::Status::Silent;
        !target.health.is_away(now) && (!silent || target.health.answered_within(now, VOUCHED))
    };
    let candidates: Vec<_> = targets.iter().filter(fits).collect();
    let usable: Vec<Candidate<'_>> = candidates
        .iter()
        .filter(|candidate| open(candidate))
        .filter(|(_, target)| bears(now, target))
        .map(|(instance, target)| Candidate::new(now, instance, target, want, bounds))
        .collect();
    let class = usable.iter().map(|candidate| candidate.class).min();
    let wanted = usable.iter().filter(|candidate| Some(candidate.class) == class);
    let free = wanted.clone().filter(|candidate| candidate.excess <= 0.0);
    let first = free.min_by(|left, right| left.score.total_cmp(&right.score));
    if let Some(candidate) = first {
        return Choice::Take(candidate.instance.clone());
    }
    if candidates.is_empty() {
        return Choice::Nobody;
    }
    let best = wanted.min_by_key(|candidate| candidate.wait);
    let limited = candidates.iter().filter(|candidate| open(candidate));
    let limited = limited.map(|(_, target)| target.wait(now)).min();
    Choice::Full {
        wait: best.map_or(limited.unwrap_or_default(), |candidate| candidate.wait),
        best: best.map(|candidate| candidate.instance.clone()),
    }
}

/// An upstream that can be asked.
struct Candidate<'a> {
    instance: &'a name::Instance,
    class: Class,
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
        want: Want<'_>,
        bounds: Bounds<'_>,
    ) -> Candidate<'a> {
        let load = target.load.estimate(now, bounds.average);
        let room = match want.standing {
            Standing::InTime => 0.0,
            Standing::Late => -target.limit.get() * RESERVED_FOR_ON_TIME,
            Standing::Again => target.load.slots() * RETRY_OVERSHOOT,
        };
        let doubt = target.load.deviation(now, bounds.average) * DOUBT;
        let excess = load + 1.0 + doubt - target.limit.get() - room;
        Candidate {
            instance,
            class: class(now, target),
            score: score(now, target, load, want.zone, bounds),
            excess,
            wait: Duration::from_secs_f64(excess.max(0.0) / target.load.pace()),
        }
    }
}

/// Whether the upstream bears another request now.
fn bears(now: clock::Instant, target: &target::Target) -> bool {
    let warm = target.cold_part.is_none_or(|part| target.recent.has_room(now, part));
    warm && target.wait(now).is_zero()
}

fn class(now: clock::Instant, target: &target::Target) -> Class {
    if target.is_stalled(now) {
        Class::Stalled
    } else if target.suspected || target.health.is_sick(now) {
        Class::Sick
    } else {
        Class::Sound
    }
}

/// Part of the limit that is taken, with what makes the upstream less welcome than others.
fn score(
    now: clock::Instant,
    target: &target::Target,
    load: f64,
    zone: &name::Zone,
    bounds: Bounds<'_>,
) -> f64 {
    let elsewhere = if target.zone == *zone { 0.0 } else { ZONE_PREFERENCE };
    // Who has several requests at each upstream knows all of them.
    let unknown = (1.0 - target.load.freshness(now)) / (1.0 + bounds.average.own.plain_mean());
    load / target.limit.get() + elsewhere + target.preference * unknown * AFFINITY
}
