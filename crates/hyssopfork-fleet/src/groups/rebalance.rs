//! Rebalances groups among models: closes a group of one model so that another model gets one.

use super::group::Phase;
use super::planner::{self, Context};
use super::{Groups, plan};
use crate::registry;
use hyssopfork_wire::name;
use std::time::Duration;

/// Least difference of fill ratios at which a group is closed for another model. The closed group's
/// instances serve nothing for two to four seconds, at the expense of its model's clients.
const MIN_FILL_RATIO_GAIN: f64 = 0.2;

/// Time for which no group is closed for another model because of a suspended one, which may go on.
const MAX_SUSPENSION_WAIT: Duration = Duration::from_secs(3);

/// Time for which a new leader without a plan waits for reports of the demand.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(6);

impl Groups {
    /// Closes a group of a model with a high fill ratio if its members complete a group of a model
    /// with a low one. Otherwise one model's requests would be rejected while another model's groups
    /// are half empty.
    ///
    /// A leader that doesn't know the fleet yet doesn't rebalance: after all processes were killed, it
    /// knows only the groups whose heads have announced themselves, and would close those for a model
    /// whose heads are about to do so.
    pub(super) fn rebalance(&mut self, context: &Context<'_>) {
        // Members of a group that is ending are free soon.
        // Declared shares may differ from the plan of an earlier leader, so they count only once it is
        // known whether there is demand.
        let is_undecided = self.demand.basis(context.pool).is_none()
            && !self.demand.is_known(context.now, context.pool)
            && context.now.since(self.started_at) < DEMAND_TIMEOUT;
        let is_ending = |group: &super::Group| match group.phase {
            Phase::Closing => true,
            Phase::Leaving => group.has_responsive_member(context.registry),
            Phase::Suspended => context.now.since(group.phase_since) < MAX_SUSPENSION_WAIT,
            _ => false,
        };
        if !self.has_traffic
            || !self.is_fleet_known
            || is_undecided
            || self.groups.values().any(is_ending)
        {
            return;
        }
        let is_short = |model: &&plan::Model| self.is_below_attainable(context, model);
        let mut recipients = self.models_below_plan(context);
        recipients.retain(is_short);
        if recipients.is_empty() {
            return self.close_surplus_group(context);
        }
        // While the first one waits for engines to repair a group, others may grow without them.
        let is_repair = |model: &&plan::Model| self.is_under_repair(context, model);
        let considered = recipients.iter().take_while(|it| is_repair(it)).count() + 1;
        let mut chosen =
            recipients.iter().take(considered).map(|it| self.choose_donor_group(context, it));
        if let Some(name) = chosen.find_map(|name| name) {
            self.enter_phase(context.now, &name, Phase::Closing);
        }
    }

    /// Chooses a group of a model with a sufficiently higher fill ratio to be closed for `recipient`.
    fn choose_donor_group(
        &self,
        context: &Context<'_>,
        recipient: &plan::Model,
    ) -> Option<name::Group> {
        let ratio = self.fill_ratio(context, recipient, 0);
        let mut donors = context.models.iter().filter(|model| {
            model.name != recipient.name
                && self.fill_ratio(context, model, -1) >= ratio + MIN_FILL_RATIO_GAIN
                && self.may_close_group(context, model)
        });
        donors.find_map(|donor| self.find_donor_group(context, donor, recipient))
    }

    /// Whether one of the model's groups may be closed: another one serves, or clients don't ask for
    /// the model. Groups that are being formed don't count, since their formation may fail.
    fn may_close_group(&self, context: &Context<'_>, model: &plan::Model) -> bool {
        let is_serving = |group: &&super::Group| {
            group.pool == *context.pool
                && group.model == model.name
                && group.phase == Phase::Serving
                && context.is_in_active_zone(group)
        };
        !self.demand.is_requested(context.now, context.pool, &model.name)
            || self.groups.values().filter(is_serving).nth(1).is_some()
    }

