//! Following the [`plan`](super::plan): what it is made from, and who does it.
//!
//! An engine takes up the model of its last group in 0.2 s, one that its host holds in a second or
//! two, and any other in more than ten. So each engine is to have two models at hand: that of its
//! last group, and another one on its host. Whatever is lost, some engines of the domain can then
//! replace it.

use super::group::Stage;
use super::{Command, Groups, plan, tally};
use crate::announcement::{self, Membership};
use crate::{declaration, registry};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How soon an engine has a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// It was the model of its last group.
    Last,
    /// Its host holds them.
    Staged,
}

/// An engine that can be given to a group.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) instance: name::Instance,
    pub(super) domain: name::Domain,
    pub(super) last: Option<name::Model>,
    pub(super) staged: Vec<name::Model>,
}

impl Candidate {
    pub(super) fn readiness(&self, model: &name::Model) -> Option<Readiness> {
        if self.last.as_ref() == Some(model) {
            Some(Readiness::Last)
        } else {
            self.staged.contains(model).then_some(Readiness::Staged)
        }
    }
}

/// What a plan is made from.
pub(super) struct Scene<'a> {
    pub(super) now: clock::Instant,
    pub(super) pool: &'a name::Pool,
    pub(super) engine: &'a declaration::Engine,
    pub(super) registry: &'a registry::Registry,
    /// Zones that are out: their groups serve nobody, and nothing is formed there.
    pub(super) out: &'a BTreeSet<name::Zone>,
    pub(super) models: Vec<plan::Model>,
    /// Groups by the instances that there were lately, with a reserve.
    pub(super) layout: plan::Layout,
    /// Groups by the instances that live now in zones that are in, without a reserve.
    present: plan::Layout,
    /// Instances of each domain by which the plan was made.
    pub(super) peaks: BTreeMap<name::Domain, usize>,
    /// Groups that there are.
    pub(super) tally: tally::Tally,
}

impl Scene<'_> {
    /// Groups that the model is to have.
    pub(super) fn total(&self, model: &plan::Model) -> usize {
        plan::total(&self.layout, &model.name)
    }

    /// Groups that the model can have now, with every model getting its share of what is there.
    pub(super) fn attainable(&self, model: &plan::Model) -> usize {
        plan::total(&self.present, &model.name).min(self.total(model))
    }

    /// Groups that the model is to have in the domain.
    pub(super) fn planned(&self, model: &plan::Model, domain: &name::Domain) -> usize {
        self.layout.get(&(domain.clone(), model.name.clone())).copied().unwrap_or_default()
    }

    /// Whether a group can serve: its head is in no zone that is out.
    pub(super) fn is_in(&self, group: &super::Group) -> bool {
        let head = group.members.first().and_then(|head| self.registry.get(head));
        head.is_none_or(|record| !self.out.contains(&record.announcement.zone))
    }

    pub(super) fn load_time(&self, model: &name::Model) -> Duration {
        let declared = self.engine.models.iter().find(|it| it.name == *model);
        declared.map_or(Duration::ZERO, |model| model.load)
    }
}

impl Groups {
    pub(super) fn plan(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        engine: &declaration::Engine,
        registry: &registry::Registry,
        out: &BTreeSet<name::Zone>,
    ) {
        let models: Vec<plan::Model> = engine.models.iter().map(model).collect();
        let nowhere_out = BTreeSet::new();
        let peaks = self.peaks.follow(now, pool, &usable(now, pool, registry, &nowhere_out));
        let layout = self.layouts.of(pool, plan::RESERVE, &peaks, &models);
        let present = self.layouts.of(pool, 0.0, &usable(now, pool, registry, out), &models);
        let tally = tally::Tally::default();
        let mut scene =
            Scene { now, pool, engine, registry, out, models, layout, present, peaks, tally };
        scene.tally = self.tally(&scene);
        self.ask_for_reports(&scene);
        self.form_groups(&mut scene);
        self.rebalance(&scene);
        scene.tally = self.tally(&scene);
        self.even_out_reserves(&scene);
        self.prepare(&scene);
        self.stage(&scene);
    }

