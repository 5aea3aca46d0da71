//! Counts of a pool's groups, kept while a plan is carried out.
//!
//! Counted anew for each question, a plan compares every candidate with every group: with hundreds of
//! engines that takes longer than the leader's lease lasts.

use super::Groups;
use super::group::{Group, Stage};
use super::planning::Scene;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest wait for the members of a group that leaves, before an engine is taken in their place
/// that has the model only on its host. That engine needs more than a second to take the weights
/// up; the members, once they have left, need 0.2 s, and they leave within two trips of a message.
const MAX_MEMBER_WAIT: Duration = Duration::from_millis(300);

/// A model in a domain.
pub(super) type Place = (name::Domain, name::Model);

/// Counts of groups that serve or will in a moment.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Of each model, those whose heads are in zones that are in.
    serving: BTreeMap<name::Model, usize>,
    /// Of each model in each domain, whatever their zones.
    placed: BTreeMap<Place, usize>,
    /// Where members of a group are about to be free.
    freeing: BTreeSet<Place>,
}

impl Tally {
    /// Groups of the model that serve or will in a moment.
    pub(super) fn serving(&self, model: &name::Model) -> usize {
        self.serving.get(model).copied().unwrap_or_default()
    }

    /// Groups of the model in the domain that serve or will in a moment.
    pub(super) fn placed(&self, place: &Place) -> usize {
        self.placed.get(place).copied().unwrap_or_default()
    }

    /// Whether members of the model are about to be free in the domain.
    pub(super) fn frees_members(&self, place: &Place) -> bool {
        self.freeing.contains(place)
    }

    /// Counts a group that was formed.
    pub(super) fn add(&mut self, place: Place) {
        *self.serving.entry(place.1.clone()).or_default() += 1;
        *self.placed.entry(place).or_default() += 1;
    }

    fn count(&mut self, now: clock::Instant, group: &Group, is_in: bool) {
        let place = || (group.domain.clone(), group.model.clone());
        if group.stage.counts() {
            *self.serving.entry(group.model.clone()).or_default() += usize::from(is_in);
            *self.placed.entry(place()).or_default() += 1;
        } else if group.stage == Stage::Leaving && now.since(group.since) < MAX_MEMBER_WAIT {
            self.freeing.insert(place());
        }
    }
}

impl Groups {
    /// Counts the groups of the scene's pool.
    pub(super) fn tally(&self, scene: &Scene<'_>) -> Tally {
        let mut tally = Tally::default();
        for group in self.groups.values().filter(|group| group.pool == *scene.pool) {
            tally.count(scene.now, group, scene.is_in(group));
        }
        tally
    }
}
