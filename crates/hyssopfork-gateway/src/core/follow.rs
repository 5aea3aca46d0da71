//! Following the fleet's view.

use super::Core;
use crate::{health, limit, load, notice, table, target};
use hyssopfork_fleet::{declaration, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::mem;
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
        if let Some(declaration) = declaration {
            self.note(notice::Notice::InForce(declaration.version));
            self.table = Some(table::Table::new(declaration));
        }
        self.declared = self.declared.max(update.declared);
        self.viewed_at = self.now;
        if update.whole {
            self.upstreams.clear();
            self.groups.clear();
        }
        view::merge(&mut self.upstreams, update.upstreams);
        view::merge(&mut self.groups, update.groups);
        self.out = update.out;
        self.entries = update.entries.max(1);
        self.rebuild();
        self.try_held();
    }

    /// Makes the targets anew; one that is the same as before keeps its record.
    fn rebuild(&mut self) {
        let mut before = mem::take(&mut self.targets);
        let mut heads: BTreeMap<&name::Instance, &view::Group> = BTreeMap::new();
        for group in self.groups.values().filter(|group| group.serving) {
            heads.extend(group.head().map(|head| (head, group)));
        }
        let Some(table) = &self.table else { return };
        for (instance, upstream) in &self.upstreams {
            let told = &upstream.announcement;
            let group = heads.get(instance);
            let engine = table.engine(&told.pool);
            if engine.is_some() && group.is_none() {
                continue;
            }
            let incarnation = target::Incarnation {
                born: told.born,
                epoch: group.map_or(0, |group| group.epoch),
                address: told.address,
            };
            let known = before.remove(instance).filter(|it| it.incarnation == incarnation);
            let slots = engine.map_or(told.slots, |engine| engine.slots);
            let mut target = known.unwrap_or_else(|| fresh(self.now, incarnation, slots, told));
            target.model = group.map(|group| group.model.clone());
            target.standing = upstream.standing;
            target.cold_until = self.now + told.cold;
            self.targets.insert(instance.clone(), target);
        }
        // Requests of this process that run at upstreams that were left out still count there
        // when these come back.
        for request in self.requests.values() {
            let Some(attempt) = &request.attempt else { continue };
            if let Some(old) = before.get(&attempt.instance)
                && let Some(target) = self.targets.get_mut(&attempt.instance)
                && old.incarnation != target.incarnation
                && old.incarnation.born == target.incarnation.born
            {
                target.load.own += 1;
            }
        }
    }
}

fn fresh(
    now: clock::Instant,
    incarnation: target::Incarnation,
    slots: u32,
    told: &hyssopfork_fleet::announcement::Announcement,
) -> target::Target {
    target::Target {
        incarnation,
        pool: told.pool.clone(),
        model: None,
        zone: told.zone.clone(),
        standing: view::Standing::Present,
        load: load::Load::new(slots),
        limit: limit::Limit::new(slots),
        health: health::Health::default(),
        recent: Default::default(),
        cold_until: now,
        moved: clock::Instant::ORIGIN,
        suspected: false,
        stalled: None,
    }
}
