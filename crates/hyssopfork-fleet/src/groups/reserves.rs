//! Reserves: which model's weights each free engine loads, and which second model its host stages.

use super::group::Phase;
use super::planner::{Candidate, Context};
use super::{Groups, order, plan};
use crate::registry;
use hyssopfork_wire::name;
use std::collections::BTreeMap;
use std::net;

/// Share of the concurrent loads that second models may use while clients send requests. A load takes
/// ten seconds or more; when second models used all of them, an engine that replaced a lost one waited
/// that long for its first model.
const SECOND_MODEL_LOAD_SHARE: f64 = 0.5;

impl Groups {
    /// Makes reserves of engines whose processes have been in no group yet: each one loads the model
    /// that its domain needs most, preferably one that is staged on its host.
    pub(super) fn prepare_reserves(&mut self, context: &mut Context<'_>) {
        let is_new = |candidate: &Candidate| {
            candidate.last_model.is_none() && self.group_of(&candidate.instance).is_none()
        };
        let candidates: Vec<Candidate> =
            context.candidates.iter().filter(|it| is_new(it)).cloned().collect();
        if candidates.is_empty() {
            return;
        }
        let mut assignments = self.count_assignments(context);
        let mut loading = self.count_loading_reserves(context);
        for candidate in candidates {
            let Some(model) = self.choose_model(context, &assignments, &candidate) else {
                continue;
            };
            let staged = candidate.staged_models.contains(&model);
            if staged || self.try_start_load(context, loading, 1.0) {
                loading += usize::from(!staged);
                context.candidates.retain(|it| it.instance != candidate.instance);
                let members = vec![candidate.instance];
                let domain = &candidate.domain;
                self.create_group(
                    context.now,
                    context.pool,
                    domain,
                    &model,
                    members,
                    Phase::Preparing,
                );
                assignments.add(domain, &model);
            }
        }
    }

    /// Changes the model of a reserve where its domain has too many for one model and too few for
    /// another. Engines announce themselves one by one, and each gets the model needed most at that
    /// time. Once all have done so, some domains would have two reserves of one model, and a lost
    /// member of the other would be replaced by an engine that loads the weights from its host: in
    /// 1 s to 2 s instead of 0.2 s.
    ///
    /// Only before clients send requests: loading a staged model leaves that model alone on the host,
    /// so the second model must be staged again.
    pub(super) fn rebalance_reserves(&mut self, context: &Context<'_>) {
        if self.has_traffic || self.domain_peaks.is_growing(context.now, context.pool) {
            return;
        }
        let assignments = self.count_assignments(context);
        for domain in context.peak_counts.keys() {
            if let Some((reserve, model)) =
                self.find_misplaced_reserve(context, &assignments, domain)
            {
                let members = self.groups.get(&reserve).map(|it| it.members.clone());
                let members = members.unwrap_or_default();
                self.remove_reserves(&members);
                self.create_group(
                    context.now,
                    context.pool,
                    domain,
                    &model,
                    members,
                    Phase::Preparing,
                );
            }
        }
    }

    /// Finds a reserve of the domain that should hold another model, and that model.
    fn find_misplaced_reserve(
        &self,
        context: &Context<'_>,
        assignments: &Assignments,
        domain: &name::Domain,
    ) -> Option<(name::Group, name::Model)> {
        let here = |group: &&super::Group| group.pool == *context.pool && group.domain == *domain;
        if self.groups.values().filter(here).any(|group| group.phase == Phase::Preparing) {
            return None;
        }
        let count = context.peak_counts.get(domain).copied().unwrap_or_default();
        let targets = plan::target_instances(&context.layout, domain, count, &context.models);
        let target = |model: &name::Model| targets.get(model).copied().unwrap_or_default();
        let is_lacking =
            |model: &&plan::Model| assignments.assigned(domain, &model.name) < target(&model.name);
        let lacking = context.models.iter().find(is_lacking)?;
        let is_surplus = |(_, group): &(&name::Group, &super::Group)| {
            here(group)
                && group.phase == Phase::Prepared
                && assignments.assigned(domain, &group.model) > target(&group.model)
                && group
                    .members
                    .iter()
                    .filter_map(|it| context.registry.get(it))
                    .any(|record| record.announcement.staged.contains(&lacking.name))
        };
        let (reserve, _) = self.groups.iter().find(is_surplus)?;
        Some((reserve.clone(), lacking.name.clone()))
    }

