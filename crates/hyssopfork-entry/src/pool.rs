//! One pool as this entry sees it: where its work can go, and what waits for it.

use crate::attempt;
use hyssopfork_policy::{choice, hedge, queue, retry};
use hyssopfork_state::upstream;
use hyssopfork_wire::{change, clock, configuration, name, number};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a pool without any upstream still takes requests in: a group is repaired or an
/// agent restarted within it, more often than not. After it, waiting is in vain.
const EMPTY_LIMIT: Duration = Duration::from_secs(2);

/// The pool.
#[derive(Debug)]
pub struct Pool {
    /// Choice of the upstream.
    pub chooser: choice::Chooser,
    /// Requests that wait, and those that were started.
    pub queue: queue::Queue,
    /// Budget for second tries.
    pub budget: retry::Budget,
    hedges: BTreeMap<configuration::Class, hedge::Hedge>,
    places: BTreeMap<name::Instance, attempt::Place>,
    version: Option<number::Version>,
    empty_since: Option<clock::Instant>,
}

impl Pool {
    /// A pool of which nothing is known, at `now`.
    pub fn new(now: clock::Instant) -> Pool {
        Pool {
            chooser: choice::Chooser::default(),
            queue: queue::Queue::default(),
            budget: retry::Budget::default(),
            hedges: BTreeMap::new(),
            places: BTreeMap::new(),
            version: None,
            empty_since: Some(now),
        }
    }

    /// Takes in what the view says of the pool `name`, when the view has moved.
    pub fn follow(&mut self, now: clock::Instant, view: &change::View, name: &name::Pool) {
        if self.version == Some(view.version) {
            return;
        }
        self.version = Some(view.version);
        for (zone, declared) in &view.configuration.zones {
            self.chooser.set_zone_evacuated(zone, declared.out);
        }
        for (team, declared) in &view.configuration.teams {
            self.queue.set_weight(team, declared.weight);
        }
        self.follow_upstreams(now, view, name);
        self.empty_since = match self.places.is_empty() {
            true => self.empty_since.or(Some(now)),
            false => None,
        };
    }

    /// Where work goes that is sent to `instance`.
    pub fn place(&self, instance: &name::Instance) -> Option<&attempt::Place> {
        self.places.get(instance)
    }

    /// Whether the pool has had no upstream for so long that waiting for one is in vain.
    pub fn is_deserted(&self, now: clock::Instant) -> bool {
        self.empty_since.is_some_and(|since| now.since(since) >= EMPTY_LIMIT)
    }

    /// Whether the pool has no upstream now.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// When to send a second copy of work of `class`.
    pub fn hedge(&mut self, class: configuration::Class) -> &mut hedge::Hedge {
        self.hedges.entry(class).or_default()
    }

    /// Whether a second copy of repeatable work of `class` that has waited for `waited` may be
    /// sent; spends from the budget when it may.
    pub fn may_hedge(&mut self, class: configuration::Class, waited: Duration) -> bool {
        let hedge = self.hedges.entry(class).or_default();
        hedge.try_hedge(true, waited, &mut self.budget)
    }

    fn follow_upstreams(&mut self, now: clock::Instant, view: &change::View, name: &name::Pool) {
        let mut before = std::mem::take(&mut self.places);
        for candidate in upstream::of_pool(view, name) {
            let place = place(&candidate);
            let known = before.remove(candidate.instance);
            // Another process or placement at the same instance starts without a record.
            if known.is_some_and(|known| known != place) {
                self.chooser.remove(candidate.instance);
            }
            let concurrency = candidate.profile.concurrency;
            let zone = candidate.zone.clone();
            let instance = candidate.instance.clone();
            self.chooser.insert(now, choice::Upstream { instance, zone, concurrency });
            self.places.insert(candidate.instance.clone(), place);
        }
        for instance in before.keys() {
            self.chooser.remove(instance);
        }
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
