//! Forms groups of engines that have the model's weights at hand.

use super::group::Phase;
use super::planner::{Candidate, Context, Readiness};
use super::{Groups, plan};
use hyssopfork_wire::name;
use std::collections::BTreeMap;

/// Groups formed in one pass. A leader that forms hundreds of groups in one step is silent for longer
/// than its lease lasts.
const MAX_FORMATIONS_PER_PASS: usize = 24;

/// An engine that has a model at hand.
struct Ready {
    readiness: Readiness,
    instance: name::Instance,
    last_model: Option<name::Model>,
}

/// Engines that have a model at hand, by model and domain, the ones that are ready soonest first.
struct ReadyEngines(BTreeMap<name::Model, BTreeMap<name::Domain, Vec<Ready>>>);

impl ReadyEngines {
    fn new(models: &[plan::Model], candidates: &[Candidate]) -> ReadyEngines {
        let mut by_model = BTreeMap::new();
        for model in models {
            let domains: &mut BTreeMap<name::Domain, Vec<Ready>> =
                by_model.entry(model.name.clone()).or_default();
            for candidate in candidates {
                let Some(readiness) = candidate.readiness(&model.name) else { continue };
                domains.entry(candidate.domain.clone()).or_default().push(Ready {
                    readiness,
                    instance: candidate.instance.clone(),
                    last_model: candidate.last_model.clone(),
                });
            }
            for ready in domains.values_mut() {
                ready.sort_by(|left, right| {
                    (left.readiness, &left.instance).cmp(&(right.readiness, &right.instance))
                });
            }
        }
        ReadyEngines(by_model)
    }

    /// Engines for one group of the model in each domain that has enough of them, without those that
    /// are kept for one of the models `kept_for`.
    fn members<'s>(
        &'s self,
        model: &plan::Model,
        kept_for: &[&name::Model],
    ) -> BTreeMap<&'s name::Domain, Vec<&'s Ready>> {
        let is_kept =
            |ready: &&Ready| ready.last_model.as_ref().is_some_and(|last| kept_for.contains(&last));
        let domains = self.0.get(&model.name).into_iter().flatten();
        let members = domains.map(|(domain, ready)| {
            let ready = ready.iter().filter(|ready| !is_kept(ready)).take(model.size);
            (domain, ready.collect::<Vec<_>>())
        });
        members.filter(|(_, ready)| ready.len() >= model.size).collect()
    }

    /// Removes engines that have been assigned to a group.
    fn remove(&mut self, domain: &name::Domain, members: &[name::Instance]) {
        for domains in self.0.values_mut() {
            if let Some(ready) = domains.get_mut(domain) {
                ready.retain(|ready| !members.contains(&ready.instance));
            }
        }
    }
}

/// Result of an attempt to form a group of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Formation {
    /// The group was formed.
    Formed,
    /// Members that a lost group is about to free are waited for.
    Deferred,
    /// No domain has enough ready engines.
    Impossible,
}

impl Groups {
    /// Ratio of the model's groups, with `more` added, to those that it can have now.
    pub(super) fn fill_ratio(&self, context: &Context<'_>, model: &plan::Model, more: i64) -> f64 {
        let groups = context.counts.usable_groups(&model.name) as i64 + more;
        groups as f64 / context.attainable_groups(model).max(1) as f64
    }

    /// Forms groups of engines that have the weights at hand, one after the other, each for the model
    /// with the lowest fill ratio of those that can have one.
    pub(super) fn form_groups(&mut self, context: &mut Context<'_>) {
        if !self.has_traffic && self.domain_peaks.is_growing(context.now, context.pool) {
            return;
        }
        let mut engines = ReadyEngines::new(&context.models, &context.candidates);
        for _ in 0..MAX_FORMATIONS_PER_PASS {
            if !self.form_next_group(context, &mut engines) {
                return;
            }
        }
    }

    /// Forms one group if possible now; returns whether it did.
    fn form_next_group(&mut self, context: &mut Context<'_>, engines: &mut ReadyEngines) -> bool {
        let models: Vec<plan::Model> =
            self.models_below_plan(context).into_iter().cloned().collect();
        for model in &models {
            if self.yields_engines(context, model) {
                continue;
            }
            match self.form_group(context, model, engines) {
                Formation::Formed => return true,
                // A group of another model would take the reserve that completes this one's.
                Formation::Deferred => return false,
                Formation::Impossible => {}
            }
        }
        false
    }