    /// Chooses the model that the engine is to load: while models are short of groups, the one whose
    /// next group in the domain needs the fewest further engines; otherwise the one that is farthest
    /// below its target in the domain.
    fn choose_model(
        &self,
        context: &Context<'_>,
        assignments: &Assignments,
        candidate: &Candidate,
    ) -> Option<name::Model> {
        self.soonest_completed_model(context, assignments, candidate)
            .or_else(|| least_filled_model(context, assignments, candidate))
    }

    /// The model whose next group in the candidate's domain needs the fewest further engines, among
    /// the models that are short of groups. Those that are below their target in the domain go first:
    /// smaller groups would otherwise take the engines of a domain that the plan keeps for a large one,
    /// which then can't be formed anywhere. When engines were spread over models by their shares,
    /// three of them waited for a fourth while two would have made up a smaller group.
    fn soonest_completed_model(
        &self,
        context: &Context<'_>,
        assignments: &Assignments,
        candidate: &Candidate,
    ) -> Option<name::Model> {
        if !self.has_traffic {
            return None;
        }
        let domain = &candidate.domain;
        let count = context.peak_counts.get(domain).copied().unwrap_or_default();
        let targets = plan::target_instances(&context.layout, domain, count, &context.models);
        let is_below_target = |model: &plan::Model| {
            let target = targets.get(&model.name).copied().unwrap_or_default();
            assignments.assigned(domain, &model.name) < target
        };
        let short = context.models.iter().filter(|model| self.is_below_attainable(context, model));
        let (below, others): (Vec<_>, Vec<_>) = short.partition(|model| is_below_target(model));
        let lacking = if below.is_empty() { others } else { below };
        let missing = |model: &plan::Model| {
            let ungrouped = assignments.ungrouped(&candidate.domain, &model.name);
            model.size - ungrouped % model.size
        };
        let soonest = lacking.into_iter().min_by(|left, right| {
            let ratio = |model: &plan::Model| self.fill_ratio(context, model, 0);
            missing(left).cmp(&missing(right)).then(ratio(left).total_cmp(&ratio(right)))
        });
        soonest.map(|model| model.name.clone())
    }

    /// Counts the engines of each domain that are assigned to each model.
    fn count_assignments(&self, context: &Context<'_>) -> Assignments {
        let mut assignments = Assignments::default();
        for (instance, record) in context.registry.iter() {
            let announcement = &record.announcement;
            let is_counted = announcement.pool == *context.pool
                && record.is_healthy()
                && !context.registry.is_silent(context.now, record);
            if !is_counted {
                continue;
            }
            let group = self.group_of(instance).map(|(_, group)| group);
            let Some(model) = group.map(|group| &group.model).or(record.last_model.as_ref()) else {
                continue;
            };
            assignments.add(&announcement.domain, model);
            if let Some(group) = group.filter(|group| group.phase.is_active()) {
                assignments.add_grouped(&group.domain, model);
            }
        }
        assignments
    }

    /// Orders hosts to stage a second model beside the model of their engine's last group.
    ///
    /// Before clients send requests, every host does so, since the weight store is otherwise idle.
    /// Afterwards only the hosts of free engines and reserves do, since these replace lost members.
    pub(super) fn stage_second_models(&mut self, context: &Context<'_>) {
        let now = context.now;
        self.pending_stagings.retain(|instance, (model, sent)| {
            let is_staged = |record: &registry::Record| record.announcement.staged.contains(model);
            let done = context.registry.get(instance).is_none_or(is_staged);
            !done && now.since(*sent) < context.load_time(model) * 2
        });
        let lacking: Vec<(name::Instance, net::SocketAddr, name::Model)> = self
            .staging_targets(context)
            .into_iter()
            .filter_map(|record| {
                let announcement = &record.announcement;
                let other = self.missing_second_model(context, record)?;
                Some((announcement.instance.clone(), announcement.address, other))
            })
            .collect();
        let loading = self.count_loading_reserves(context);
        for (instance, address, model) in lacking {
            if !self.order_bucket.try_take(now)
                || !self.try_start_load(context, loading, SECOND_MODEL_LOAD_SHARE)
            {
                break;
            }
            self.pending_stagings.insert(instance.clone(), (model.clone(), now));
            let no_group = (name::Group::from(""), 0);
            self.send_order(&instance, address, no_group, order::Task::Stage(model), None);
        }
    }

    /// Engines whose hosts are to have a second model.
    fn staging_targets<'c>(&self, context: &'c Context<'_>) -> Vec<&'c registry::Record> {
        if self.has_traffic {
            let candidates = context.candidates.iter();
            return candidates.filter_map(|it| context.registry.get(&it.instance)).collect();
        }
        let records = context.registry.iter().map(|(_, record)| record);
        let is_target = |record: &&registry::Record| {
            record.announcement.pool == *context.pool && record.is_healthy()
        };
        records.filter(is_target).collect()
    }

