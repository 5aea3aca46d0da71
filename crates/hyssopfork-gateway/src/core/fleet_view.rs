//! Updates of the fleet's view.

use super::Core;
use crate::{
    concurrency_limit, health, load, notice, occupancy, rate_limit, readiness, rendezvous, request,
    routing, slow_start, target,
};
use hyssopfork_fleet::{declaration, quarantine, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeSet;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

/// Time since the last confirmation after which a declaration may be in force that this process does
/// not know of. A watch is held for up to 0.4 s, so a confirmation is 0.8 s old at most while the
/// leader answers; a change is in force everywhere two seconds after its acknowledgement.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_500);

/// Key of the order of the entries in which the retry budget is divided.
const RETRY_BUDGET_KEY: &[u8] = b"retry budget";

impl Core {
    /// Whether a newer declaration than the local one may be in force. A client must not be told
    /// that something doesn't exist because the local declaration lacks it.
    pub(super) fn may_be_stale(&self) -> bool {
        self.unready().is_some()
    }

    /// What this process lacks to decide by its declaration; `None` if that is known to be in force.
    pub(super) fn unready(&self) -> Option<readiness::Unready> {
        let version = self.declared_version();
        let unconfirmed = self.now.since(self.confirmed_at);
        let missing = if self.table.is_none() {
            match self.confirmed_at > self.started_at || self.newest_version > 0 {
                true => readiness::Missing::Declaration,
                false => readiness::Missing::View,
            }
        } else if version < self.newest_version {
            readiness::Missing::NewerDeclaration
        } else if unconfirmed >= MAX_CONFIRMATION_AGE {
            readiness::Missing::Confirmation
        } else {
            return None;
        };
        let newest_version = self.newest_version;
        Some(readiness::Unready { missing, version, newest_version, unconfirmed })
    }

    /// Logs that the declaration may be out of date. Requests are served by it as before.
    pub(super) fn report_leader_silence(&mut self) {
        let time = self.now.since(self.confirmed_at);
        let Some(report) = self.silence_monitor.on_tick(self.now, time) else { return };
        let (version, newest_version) = (self.declared_version(), self.newest_version);
        let unconfirmed = readiness::Unconfirmed { version, newest_version, time };
        self.log(match report {
            readiness::Report::Silent => notice::Notice::LeaderSilent(unconfirmed),
            readiness::Report::Restored => notice::Notice::LeaderRestored(unconfirmed),
        });
    }

    /// Version of the local declaration; 0 for none.
    fn declared_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.declaration().version)
    }

    pub(super) fn on_version_confirmed(
        &mut self,
        confirmed_at: clock::Instant,
        newest_version: u64,
    ) {
        let was_stale = self.may_be_stale();
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
        self.newest_version = self.newest_version.max(newest_version);
        if was_stale && !self.may_be_stale() {
            self.retry_queued();
        }
    }

    pub(super) fn on_declared(&mut self, declaration: Arc<declaration::Declaration>) {
        self.install_declaration(declaration);
        let known: BTreeSet<_> =
            self.upstreams.keys().chain(self.targets.keys()).cloned().collect();
        self.rebuild_targets(&known);
        self.retry_queued();
        self.scheduling.on_capacity_changed();
    }

    fn install_declaration(&mut self, declaration: Arc<declaration::Declaration>) {
        self.log(notice::Notice::InForce(declaration.version));
        let table = routing::Table::new(declaration);
        self.costs.on_table(&table);
        self.table = Some(table);
    }

    fn rebuild_targets(&mut self, instances: &BTreeSet<name::Instance>) {
        for instance in instances {
            self.rebuild_target(instance);
        }
        if !instances.is_empty() {
            self.update_sharing();
        }
    }

    pub(super) fn on_view_updated(
        &mut self,
        update: view::Update,
        declaration: Option<Arc<declaration::Declaration>>,
    ) {
        let has_new_declaration = declaration.is_some();
        if let Some(declaration) = declaration {
            self.install_declaration(declaration);
        }
        self.newest_version = self.newest_version.max(update.declared_version);
        let rebuild_all = update.is_full || has_new_declaration;
        if update.is_full {
            self.upstreams.clear();
            for group in mem::take(&mut self.groups).into_values() {
                self.unavailable_since.entry(group.epoch).or_insert(self.now);
            }
            self.groups_by_head.clear();
            self.entries.clear();
        }
        self.quarantine.on_published(self.now, update.is_full, update.quarantine);
        let entries_changed = !update.entries.is_empty();
        view::merge(&mut self.entries, update.entries);
        let is_listed = self.entries.contains_key(&self.settings.address);
        self.members.on_view(self.now, self.confirmed_at, self.entries.len(), is_listed);
        self.excluded_zones = update.zones_out;
        let mut changed = self.apply_groups(update.groups);
        changed.extend(self.apply_upstreams(update.upstreams));
        if rebuild_all {
            changed.extend(self.upstreams.keys().chain(self.targets.keys()).cloned());
        }
        if entries_changed {
            let address = self.settings.address;
            self.retry_rank = rendezvous::rank(address, self.entries.keys(), RETRY_BUDGET_KEY);
            changed.extend(self.targets.keys().cloned());
        }
        self.rebuild_targets(&changed);
        if changed.is_empty() && entries_changed {
            self.update_sharing();
        }
        self.retry_queued();
        self.scheduling.on_capacity_changed();
    }

    /// Applies changes of groups and returns their heads.
    fn apply_groups(
        &mut self,
        changes: Vec<(name::Group, Option<view::Group>)>,
    ) -> BTreeSet<name::Instance> {
        let mut changed = BTreeSet::new();
        for (name, group) in changes {
            if let Some(head) = self.groups.get(&name).and_then(view::Group::head) {
                changed.insert(head.clone());
                if self.groups_by_head.get(head) == Some(&name) {
                    self.groups_by_head.remove(head);
                }
            }
            // A suspended group may go on, and its target keeps its state.
            let open = group.as_ref().filter(|group| group.is_serving() || group.is_suspended());
            if let Some(head) = open.and_then(view::Group::head) {
                changed.insert(head.clone());
                self.groups_by_head.insert(head.clone(), name.clone());
            }
            self.record_availability(&name, group.as_ref());
            view::merge(&mut self.groups, [(name, group)]);
        }
        changed
    }

    /// Records since when the epoch of a group that changes has been lost, suspended or missing.
    fn record_availability(&mut self, name: &name::Group, changed: Option<&view::Group>) {
        let is_available = |group: &&view::Group| !group.is_lost() && !group.is_suspended();
        let available = changed.filter(is_available).map(|group| group.epoch);
        let previous = self.groups.get(name).map(|group| group.epoch);
        let epochs = previous.into_iter().chain(changed.map(|group| group.epoch));
        for epoch in epochs.filter(|epoch| Some(*epoch) != available) {
            self.unavailable_since.entry(epoch).or_insert(self.now);
        }
        if let Some(epoch) = available {
            self.unavailable_since.remove(&epoch);
        }
    }

    /// Forgets epochs that no request is in flight at.
    pub(super) fn expire_unavailable_epochs(&mut self) {
        let attempts = self.requests.values().filter_map(|request| request.attempt.as_ref());
        let epochs: BTreeSet<u64> = attempts.map(|attempt| attempt.incarnation.epoch).collect();
        self.unavailable_since.retain(|epoch, _| epochs.contains(epoch));
    }

    /// Applies changes of upstreams and returns their names.
    fn apply_upstreams(
        &mut self,
        changes: Vec<(name::Instance, Option<view::Upstream>)>,
    ) -> Vec<name::Instance> {
        let changed = changes.iter().map(|(instance, _)| instance.clone()).collect();
        view::merge(&mut self.upstreams, changes);
        changed
    }

    /// Rebuilds the target of an upstream. It keeps its state if process and group are the same.
    fn rebuild_target(&mut self, instance: &name::Instance) {
        let previous = self.targets.remove(instance);
        let (Some(table), Some(upstream)) = (&self.table, self.upstreams.get(instance)) else {
            return;
        };
        let announcement = &upstream.announcement;
        let group = self.groups_by_head.get(instance).and_then(|group| self.groups.get(group));
        let engine = table.engine(&announcement.pool);
        if engine.is_some() && group.is_none() {
            return;
        }
        let incarnation = target::Incarnation {
            born: announcement.start_time_ms,
            epoch: group.map_or(0, |group| group.epoch),
            address: announcement.address,
        };
        let retained = previous.filter(|it| it.incarnation == incarnation);
        let slots = engine.map_or(announcement.slots, |engine| engine.slots);
        let mut target =
            retained.unwrap_or_else(|| self.new_target(instance, incarnation, slots, announcement));
        target.model = group.map(|group| group.model.clone());
        target.set_suspended(group.is_some_and(view::Group::is_suspended));
        let process = quarantine::Process {
            instance: instance.clone(),
            start_time_ms: announcement.start_time_ms,
        };
        let is_leaving = self.leaving.contains(&process);
        target.standing = if is_leaving { view::Status::Leaving } else { upstream.status };
        let key = instance.as_str().as_bytes();
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let entries = self.entry_count();
        target.preference = rank as f64 / entries as f64;
        // The upstream stays cold until the leader says otherwise: it may become cold again
        // meanwhile.
        let rate = table.cold_rate(&announcement.pool).filter(|_| !announcement.cold.is_zero());
        let divisor = self.members.divisor(self.now, slow_start::WINDOW);
        target.slow_start_share = rate.map(|rate| slow_start::entry_share(rate, rank, divisor));
        if target.published_rate != upstream.rate {
            target.published_rate = upstream.rate;
            target.named_rate.on_published(self.now, upstream.rate);
        }
        target.update_rate_share(self.now, rank, &self.members);
        // Requests that were sent before the target was removed, or before its group was formed
        // again, are still in flight.
        let attempts = self.requests.values().filter_map(|request| request.attempt.as_ref());
        let runs = |attempt: &&request::Attempt| attempt.instance == *instance;
        let own = attempts.filter(runs);
        target.load.own_tokens = own.clone().map(|attempt| attempt.tokens).sum();
        target.load.own_requests = own.count() as u32;
        self.targets.insert(instance.clone(), target);
    }

    fn new_target(
        &self,
        instance: &name::Instance,
        incarnation: target::Incarnation,
        slots: u32,
        announcement: &hyssopfork_fleet::announcement::Announcement,
    ) -> target::Target {
        target::Target {
            key: occupancy::Key::new(instance, &incarnation),
            incarnation,
            pool: announcement.pool.clone(),
            model: None,
            zone: announcement.zone.clone(),
            is_suspended: false,
            standing: view::Status::Present,
            load: load::Load::new(slots),
            limit: concurrency_limit::Limit::new(slots),
            health: health::Health::default(),
            entry_started_at: self.started_at,
            recent_sends: Default::default(),
            slow_start_share: None,
            preference: 0.0,
            named_rate: Default::default(),
            published_rate: None,
            rate_limiter: None,
            last_bytes_at: clock::Instant::ORIGIN,
            suspected: false,
            stalled_since: None,
        }
    }

    /// Takes the shares of the upstreams' rates again once a lost entry no longer counts.
    pub(super) fn update_rate_shares(&mut self) {
        let windows = [slow_start::WINDOW, rate_limit::MIN_WINDOW, rate_limit::MAX_WINDOW];
        let divisors = windows.map(|window| self.members.divisor(self.now, window));
        if mem::replace(&mut self.rate_divisors, divisors) != divisors {
            let all: BTreeSet<_> = self.targets.keys().cloned().collect();
            self.rebuild_targets(&all);
        }
    }
}
