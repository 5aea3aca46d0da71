//! Carries out the [`plan`](super::plan) of a pool: its input, the engines that are free for it, and
//! the order of its steps.
//!
//! An engine loads the model of its last group in 0.2 s, one that is staged on its host in a second
//! or two, and any other in more than ten. So each engine is to have two models at hand: that of its
//! last group and another one staged on its host. Then some engines of the domain can replace
//! whichever member is lost.

use super::group::Phase;
use super::{Command, Groups, counts, demand, plan};
use crate::announcement::{self, Membership};
use crate::{declaration, notice, registry};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How soon an engine can have a model's weights, the soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readiness {
    /// The model is that of its last group.
    LastModel,
    /// The weights are staged on its host.
    Staged,
}

/// An engine that a group may be formed of.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) instance: name::Instance,
    pub(super) domain: name::Domain,
    pub(super) last_model: Option<name::Model>,
    pub(super) staged_models: Vec<name::Model>,
}

impl Candidate {
    /// How soon the engine can have the model; `None` if it must load it from the weight store.
    pub(super) fn readiness(&self, model: &name::Model) -> Option<Readiness> {
        if self.last_model.as_ref() == Some(model) {
            Some(Readiness::LastModel)
        } else {
            self.staged_models.contains(model).then_some(Readiness::Staged)
        }
    }
}

/// Input of one planning pass over a pool.
pub(super) struct Context<'a> {
    pub(super) now: clock::Instant,
    pub(super) pool: &'a name::Pool,
    pub(super) engine: &'a declaration::Engine,
    pub(super) registry: &'a registry::Registry,
    /// Zones that are out: their groups get no requests, and no group is formed there.
    pub(super) zones_out: &'a BTreeSet<name::Zone>,
    pub(super) models: Vec<plan::Model>,
    /// Planned groups, for the recent peak counts of instances and with a reserve.
    pub(super) layout: plan::Layout,
    /// Groups that the instances alive now allow, without a reserve and without zones that are out.
    attainable_layout: plan::Layout,
    /// Recent peak count of instances of each domain, from which the layout was computed.
    pub(super) peak_counts: BTreeMap<name::Domain, usize>,
    /// Counts of the existing groups.
    pub(super) counts: counts::Counts,
    /// Engines that a group may be formed of and that this pass has not assigned yet.
    pub(super) candidates: Vec<Candidate>,
}

impl Context<'_> {
    /// Number of groups planned for the model.
    pub(super) fn planned_groups(&self, model: &plan::Model) -> usize {
        plan::count_groups(&self.layout, &model.name)
    }

    /// Number of groups that the model can have now if every model gets its share of the instances.
    pub(super) fn attainable_groups(&self, model: &plan::Model) -> usize {
        plan::count_groups(&self.attainable_layout, &model.name).min(self.planned_groups(model))
    }

    /// Number of groups planned for the model in the domain.
    pub(super) fn planned_groups_in(&self, model: &plan::Model, domain: &name::Domain) -> usize {
        self.layout.get(&(domain.clone(), model.name.clone())).copied().unwrap_or_default()
    }

    /// Whether a group can serve: its head is in no zone that is out.
    pub(super) fn is_in_active_zone(&self, group: &super::Group) -> bool {
        let head = group.members.first().and_then(|head| self.registry.get(head));
        head.is_none_or(|record| !self.zones_out.contains(&record.announcement.zone))
    }

    /// Time to load the model's weights, as declared.
    pub(super) fn load_time(&self, model: &name::Model) -> Duration {
        let declared = self.engine.models.iter().find(|it| it.name == *model);
        declared.map_or(Duration::ZERO, |model| model.load)
    }
}