    /// The second model that the engine's host is to stage; `None` if the host has it or is staging one,
    /// or if the engine has been in no group yet.
    fn missing_second_model(
        &self,
        context: &Context<'_>,
        record: &registry::Record,
    ) -> Option<name::Model> {
        let last = record.last_model.as_ref()?;
        let other = context.models.iter().find(|model| model.name != *last)?;
        let has_second = record.announcement.staged.contains(&other.name)
            || self.pending_stagings.contains_key(&record.announcement.instance);
        (!has_second).then(|| other.name.clone())
    }

    /// Number of reserves that load weights from the weight store.
    fn count_loading_reserves(&self, context: &Context<'_>) -> usize {
        let is_loading = |group: &&super::Group| {
            let lacks_weights = |record: &registry::Record| {
                !record.announcement.staged.contains(&group.model)
                    && record.last_model.as_ref() != Some(&group.model)
            };
            let mut members = group.members.iter().filter_map(|it| context.registry.get(it));
            group.phase == Phase::Preparing && members.any(lacks_weights)
        };
        self.groups.values().filter(is_loading).count()
    }

    /// Takes capacity of the weight store for a load beside those of `loading` reserves, where loads
    /// of this kind may use `share` of the concurrent loads; returns whether the load may begin now.
    ///
    /// Before clients send requests, loads are many times faster and don't slow each other down;
    /// afterwards the store's limit of concurrent loads and its rate apply.
    fn try_start_load(&mut self, context: &Context<'_>, loading: usize, share: f64) -> bool {
        if !self.has_traffic {
            return true;
        }
        let running = loading + self.pending_stagings.len();
        let limit = (f64::from(context.engine.loads_at_once) * share).max(1.0);
        (running as f64) < limit
            && self.load_limiter.try_start(context.now, context.engine.loads_per_second)
    }
}

/// Engines of each domain that are assigned to each model: those in its groups and reserves, and
/// those whose last group was one of the model's. The latter count because three survivors of a group
/// of four need only one more engine: when they didn't count, every new engine of the domain, five and
/// more, loaded their model.
#[derive(Debug, Default)]
struct Assignments {
    /// All assigned engines, and those in groups that serve or are about to.
    counts: BTreeMap<(name::Domain, name::Model), (usize, usize)>,
}

impl Assignments {
    fn add(&mut self, domain: &name::Domain, model: &name::Model) {
        self.counts.entry((domain.clone(), model.clone())).or_default().0 += 1;
    }

    fn add_grouped(&mut self, domain: &name::Domain, model: &name::Model) {
        self.counts.entry((domain.clone(), model.clone())).or_default().1 += 1;
    }

    /// Number of engines assigned to the model.
    fn assigned(&self, domain: &name::Domain, model: &name::Model) -> usize {
        self.counts.get(&(domain.clone(), model.clone())).map_or(0, |(assigned, _)| *assigned)
    }

    /// Number of engines assigned to the model that are in no active group of it.
    fn ungrouped(&self, domain: &name::Domain, model: &name::Model) -> usize {
        let counts = self.counts.get(&(domain.clone(), model.clone()));
        counts.map_or(0, |(assigned, grouped)| assigned.saturating_sub(*grouped))
    }
}

/// The model that is farthest below its target in the candidate's domain; one that is staged on the
/// candidate's host goes first.
fn least_filled_model(
    context: &Context<'_>,
    assignments: &Assignments,
    candidate: &Candidate,
) -> Option<name::Model> {
    let count = context.peak_counts.get(&candidate.domain).copied().unwrap_or_default();
    let targets =
        plan::target_instances(&context.layout, &candidate.domain, count, &context.models);
    let ratio = |model: &&plan::Model| {
        let target = targets.get(&model.name).copied().unwrap_or_default();
        let assigned = assignments.assigned(&candidate.domain, &model.name);
        if target == 0 { f64::MAX } else { assigned as f64 / target as f64 }
    };
    let staged =
        context.models.iter().filter(|model| candidate.staged_models.contains(&model.name));
    let at_hand = staged.min_by(|left, right| ratio(left).total_cmp(&ratio(right)));
    let any = context.models.iter().min_by(|left, right| ratio(left).total_cmp(&ratio(right)));
    at_hand.or(any).map(|model| model.name.clone())
}
