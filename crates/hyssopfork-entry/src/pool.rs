//! A pool as seen by this entry: its upstreams and its queue.

use crate::attempt;
use hyssopfork_policy::{choice, hedge, queue, retry};
use hyssopfork_state::upstream;
use hyssopfork_wire::{change, clock, configuration, name, number};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a pool without upstreams still accepts requests. A group is usually repaired, or
/// an agent restarted, within it; after it, waiting is unlikely to help.
const EMPTY_POOL_TIMEOUT: Duration = Duration::from_secs(2);

/// A pool.
#[derive(Debug)]
pub struct Pool {
    /// Chooses the upstream.
    pub chooser: choice::Chooser,
    /// Queued requests, and those that were dispatched.
    pub queue: queue::Queue,
    /// Budget for retries and hedges.
    pub retry_budget: retry::Budget,
    hedges: BTreeMap<configuration::Class, hedge::Hedge>,
    destinations: BTreeMap<name::Instance, attempt::Destination>,
    view_version: Option<number::Version>,
    empty_since: Option<clock::Instant>,
}

impl Pool {
    /// An empty pool, created at `now`.
    pub fn new(now: clock::Instant) -> Pool {
        Pool {
            chooser: choice::Chooser::default(),
            queue: queue::Queue::default(),
            retry_budget: retry::Budget::default(),
            hedges: BTreeMap::new(),
            destinations: BTreeMap::new(),
            view_version: None,
            empty_since: Some(now),
        }
    }

    /// Applies what the view says about the pool `name`, if the view has changed.
    pub fn apply_view(&mut self, now: clock::Instant, view: &change::View, name: &name::Pool) {
        if self.view_version == Some(view.version) {
            return;
        }
        self.view_version = Some(view.version);
        for (zone, declared) in &view.configuration.zones {
            self.chooser.set_zone_evacuated(zone, declared.out);
        }
        for (team, declared) in &view.configuration.teams {
            self.queue.set_weight(team, declared.weight);
        }
        self.apply_upstreams(now, view, name);
        self.empty_since = match self.destinations.is_empty() {
            true => self.empty_since.or(Some(now)),
            false => None,
        };
    }

    /// Destination of work that is sent to `instance`.
    pub fn destination(&self, instance: &name::Instance) -> Option<&attempt::Destination> {
        self.destinations.get(instance)
    }

    /// Whether the pool has been without upstreams for so long that it no longer accepts requests.
    pub fn is_unavailable(&self, now: clock::Instant) -> bool {
        self.empty_since.is_some_and(|since| now.since(since) >= EMPTY_POOL_TIMEOUT)
    }

    /// Whether the pool has no upstream now.
    pub fn is_empty(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Hedging state of `class`, which decides when a second attempt is sent.
    pub fn hedge(&mut self, class: configuration::Class) -> &mut hedge::Hedge {
        self.hedges.entry(class).or_default()
    }

    /// Whether a second attempt may be sent for repeatable work of `class` that has waited for
    /// `waited`; spends from the retry budget when it may.
    pub fn try_hedge(&mut self, class: configuration::Class, waited: Duration) -> bool {
        let hedge = self.hedges.entry(class).or_default();
        hedge.try_hedge(true, waited, &mut self.retry_budget)
    }

    fn apply_upstreams(&mut self, now: clock::Instant, view: &change::View, name: &name::Pool) {
        let mut previous = std::mem::take(&mut self.destinations);
        for candidate in upstream::of_pool(view, name) {
            let destination = destination_of(&candidate);
            let previous_destination = previous.remove(candidate.instance);
            // Statistics don't carry over to another process or placement on the same instance.
            if previous_destination.is_some_and(|previous| previous != destination) {
                self.chooser.remove(candidate.instance);
            }
            let concurrency = candidate.profile.concurrency;
            let zone = candidate.zone.clone();
            let instance = candidate.instance.clone();
            self.chooser.insert(now, choice::Upstream { instance, zone, concurrency });
            self.destinations.insert(candidate.instance.clone(), destination);
        }
        for instance in previous.keys() {
            self.chooser.remove(instance);
        }
    }
}

fn destination_of(candidate: &upstream::Upstream<'_>) -> attempt::Destination {
    attempt::Destination {
        instance: candidate.instance.clone(),
        traffic_address: candidate.traffic,
        boot: candidate.boot,
        group: candidate.group.map(|(group, fence)| (group.clone(), fence)),
        can_resume: candidate.profile.resumes,
    }
}