    /// Whether the model has all the groups that it can have now while another has not: then free
    /// engines are left to complete the other's groups or to load its weights.
    ///
    /// Without this rule, with a zone out and a member lost, the reserves went to a seventh and an
    /// eighth group of a model with two members per group, and a model with four had no group for
    /// 8 s, since no engine was left to complete its last one.
    fn yields_engines(&self, context: &Context<'_>, model: &plan::Model) -> bool {
        let is_short = |other: &plan::Model| {
            other.name != model.name && self.is_below_attainable(context, other)
        };
        !self.is_below_attainable(context, model) && context.models.iter().any(is_short)
    }

    /// Other models with a lower fill ratio than `model`, or with a group to repair while `model` would
    /// only grow: engines whose last group was one of theirs are kept for them. When survivors of a
    /// group of four joined groups of two, the larger model had no group until another four engines had
    /// loaded its weights.
    fn models_to_keep_engines_for<'s>(
        &self,
        context: &'s Context<'_>,
        model: &plan::Model,
    ) -> Vec<&'s name::Model> {
        let ratio = self.fill_ratio(context, model, 0);
        let is_growing = !self.is_under_repair(context, model);
        let is_kept_for = |other: &&plan::Model| {
            let precedes = match self.is_under_repair(context, other) {
                true if is_growing => true,
                false if !is_growing => false,
                _ => self.fill_ratio(context, other, 0) < ratio,
            };
            other.name != model.name && self.is_below_attainable(context, other) && precedes
        };
        context.models.iter().filter(is_kept_for).map(|other| &other.name).collect()
    }

    /// Whether the model has fewer groups than the instances present now allow.
    pub(super) fn is_below_attainable(&self, context: &Context<'_>, model: &plan::Model) -> bool {
        context.counts.usable_groups(&model.name) < context.attainable_groups(model)
    }

    /// Models with fewer groups than planned: those with a group to repair first, then the one with the
    /// lowest fill ratio.
    pub(super) fn models_below_plan<'s>(&self, context: &'s Context<'_>) -> Vec<&'s plan::Model> {
        let mut models: Vec<&plan::Model> =
            context.models.iter().filter(|model| self.is_below_plan(context, model)).collect();
        models.sort_by(|left, right| {
            let is_growing = |model: &plan::Model| !self.is_under_repair(context, model);
            let ratio = |model: &plan::Model| self.fill_ratio(context, model, 0);
            let by_ratio = ratio(left).total_cmp(&ratio(right));
            is_growing(left).cmp(&is_growing(right)).then(by_ratio)
        });
        models
    }

    fn is_below_plan(&self, context: &Context<'_>, model: &plan::Model) -> bool {
        context.counts.usable_groups(&model.name) < context.planned_groups(model)
    }

    /// Forms a group of the model, preferably in a domain where the plan has one.
    ///
    /// In any other domain the group uses up the reserve, so it is formed there only while clients
    /// send requests or a zone is out: without a reserve, the next loss in a domain stopped a group
    /// for 5 s to 10 s instead of 1.5 s. For the same reason, members that a lost group of the domain
    /// is about to free are waited for.
    fn form_group(
        &mut self,
        context: &mut Context<'_>,
        model: &plan::Model,
        engines: &mut ReadyEngines,
    ) -> Formation {
        let kept_for = self.models_to_keep_engines_for(context, model);
        let mut domains = engines.members(model, &kept_for);
        let group_count = |domain: &name::Domain| {
            context.counts.groups_in_domain(&(domain.clone(), model.name.clone()))
        };
        let is_full =
            |domain: &name::Domain| group_count(domain) >= context.planned_groups_in(model, domain);
        if !self.has_traffic && context.zones_out.is_empty() {
            domains.retain(|domain, _| !is_full(domain));
        }
        let has_slow = |ready: &[&Ready]| ready.iter().any(|it| it.readiness == Readiness::Staged);
        let is_worth_waiting = |domain: &name::Domain| {
            let at_hand = domains.get(domain).is_some_and(|ready| !has_slow(ready));
            let freeing = context.counts.is_freeing_members(&(domain.clone(), model.name.clone()));
            freeing && !at_hand && !is_full(domain)
        };
        if context.peak_counts.keys().any(is_worth_waiting) {
            return Formation::Deferred;
        }
        let best = domains.into_iter().min_by_key(|(domain, ready)| {
            let slowest = ready.last().map(|ready| ready.readiness);
            (is_full(domain), group_count(domain), slowest)
        });
        let Some((domain, ready)) = best else { return Formation::Impossible };
        let domain = domain.clone();
        let members: Vec<name::Instance> =
            ready.into_iter().map(|ready| ready.instance.clone()).collect();
        engines.remove(&domain, &members);
        context.candidates.retain(|candidate| !members.contains(&candidate.instance));
        self.remove_reserves(&members);
        self.create_group(context.now, context.pool, &domain, &model.name, members, Phase::Joining);
        context.counts.add_group((domain, model.name.clone()));
        Formation::Formed
    }
}
