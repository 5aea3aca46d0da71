//! Ways to place one group, and the best of them.

use super::{Group, Instance, Place, Standing, planner};
use hyssopfork_wire::name;
use std::collections::BTreeSet;

/// A way to place a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Offer {
    pub(super) members: Vec<name::Instance>,
    /// Members that must load weights.
    pub(super) loads: u32,
}

/// The way with the fewest loads; among equals the one that leaves the better holes.
pub(super) fn best(planner: &planner::Planner<'_>, group: &Group) -> Option<Offer> {
    mend(planner, group).or_else(|| rebuild(planner, group))
}

/// Fills the places of members that can't stay with spares of the same domain.
fn mend(planner: &planner::Planner<'_>, group: &Group) -> Option<Offer> {
    let current = planner.placements.get(&group.name)?;
    if current.members.len() != group.size as usize {
        return None;
    }
    let stays = |name: &name::Instance| {
        planner.instances.get(name).is_some_and(|it| it.standing == Standing::Usable)
    };
    let survivor = current.members.iter().find(|name| stays(name))?;
    let place = Place::of(planner.instances[survivor]);
    if place.pool != group.pool {
        return None;
    }
    let mut spares = ranked(planner, group, planner.spares.get(&place)?).into_iter();
    let mut loads = 0;
    let mut members = Vec::with_capacity(current.members.len());
    for member in &current.members {
        if stays(member) {
            members.push(member.clone());
            continue;
        }
        let spare = spares.next()?;
        loads += load(spare, group);
        members.push(spare.name.clone());
    }
    Some(Offer { members, loads })
}

/// Places the whole group in one domain.
fn rebuild(planner: &planner::Planner<'_>, group: &Group) -> Option<Offer> {
    let size = group.size as usize;
    let places = planner
        .spares
        .iter()
        .filter(|(place, spares)| place.pool == group.pool && spares.len() >= size);
    let offers = places.map(|(place, spares)| {
        let chosen: Vec<_> = ranked(planner, group, spares).into_iter().take(size).collect();
        let loads = chosen.iter().map(|instance| load(instance, group)).sum();
        let members = chosen.iter().map(|instance| instance.name.clone()).collect();
        let left = spares.len() - size;
        ((loads, left == 0, left), place, Offer { members, loads })
    });
    let best = offers.min_by(|one, other| (one.0, one.1).cmp(&(other.0, other.1)));
    best.map(|(_, _, offer)| offer)
}

/// Spares in the order in which the group takes them: those that hold its weights first, those
/// that hold another model's last.
fn ranked<'a>(
    planner: &'a planner::Planner<'_>,
    group: &Group,
    spares: &BTreeSet<name::Instance>,
) -> Vec<&'a Instance> {
    let mut ranked: Vec<&Instance> =
        spares.iter().filter_map(|name| planner.instances.get(name).copied()).collect();
    ranked.sort_by_key(|instance| match &instance.holds {
        Some(model) if *model == group.model => 0,
        None => 1,
        Some(_) => 2,
    });
    ranked
}

fn load(instance: &Instance, group: &Group) -> u32 {
    u32::from(instance.holds.as_ref() != Some(&group.model))
}