    /// Engines that a group may be formed of: free ones and those in reserve.
    pub(super) fn candidates(&self, scene: &Scene<'_>) -> Vec<Candidate> {
        let is_free = |(instance, record): &(&name::Instance, &registry::Record)| {
            self.is_free(scene, instance, record)
        };
        let candidate = |(instance, record): (&name::Instance, &registry::Record)| Candidate {
            instance: instance.clone(),
            domain: record.announcement.domain.clone(),
            last: record.last_model.clone(),
            staged: record.announcement.staged.clone(),
        };
        scene.registry.iter().filter(is_free).map(candidate).collect()
    }

    /// Whether a group may be formed of the engine.
    pub(super) fn is_free(
        &self,
        scene: &Scene<'_>,
        instance: &name::Instance,
        record: &registry::Record,
    ) -> bool {
        let told = &record.announcement;
        told.pool == *scene.pool
            && record.is_healthy()
            && !scene.out.contains(&told.zone)
            && !scene.registry.is_silent(scene.now, record)
            && self.is_available(instance, told)
    }

    /// Asks the engines that this leader has not had join yet, those in groups as well: they are
    /// free one day, and then a repair would wait for the answer. One that has not called yet is
    /// asked for each change of its state.
    fn ask_for_reports(&mut self, scene: &Scene<'_>) {
        for (_, record) in scene.registry.iter() {
            let told = &record.announcement;
            let reachable = told.pool == *scene.pool
                && record.is_healthy()
                && !scene.registry.is_silent(scene.now, record);
            if reachable && self.reports.ask(scene.now, told, !record.heard_this_term) {
                self.commands.push(Command::Ask(told.instance.clone(), told.address));
            }
        }
    }

    fn is_available(&self, instance: &name::Instance, told: &announcement::Announcement) -> bool {
        let is_bound = |membership: &Membership| self.is_bound(told, membership);
        let is_free = match self.group_of(instance) {
            Some((_, group)) => group.stage == Stage::Prepared,
            None => !told.membership.as_ref().is_some_and(is_bound),
        };
        is_free && self.reports.is_joinable(told, is_bound)
    }

    /// Ends the reserves that `members` are.
    pub(super) fn take_reserves(&mut self, members: &[name::Instance]) {
        let names: Vec<name::Group> = members
            .iter()
            .filter_map(|member| self.group_of(member))
            .filter(|(_, group)| group.stage.is_reserve())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let reserve = self.take(&name);
            self.ended.extend(reserve.map(|reserve| reserve.epoch));
        }
    }

    /// Whether a member that is still to join says that another group binds it. It was free when the
    /// group was formed; an order of an earlier leader may have been carried out since.
    pub(super) fn is_bound_elsewhere(
        &self,
        group: &name::Group,
        member: &name::Instance,
        registry: &registry::Registry,
    ) -> bool {
        let Some(record) = registry.get(member) else { return false };
        let told = &record.announcement;
        let other = told.membership.as_ref().filter(|membership| membership.group != *group);
        other.is_some_and(|membership| self.is_bound(told, membership))
    }

    /// Whether the engine is in a group that this leader has not ended: it must leave that before
    /// it joins another, since the group's head may be open where nobody hears it.
    fn is_bound(&self, told: &announcement::Announcement, membership: &Membership) -> bool {
        use announcement::State;
        let serves = matches!(membership.state, State::Open | State::Closing);
        !self.is_over(told, membership)
            && membership.state != State::Broken
            && (membership.rank > 0 || serves)
    }
}

/// Engines of each domain that live and stay, those in zones that are out left aside.
fn usable(
    now: clock::Instant,
    pool: &name::Pool,
    registry: &registry::Registry,
    out: &BTreeSet<name::Zone>,
) -> BTreeMap<name::Domain, usize> {
    let mut counts: BTreeMap<name::Domain, usize> = BTreeMap::new();
    for (_, record) in registry.iter().filter(|(_, record)| record.announcement.pool == *pool) {
        let usable = record.is_healthy()
            && !registry.is_silent(now, record)
            && !out.contains(&record.announcement.zone);
        let domain = &record.announcement.domain;
        match counts.get_mut(domain) {
            Some(count) => *count += usize::from(usable),
            None => drop(counts.insert(domain.clone(), usize::from(usable))),
        }
    }
    counts
}

fn model(declared: &declaration::Model) -> plan::Model {
    plan::Model {
        name: declared.name.clone(),
        size: declared.size.max(1) as usize,
        // A model without a share still gets a group when there is room.
        share: declared.share.max(0.01),
    }
}