impl Groups {
    /// Plans a pool and sends the orders that bring its groups and reserves closer to the plan.
    pub(super) fn plan_pool(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        engine: &declaration::Engine,
        registry: &registry::Registry,
        zones_out: &BTreeSet<name::Zone>,
    ) {
        let models: Vec<plan::Model> = engine.models.iter().map(plan_model).collect();
        let no_zones = BTreeSet::new();
        let usable_counts = count_usable_engines(now, pool, registry, &no_zones);
        let peak_counts = self.domain_peaks.update(now, pool, &usable_counts);
        let is_domain_out = || self.is_domain_out(now, pool, &usable_counts, &peak_counts);
        if !zones_out.is_empty() || is_domain_out() {
            self.demand.suspend(now, pool);
        } else if self.has_traffic && self.is_fleet_known {
            self.follow_demand(now, pool, engine, registry, &peak_counts, &models);
        }
        let layout = self.planned_layout(pool, &peak_counts, &models);
        let basis = self.demand.basis(pool);
        let attainable_layout = self.layout_cache.get_or_compute(
            pool,
            0.0,
            &count_usable_engines(now, pool, registry, zones_out),
            &models,
            basis,
            |_| plan::Layout::new(),
        );
        let counts = counts::Counts::default();
        let mut context = Context {
            now,
            pool,
            engine,
            registry,
            zones_out,
            models,
            layout,
            attainable_layout,
            peak_counts,
            counts,
            candidates: Vec::new(),
        };
        context.counts = self.count_groups(&context);
        self.update_established(&context);
        context.candidates = self.candidates(&context);
        self.request_reports(&context);
        self.form_groups(&mut context);
        self.rebalance(&context);
        context.counts = self.count_groups(&context);
        self.rebalance_reserves(&context);
        self.prepare_reserves(&mut context);
        self.stage_second_models(&context);
    }

    /// The layout of the pool's current plan.
    fn planned_layout(
        &mut self,
        pool: &name::Pool,
        domains: &BTreeMap<name::Domain, usize>,
        models: &[plan::Model],
    ) -> plan::Layout {
        // Before clients send requests, engines announce themselves one by one, and no group serves.
        let previous = |last: Option<&plan::Layout>| match last {
            _ if !self.has_traffic => plan::Layout::new(),
            Some(last) => last.clone(),
            None => counts::existing_layout(pool, self.groups.values()),
        };
        let basis = self.demand.basis(pool);
        let reserve = plan::RESERVE_SHARE;
        self.layout_cache.get_or_compute(pool, reserve, domains, models, basis, previous)
    }

    /// Measures the demand for the pool, and changes its plan if the demand calls for it.
    fn follow_demand(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        engine: &declaration::Engine,
        registry: &registry::Registry,
        domains: &BTreeMap<name::Domain, usize>,
        models: &[plan::Model],
    ) {
        if !self.demand.measure(now, pool, engine) || self.is_closing_group(pool) {
            return;
        }
        let layout = self.planned_layout(pool, domains, models);
        if !self.demand.is_stressed(pool, domains, models, &layout) {
            return;
        }
        let supply = self.supply(now, pool, registry);
        let input = demand::Input { engine, domains, models, layout: &layout, supply: &supply };
        if let Some(change) = self.demand.evaluate(now, pool, &input) {
            self.push_notice(notice::Notice::Replanned(pool.clone(), change.to_string()));
        }
    }

    /// Whether a group of the pool is being closed.
    fn is_closing_group(&self, pool: &name::Pool) -> bool {
        self.groups.values().any(|group| group.pool == *pool && group.phase == Phase::Closing)
    }

    /// Engines that a group may be formed of: free ones and reserves.
    fn candidates(&self, context: &Context<'_>) -> Vec<Candidate> {
        let is_free = |(instance, record): &(&name::Instance, &registry::Record)| {
            self.is_free(context, instance, record)
        };
        let candidate = |(instance, record): (&name::Instance, &registry::Record)| Candidate {
            instance: instance.clone(),
            domain: record.announcement.domain.clone(),
            last_model: record.last_model.clone(),
            staged_models: record.announcement.staged.clone(),
        };
        context.registry.iter().filter(is_free).map(candidate).collect()
    }

    /// Whether a group may be formed of the engine: it is alive and stays, its zone is not out, and it
    /// is in no group or in reserve with its weights loaded.
    pub(super) fn is_free(
        &self,
        context: &Context<'_>,
        instance: &name::Instance,
        record: &registry::Record,
    ) -> bool {
        let announcement = &record.announcement;
        announcement.pool == *context.pool
            && record.is_healthy()
            && !context.zones_out.contains(&announcement.zone)
            && !context.registry.is_silent(context.now, record)
            && self.is_unbound(instance, announcement)
    }

