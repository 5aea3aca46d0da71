//! Upstreams as this entry knows them: own attempts in flight, and load that rode on answers.

use crate::attempt;
use hyssopfork_state::upstream;
use hyssopfork_wire::{change, clock, frame, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Attempts at once that an upstream gets from this entry before its load was heard.
const UNHEARD_LIMIT: u32 = 1;

/// Time for which an upstream that refused for want of room gets no more.
const PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Known {
    boot: u64,
    in_flight: u32,
    load: Option<frame::Load>,
    resume_at: clock::Instant,
}

impl Known {
    fn limit(&self) -> u32 {
        self.load.map_or(UNHEARD_LIMIT, |load| load.limit.max(UNHEARD_LIMIT))
    }
}

/// The upstreams.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    known: BTreeMap<name::Instance, Known>,
}

impl Upstreams {
    /// Chooses the upstream of `pool` with the most room, besides those in `avoid`.
    pub fn choose(
        &self,
        now: clock::Instant,
        view: &change::View,
        pool: &name::Pool,
        avoid: &BTreeSet<name::Instance>,
    ) -> Option<attempt::Place> {
        upstream::of_pool(view, pool)
            .into_iter()
            .filter(|candidate| !avoid.contains(candidate.instance))
            .filter_map(|candidate| Some((self.load(now, &candidate)?, candidate)))
            .min_by_key(|(load, _)| *load)
            .map(|(_, candidate)| place(&candidate))
    }

    /// An attempt was offered.
    pub fn offer(&mut self, place: &attempt::Place) {
        let known = self.known(place);
        known.in_flight += 1;
    }

    /// An attempt is no longer in flight.
    pub fn end(&mut self, place: &attempt::Place) {
        let known = self.known(place);
        known.in_flight = known.in_flight.saturating_sub(1);
    }

    /// The agent told its load.
    pub fn hear(&mut self, place: &attempt::Place, load: frame::Load) {
        self.known(place).load = Some(load);
    }

    /// The agent refused for want of room, or could not be reached.
    pub fn pause(&mut self, place: &attempt::Place, now: clock::Instant) {
        self.known(place).resume_at = now + PAUSE;
    }

    /// Share of its limit that is taken, in thousandths; `None` when it has no room.
    fn load(&self, now: clock::Instant, candidate: &upstream::Upstream<'_>) -> Option<u32> {
        let Some(known) = self.known.get(candidate.instance) else { return Some(0) };
        if known.boot != candidate.boot {
            return Some(0);
        }
        let room = known.in_flight < known.limit() && now >= known.resume_at;
        room.then(|| known.in_flight * 1_000 / known.limit())
    }

    fn known(&mut self, place: &attempt::Place) -> &mut Known {
        let fresh =
            Known { boot: place.boot, in_flight: 0, load: None, resume_at: clock::Instant::ORIGIN };
        let known = self.known.entry(place.instance.clone()).or_insert_with(|| fresh.clone());
        if known.boot != place.boot {
            *known = fresh;
        }
        known
    }
}

fn place(candidate: &upstream::Upstream<'_>) -> attempt::Place {
    attempt::Place {
        instance: candidate.instance.clone(),
        traffic: candidate.traffic,
        boot: candidate.boot,
        group: candidate.group.map(|(group, fence)| (group.clone(), fence)),
        resumes: candidate.profile.resumes,
    }
}