    /// Closes a group of a model that has more than planned, if its domain lacks instances in reserve:
    /// when a plan changes, the other model's new groups are formed of the reserve, because that is
    /// fastest.
    fn close_surplus_group(&mut self, context: &Context<'_>) {
        let is_steady =
            |group: &super::Group| group.phase == Phase::Serving || group.phase.is_reserve();
        let mut groups = self.groups.values().filter(|group| group.pool == *context.pool);
        // Where the plan follows the demand, groups may be formed meanwhile: with frequent losses,
        // some are at any time.
        let is_changed = self.demand.basis(context.pool).is_some();
        if !context.zones_out.is_empty() || !is_changed && !groups.all(is_steady) {
            return;
        }
        let lacks_reserve = |domain: &name::Domain| {
            let free = context.candidates.iter().filter(|it| it.domain == *domain).count();
            let count = context.peak_counts.get(domain).copied().unwrap_or_default();
            free < plan::reserved_instances(count, plan::RESERVE_SHARE)
        };
        let is_surplus = |(_, group): &(&name::Group, &super::Group)| {
            let model = context.models.iter().find(|model| model.name == group.model);
            group.phase == Phase::Serving
                && group.pool == *context.pool
                && model.is_some_and(|model| {
                    let key = (group.domain.clone(), model.name.clone());
                    context.counts.usable_groups(&model.name) > context.planned_groups(model)
                        && context.counts.groups_in_domain(&key)
                            > context.planned_groups_in(model, &group.domain)
                        && self.may_close_group(context, model)
                })
                && lacks_reserve(&group.domain)
        };
        // A group that was formed while another one was suspended gives way to it.
        let surplus = self.groups.iter().filter(is_surplus).max_by_key(|(_, group)| group.epoch);
        let surplus = surplus.map(|(name, _)| name.clone());
        if let Some(name) = surplus {
            self.enter_phase(context.now, &name, Phase::Closing);
        }
    }

    /// Finds a group of `donor` whose members, with the free engines of its domain, suffice for a
    /// group of `recipient`.
    fn find_donor_group(
        &self,
        context: &Context<'_>,
        donor: &plan::Model,
        recipient: &plan::Model,
    ) -> Option<name::Group> {
        let at_hand = |record: &registry::Record| {
            let announcement = &record.announcement;
            record.last_model.as_ref() == Some(&recipient.name)
                || announcement.staged.contains(&recipient.name)
        };
        let is_repair = |model: &&plan::Model| {
            model.name != recipient.name
                && self.is_under_repair(context, model)
                && !self.is_under_repair(context, recipient)
        };
        let repaired = context.models.iter().filter(is_repair);
        let kept_for: Vec<&name::Model> = repaired.map(|model| &model.name).collect();
        let completes = |(name, group): (&name::Group, &super::Group)| {
            if group.pool != *context.pool
                || group.model != donor.name
                || group.phase != Phase::Serving
                || !context.is_in_active_zone(group)
            {
                return None;
            }
            let here = context.candidates.iter().filter(|it| it.domain == group.domain);
            let is_usable = |it: &&planner::Candidate| {
                let is_kept = it.last_model.as_ref().is_some_and(|last| kept_for.contains(&last));
                it.readiness(&recipient.name).is_some() && !is_kept
            };
            let free = here.filter(is_usable).count();
            let members = group.members.iter().filter_map(|it| context.registry.get(it));
            let given = members.filter(|record| record.is_healthy() && at_hand(record)).count();
            (free + given >= recipient.size).then(|| name.clone())
        };
        let is_surplus = |name: &name::Group| {
            self.groups.get(name).is_some_and(|group| {
                let key = (group.domain.clone(), group.model.clone());
                let count = context.counts.groups_in_domain(&key);
                count > context.planned_groups_in(donor, &group.domain)
            })
        };
        let completing: Vec<name::Group> = self.groups.iter().filter_map(completes).collect();
        completing.iter().find(|name| is_surplus(name)).or(completing.first()).cloned()
    }
}
