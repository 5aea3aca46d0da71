//! Candidate placements of one group, and the choice of the best.

use super::{Availability, Domain, Group, Instance, planner};
use hyssopfork_wire::name;
use std::collections::BTreeSet;

/// A candidate placement of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) members: Vec<name::Instance>,
    /// Members that must load weights.
    pub(super) loads: u32,
}

/// Repairs the group in place if possible; otherwise rebuilds it in one domain.
pub(super) fn find_best(planner: &planner::Planner<'_>, group: &Group) -> Option<Candidate> {
    repair(planner, group).or_else(|| rebuild(planner, group))
}

/// Replaces the members that are not available with spares of the same domain.
fn repair(planner: &planner::Planner<'_>, group: &Group) -> Option<Candidate> {
    let current = planner.placements.get(&group.name)?;
    if current.members.len() != group.size as usize {
        return None;
    }
    let is_available = |name: &name::Instance| {
        planner
            .instances
            .get(name)
            .is_some_and(|instance| instance.availability == Availability::Available)
    };
    let survivor = current.members.iter().find(|name| is_available(name))?;
    let domain = Domain::of(planner.instances[survivor]);
    if domain.pool != group.pool {
        return None;
    }
    let mut spares = rank_spares(planner, group, planner.spares.get(&domain)?).into_iter();
    let mut loads = 0;
    let mut members = Vec::with_capacity(current.members.len());
    for member in &current.members {
        if is_available(member) {
            members.push(member.clone());
            continue;
        }
        let spare = spares.next()?;
        loads += loads_needed(spare, group);
        members.push(spare.name.clone());
    }
    Some(Candidate { members, loads })
}

/// Places the whole group in the domain that needs the fewest loads; among equals, one that keeps a
/// spare, then the fullest.
fn rebuild(planner: &planner::Planner<'_>, group: &Group) -> Option<Candidate> {
    let size = group.size as usize;
    let domains = planner
        .spares
        .iter()
        .filter(|(domain, spares)| domain.pool == group.pool && spares.len() >= size);
    let candidates = domains.map(|(domain, spares)| {
        let chosen: Vec<_> = rank_spares(planner, group, spares).into_iter().take(size).collect();
        let loads = chosen.iter().map(|instance| loads_needed(instance, group)).sum();
        let members = chosen.iter().map(|instance| instance.name.clone()).collect();
        let left = spares.len() - size;
        ((loads, left == 0, left), domain, Candidate { members, loads })
    });
    let best = candidates.min_by(|one, other| (one.0, one.1).cmp(&(other.0, other.1)));
    best.map(|(_, _, candidate)| candidate)
}

/// Spares in order of preference: those with the group's weights loaded first, those with another
/// model's last.
fn rank_spares<'a>(
    planner: &'a planner::Planner<'_>,
    group: &Group,
    spares: &BTreeSet<name::Instance>,
) -> Vec<&'a Instance> {
    let mut ranked: Vec<&Instance> =
        spares.iter().filter_map(|name| planner.instances.get(name).copied()).collect();
    ranked.sort_by_key(|instance| match &instance.loaded_model {
        Some(model) if *model == group.model => 0,
        None => 1,
        Some(_) => 2,
    });
    ranked
}

fn loads_needed(instance: &Instance, group: &Group) -> u32 {
    u32::from(instance.loaded_model.as_ref() != Some(&group.model))
}
