//! Following the fleet's view.

use super::Core;
use crate::{cold, health, limit, load, notice, rendezvous, request, table, target};
use hyssopfork_fleet::{declaration, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Age of the view from which on it may lack a declaration that is due to be in force here: a leader
/// is heard of each 0.4 s, and a change is in force everywhere two seconds after its acknowledgement.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

impl Core {
    /// Whether a newer declaration than the one held may be in force. What this one lacks is then no
    /// reason to tell a caller that it doesn't exist.
    pub(super) fn may_be_outdated(&self) -> bool {
        let held = self.table.as_ref().map_or(0, |table| table.declaration().version);
        held < self.declared || self.now.since(self.viewed_at) >= MAX_VIEW_AGE
    }

    pub(super) fn viewed(
        &mut self,
        update: view::Update,
        declaration: Option<Arc<declaration::Declaration>>,
    ) {
        let redeclared = declaration.is_some();
        if let Some(declaration) = declaration {
            self.note(notice::Notice::InForce(declaration.version));
            self.table = Some(table::Table::new(declaration));
        }
        self.declared = self.declared.max(update.declared_version);
        self.viewed_at = self.now;
        let redraws = update.is_full || redeclared;
        if update.is_full {
            self.upstreams.clear();
            self.groups.clear();
            self.heads.clear();
            self.entries.clear();
        }
        self.quarantine.follow(self.now, update.is_full, update.quarantine);
        let redivides = !update.entries.is_empty();
        view::merge(&mut self.entries, update.entries);
        self.out = update.zones_out;
        let mut changed = self.follow_groups(update.groups);
        changed.extend(self.follow_upstreams(update.upstreams));
        if redraws {
            changed.extend(self.upstreams.keys().chain(self.targets.keys()).cloned());
        }
        if redivides {
            changed.extend(self.targets.keys().cloned());
        }
        for instance in &changed {
            self.refresh(instance);
        }
        self.try_held();
    }

    /// Takes in groups that have changed; gives their heads.
    fn follow_groups(
        &mut self,
        changes: Vec<(name::Group, Option<view::Group>)>,
    ) -> BTreeSet<name::Instance> {
        let mut changed = BTreeSet::new();
        for (name, group) in changes {
            if let Some(head) = self.groups.get(&name).and_then(view::Group::head) {
                changed.insert(head.clone());
                if self.heads.get(head) == Some(&name) {
                    self.heads.remove(head);
                }
            }
            let serving = group.as_ref().filter(|group| group.serving);
            if let Some(head) = serving.and_then(view::Group::head) {
                changed.insert(head.clone());
                self.heads.insert(head.clone(), name.clone());
            }
            view::merge(&mut self.groups, [(name, group)]);
        }
        changed
    }

    /// Takes in upstreams that have changed; gives their names.
    fn follow_upstreams(
        &mut self,
        changes: Vec<(name::Instance, Option<view::Upstream>)>,
    ) -> Vec<name::Instance> {
        let changed = changes.iter().map(|(instance, _)| instance.clone()).collect();
        view::merge(&mut self.upstreams, changes);
        changed
    }

    /// Makes an upstream's target anew; one that is the same as before keeps its record.
    fn refresh(&mut self, instance: &name::Instance) {
        let before = self.targets.remove(instance);
        let (Some(table), Some(upstream)) = (&self.table, self.upstreams.get(instance)) else {
            return;
        };
        let told = &upstream.announcement;
        let group = self.heads.get(instance).and_then(|group| self.groups.get(group));
        let engine = table.engine(&told.pool);
        if engine.is_some() && group.is_none() {
            return;
        }
        let incarnation = target::Incarnation {
            born: told.start_time_ms,
            epoch: group.map_or(0, |group| group.epoch),
            address: told.address,
        };
        let known = before.filter(|it| it.incarnation == incarnation);
        let slots = engine.map_or(told.slots, |engine| engine.slots);
        let mut target = known.unwrap_or_else(|| fresh(incarnation, slots, told));
        target.model = group.map(|group| group.model.clone());
        target.standing = upstream.status;
        let key = instance.as_str().as_bytes();
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let entries = self.entry_count();
        target.preference = rank as f64 / entries as f64;
        // Cold until the leader says otherwise: it may turn cold again meanwhile.
        let rate = table.cold_rate(&told.pool).filter(|_| !told.cold.is_zero());
        target.cold_part = rate.map(|rate| cold::part(rate, rank, entries));
        if target.published_rate != upstream.rate {
            target.published_rate = upstream.rate;
            target.named.follow(self.now, upstream.rate);
        }
        target.divide_rate(rank, entries);
        // Requests that were sent before the target was left out, or its group formed anew, still run.
        let runs = |request: &&request::Request| {
            request.attempt.as_ref().is_some_and(|attempt| attempt.instance == *instance)
        };
        target.load.own = self.requests.values().filter(runs).count() as u32;
        self.targets.insert(instance.clone(), target);
    }
}

fn fresh(
    incarnation: target::Incarnation,
    slots: u32,
    told: &hyssopfork_fleet::announcement::Announcement,
) -> target::Target {
    target::Target {
        incarnation,
        pool: told.pool.clone(),
        model: None,
        zone: told.zone.clone(),
        standing: view::Status::Present,
        load: load::Load::new(slots),
        limit: limit::Limit::new(slots),
        health: health::Health::default(),
        recent: Default::default(),
        cold_part: None,
        preference: 0.0,
        named: Default::default(),
        published_rate: None,
        limiter: None,
        moved: clock::Instant::ORIGIN,
        suspected: false,
        stalled: None,
    }
}
