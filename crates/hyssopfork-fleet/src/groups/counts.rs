//! Counts of a pool's groups, computed once per planning pass.
//!
//! Counting anew for each query would compare every candidate with every group, which takes longer
//! than the leader's lease with hundreds of engines.

use super::group::{Group, Phase};
use super::lifecycle::IDLE_CLOSE_DELAY;
use super::planner::Context;
use super::{Groups, plan};
use crate::registry;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Longest time to wait for the members of a leaving group before engines that have the model only
/// on their hosts are used instead. Such an engine needs more than a second to load the weights from
/// its host; the members need 0.2 s once they have left, and they leave within two message trips.
const MAX_LEAVING_WAIT: Duration = Duration::from_millis(300);

/// A domain and a model.
pub(super) type Key = (name::Domain, name::Model);

/// Counts of groups that serve or are about to.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Groups of each model whose heads are in no zone that is out.
    usable: BTreeMap<name::Model, usize>,
    /// Groups of each model in each domain, in zones that are out as well.
    by_domain: BTreeMap<Key, usize>,
    /// Domains and models with members that are about to be free.
    freeing: BTreeSet<Key>,
}

impl Counts {
    /// Groups of the model that serve or are about to, those in zones that are out left aside.
    pub(super) fn usable_groups(&self, model: &name::Model) -> usize {
        self.usable.get(model).copied().unwrap_or_default()
    }

    /// Groups of the model in the domain that serve or are about to.
    pub(super) fn groups_in_domain(&self, key: &Key) -> usize {
        self.by_domain.get(key).copied().unwrap_or_default()
    }

    /// Whether members with the model are about to be free in the domain.
    pub(super) fn is_freeing_members(&self, key: &Key) -> bool {
        self.freeing.contains(key)
    }

    /// Counts a group that was just formed.
    pub(super) fn add_group(&mut self, key: Key) {
        *self.usable.entry(key.1.clone()).or_default() += 1;
        *self.by_domain.entry(key).or_default() += 1;
    }

    fn count_group(
        &mut self,
        now: clock::Instant,
        group: &Group,
        is_usable: bool,
        is_freeing: bool,
    ) {
        let key = || (group.domain.clone(), group.model.clone());
        let max_wait = match group.phase {
            Phase::Suspended => IDLE_CLOSE_DELAY + MAX_LEAVING_WAIT,
            _ => MAX_LEAVING_WAIT,
        };
        if group.phase.is_active() {
            *self.usable.entry(group.model.clone()).or_default() += usize::from(is_usable);
            *self.by_domain.entry(key()).or_default() += 1;
        } else if is_freeing && now.since(group.phase_since) < max_wait {
            self.freeing.insert(key());
        }
    }
}

/// Number of groups of each model in each domain that serve or are about to.
pub(super) fn existing_layout<'a>(
    pool: &name::Pool,
    groups: impl Iterator<Item = &'a Group>,
) -> plan::Layout {
    let mut layout = plan::Layout::new();
    for group in groups.filter(|group| group.pool == *pool && group.phase.is_active()) {
        *layout.entry((group.domain.clone(), group.model.clone())).or_default() += 1;
    }
    layout
}

impl Groups {
    /// Whether members of the group are about to be free: it is leaving, or its head closes because
    /// another member is unresponsive.
    fn is_freeing(&self, context: &Context<'_>, group: &Group) -> bool {
        let head = context.registry.get(group.head());
        let is_closing = || {
            head.is_some_and(registry::Record::is_healthy)
                && self.failure_detector.is_idle(context.now, group.head())
        };
        match group.phase {
            Phase::Leaving => group.has_responsive_member(context.registry),
            Phase::Suspended => is_closing(),
            _ => false,
        }
    }

    /// Counts the groups of the pool that is planned.
    pub(super) fn count_groups(&self, context: &Context<'_>) -> Counts {
        let mut counts = Counts::default();
        for group in self.groups.values().filter(|group| group.pool == *context.pool) {
            let is_usable = context.is_in_active_zone(group);
            counts.count_group(context.now, group, is_usable, self.is_freeing(context, group));
        }
        counts
    }
}
