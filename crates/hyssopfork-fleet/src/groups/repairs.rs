//! Repairs under way, which precede the growth that a change of plan calls for.

use super::group::{Group, Phase};
use super::planner::Context;
use super::{Groups, plan};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;

/// Share of a domain's instances or serving groups above which their loss counts as an outage. Losses
/// one by one leave a fifth of the instances out at a time, and stall one or two groups of three.
const OUTAGE_SHARE: f64 = 0.67;

/// Fewest losses that count as an outage.
const MIN_OUTAGE_LOSSES: usize = 2;

/// Number of groups that each model of a pool has had under the current plan.
///
/// Invariant: at most as many as planned.
pub(super) type Established = BTreeMap<(name::Pool, name::Model), usize>;

fn is_outage(lost: usize, total: usize) -> bool {
    lost >= MIN_OUTAGE_LOSSES && lost as f64 > total as f64 * OUTAGE_SHARE
}

impl Groups {
    /// Whether a domain has lost most of the instances that it had recently, or most of its groups are
    /// stalled: it takes probes a second to show that their members are lost. Domains are usually back
    /// within seconds. Demand that is measured meanwhile is too high, since requests take longer and
    /// clients return.
    pub(super) fn is_domain_out(
        &self,
        now: clock::Instant,
        pool: &name::Pool,
        usable: &BTreeMap<name::Domain, usize>,
        recent: &BTreeMap<name::Domain, usize>,
    ) -> bool {
        let is_lost = |(domain, count): (&name::Domain, &usize)| {
            let left = usable.get(domain).copied().unwrap_or_default();
            is_outage(count.saturating_sub(left), *count)
        };
        recent.iter().any(is_lost) || self.has_stalled_domain(now, pool)
    }

    fn has_stalled_domain(&self, now: clock::Instant, pool: &name::Pool) -> bool {
        let mut counts: BTreeMap<&name::Domain, (usize, usize)> = BTreeMap::new();
        let is_serving = |group: &&Group| {
            group.pool == *pool && matches!(group.phase, Phase::Serving | Phase::Suspended)
        };
        for group in self.groups.values().filter(is_serving) {
            let (stalled, total) = counts.entry(&group.domain).or_default();
            let is_stalled = group.phase == Phase::Suspended
                || self.failure_detector.is_stalled(now, group.head());
            *stalled += usize::from(is_stalled);
            *total += 1;
        }
        counts.values().any(|(stalled, total)| is_outage(*stalled, *total))
    }

    /// Records how many groups each model has had under the current plan.
    pub(super) fn update_established(&mut self, context: &Context<'_>) {
        for model in &context.models {
            let key = (context.pool.clone(), model.name.clone());
            let established = self.established.entry(key).or_default();
            let usable = context.counts.usable_groups(&model.name);
            *established = usable.max(*established).min(context.planned_groups(model));
        }
    }

    /// Whether the model has lost a group that engines for are still missing. Such a model precedes
    /// those that the demand has given more groups than they have had so far. Declared shares give
    /// each model its groups at once, so they know no such difference.
    pub(super) fn is_under_repair(&self, context: &Context<'_>, model: &plan::Model) -> bool {
        let key = (context.pool.clone(), model.name.clone());
        let established = self.established.get(&key).copied().unwrap_or_default();
        self.demand.basis(context.pool).is_some()
            && context.counts.usable_groups(&model.name)
                < established.min(context.attainable_groups(model))
    }
}