    /// Requests reports from engines that have accepted no order to join from this leader yet,
    /// members of groups included: otherwise a repair would wait for the report once they are free.
    /// An engine that hasn't announced itself to this leader yet is asked repeatedly, since only its
    /// reports show changes of its state, and so is one whose reports and calls contradict each other.
    fn request_reports(&mut self, context: &Context<'_>) {
        for (_, record) in context.registry.iter() {
            let announcement = &record.announcement;
            let reachable = announcement.pool == *context.pool
                && record.is_healthy()
                && !context.registry.is_silent(context.now, record);
            let repeatedly = !record.heard_this_term
                || record.has_ambiguous_membership()
                || self.reports.contradicts(announcement);
            if reachable
                && self.reports.is_request_due(context.now, announcement, repeatedly)
                && self.report_bucket.try_take(context.now)
            {
                self.reports.start_request(context.now, announcement);
                self.commands.push(Command::RequestReport(
                    announcement.instance.clone(),
                    announcement.address,
                ));
            }
        }
    }

    pub(super) fn is_unbound(
        &self,
        instance: &name::Instance,
        announcement: &announcement::Announcement,
    ) -> bool {
        let is_bound = |membership: &Membership| self.is_bound(announcement, membership);
        let is_free = match self.group_of(instance) {
            Some((_, group)) => group.phase == Phase::Prepared,
            None => !announcement.membership.as_ref().is_some_and(is_bound),
        };
        is_free && self.reports.is_joinable(announcement, is_bound)
    }

    /// Removes the reserves that consist of `members`.
    pub(super) fn remove_reserves(&mut self, members: &[name::Instance]) {
        let names: Vec<name::Group> = members
            .iter()
            .filter_map(|member| self.group_of(member))
            .filter(|(_, group)| group.phase.is_reserve())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let reserve = self.remove_group(&name);
            self.ended_epochs.extend(reserve.map(|reserve| reserve.epoch));
        }
    }

    /// Whether a member that is still to join announces that it is bound to another group. It was
    /// free when the group was formed, but an order of an earlier leader may have been carried out
    /// since.
    pub(super) fn is_bound_elsewhere(
        &self,
        group: &name::Group,
        member: &name::Instance,
        registry: &registry::Registry,
    ) -> bool {
        let Some(record) = registry.get(member) else { return false };
        let announcement = &record.announcement;
        let other =
            announcement.membership.as_ref().filter(|membership| membership.group != *group);
        other.is_some_and(|membership| self.is_bound(announcement, membership))
    }

    /// Whether the membership binds the engine: its group is not known to have ended, so the engine
    /// must leave it before it joins another. The group's head may be open, unseen by this leader.
    fn is_bound(&self, announcement: &announcement::Announcement, membership: &Membership) -> bool {
        use announcement::State;
        let serves = matches!(membership.state, State::Open | State::Closing);
        // The head of an unknown group may be opening it.
        let is_known_reserve =
            self.groups.get(&membership.group).is_some_and(|group| group.phase.is_reserve());
        !self.is_membership_over(announcement, membership)
            && membership.state != State::Broken
            && (membership.rank > 0 || serves || !is_known_reserve)
    }
}

/// Counts the engines of each domain that are alive and stay, except those in zones that are out.
fn count_usable_engines(
    now: clock::Instant,
    pool: &name::Pool,
    registry: &registry::Registry,
    zones_out: &BTreeSet<name::Zone>,
) -> BTreeMap<name::Domain, usize> {
    let mut counts: BTreeMap<name::Domain, usize> = BTreeMap::new();
    for (_, record) in registry.iter().filter(|(_, record)| record.announcement.pool == *pool) {
        let usable = record.is_healthy()
            && !registry.is_silent(now, record)
            && !zones_out.contains(&record.announcement.zone);
        let domain = &record.announcement.domain;
        match counts.get_mut(domain) {
            Some(count) => *count += usize::from(usable),
            None => drop(counts.insert(domain.clone(), usize::from(usable))),
        }
    }
    counts
}

fn plan_model(declared: &declaration::Model) -> plan::Model {
    plan::Model {
        name: declared.name.clone(),
        size: declared.size.max(1) as usize,
        // A model without a share still gets a group when there is room.
        share: declared.share.max(0.01),
    }
}
