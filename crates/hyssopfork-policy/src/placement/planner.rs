//! One run of placement: the state that decisions are tried on, in order.

use super::{Current, Decision, Fleet, Group, Instance, Place, Spares, Standing, offer};
use crate::loads;
use hyssopfork_wire::name;
use std::cmp;
use std::collections::BTreeMap;

/// Condition of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// All members are usable.
    Whole,
    /// All members are alive, and some of them closed.
    Closing,
    /// Members are missing.
    Broken,
    /// It stands nowhere, or where it stands doesn't fit its declaration any more.
    Unplaced,
}

pub(super) struct Planner<'a> {
    fleet: &'a Fleet,
    pub(super) instances: BTreeMap<&'a name::Instance, &'a Instance>,
    pub(super) placements: BTreeMap<name::Group, Current>,
    pub(super) spares: Spares,
    budget: loads::Budget,
    decisions: Vec<Decision>,
}

impl<'a> Planner<'a> {
    pub(super) fn new(fleet: &'a Fleet) -> Planner<'a> {
        let instances = fleet.instances.iter().map(|instance| (&instance.name, instance)).collect();
        let mut planner = Planner {
            fleet,
            instances,
            placements: fleet.placements.clone(),
            spares: Spares::new(),
            budget: fleet.budget,
            decisions: Vec::new(),
        };
        planner.collect_spares();
        planner
    }

    pub(super) fn run(mut self) -> Vec<Decision> {
        self.drop_undeclared();
        self.repair();
        self.vacate();
        self.decisions
    }

    fn collect_spares(&mut self) {
        let placed: std::collections::BTreeSet<_> =
            self.placements.values().flat_map(|current| current.members.clone()).collect();
        for instance in &self.fleet.instances {
            if instance.standing == Standing::Usable && !placed.contains(&instance.name) {
                let place = Place::of(instance);
                self.spares.entry(place).or_default().insert(instance.name.clone());
            }
        }
    }

    fn drop_undeclared(&mut self) {
        let declared =
            |name: &name::Group| self.fleet.groups.iter().any(|group| group.name == *name);
        let gone: Vec<_> = self.placements.keys().filter(|name| !declared(name)).cloned().collect();
        for name in gone {
            self.unplace(&name);
        }
    }

    /// Mends and places groups, greatest priority first, then those that need the fewest loads.
    fn repair(&mut self) {
        let mut waiting: Vec<&Group> = self.fleet.groups.iter().collect();
        waiting.retain(|group| {
            matches!(self.condition(group), Condition::Broken | Condition::Unplaced)
        });
        while let Some((index, offer)) = self.next_repair(&waiting) {
            let group = waiting.remove(index);
            if self.budget.allows(offer.loads) {
                self.place(group, offer);
            } else {
                return;
            }
        }
        self.take_over(waiting);
    }

    /// The waiting group to mend next, and how.
    fn next_repair(&self, waiting: &[&Group]) -> Option<(usize, offer::Offer)> {
        let offers = waiting.iter().enumerate().filter_map(|(index, group)| {
            let offer = self.best_offer(group)?;
            Some((cmp::Reverse(group.priority), offer.loads, &group.name, index, offer))
        });
        let first = offers
            .min_by(|left, right| (left.0, left.1, left.2).cmp(&(right.0, right.1, right.2)))?;
        Some((first.3, first.4))
    }

    /// Groups that found no room take it from groups that count less.
    fn take_over(&mut self, mut waiting: Vec<&'a Group>) {
        waiting.sort_by_key(|group| (cmp::Reverse(group.priority), group.name.clone()));
        for index in 0..waiting.len() {
            let group = waiting[index];
            if !matches!(self.condition(group), Condition::Broken | Condition::Unplaced) {
                continue;
            }
            for victim in self.victims(group, &waiting[index + 1..]) {
                if self.take_from(group, &victim) {
                    break;
                }
            }
        }
    }

    /// Groups that may be broken up for `group`: those that don't serve anyway, then those of
    /// lesser priority, least first.
    fn victims(&self, group: &Group, waiting: &[&Group]) -> Vec<name::Group> {
        let idle = waiting.iter().rev().map(|other| other.name.clone());
        let mut serving: Vec<&Group> =
            self.fleet.groups.iter().filter(|other| other.priority < group.priority).collect();
        serving.sort_by_key(|other| (other.priority, other.name.clone()));
        let serving = serving.into_iter().map(|other| other.name.clone());
        idle.chain(serving).filter(|name| self.placements.contains_key(name)).collect()
    }

    /// Breaks up `victim` if that makes room for `group`, and places it; else changes nothing.
    fn take_from(&mut self, group: &Group, victim: &name::Group) -> bool {
        let before = (self.placements.clone(), self.spares.clone(), self.decisions.len());
        self.unplace(victim);
        let offer = self.best_offer(group).filter(|offer| self.budget.allows(offer.loads));
        if let Some(offer) = offer {
            self.place(group, offer);
            return true;
        }
        (self.placements, self.spares) = (before.0, before.1);
        self.decisions.truncate(before.2);
        false
    }

    /// Moves groups off closed instances once nothing runs on them.
    fn vacate(&mut self) {
        for group in &self.fleet.groups {
            let idle = self.placements.get(&group.name).is_some_and(|current| current.running == 0);
            if !idle || self.condition(group) != Condition::Closing {
                continue;
            }
            let offer = self.best_offer(group).filter(|offer| self.budget.allows(offer.loads));
            if let Some(offer) = offer {
                self.place(group, offer);
            }
        }
    }

    fn condition(&self, group: &Group) -> Condition {
        let Some(current) = self.placements.get(&group.name) else { return Condition::Unplaced };
        if !self.fits(group, current) {
            return Condition::Unplaced;
        }
        let standing = |name| self.instances.get(name).map_or(Standing::Missing, |it| it.standing);
        if current.members.iter().any(|name| standing(name) == Standing::Missing) {
            return Condition::Broken;
        }
        let whole = current.members.iter().all(|name| standing(name) == Standing::Usable);
        if whole { Condition::Whole } else { Condition::Closing }
    }

    /// Whether a placement is of the declared size, and of one domain of the declared pool.
    fn fits(&self, group: &Group, current: &Current) -> bool {
        if current.members.len() != group.size as usize {
            return false;
        }
        let known = current.members.iter().filter_map(|name| self.instances.get(name));
        let mut places: Vec<Place> = known.map(|instance| Place::of(instance)).collect();
        places.dedup();
        places.len() <= 1 && places.iter().all(|place| place.pool == group.pool)
    }

    fn best_offer(&self, group: &Group) -> Option<offer::Offer> {
        offer::best(self, group)
    }

    fn place(&mut self, group: &Group, offer: offer::Offer) {
        self.release(&group.name);
        for member in &offer.members {
            for spares in self.spares.values_mut() {
                spares.remove(member);
            }
        }
        let current = Current { members: offer.members.clone(), running: 0 };
        self.placements.insert(group.name.clone(), current);
        self.budget.start(offer.loads);
        self.decisions.push(Decision::Place { group: group.name.clone(), members: offer.members });
    }

    fn unplace(&mut self, name: &name::Group) {
        self.release(name);
        self.decisions.push(Decision::Unplace(name.clone()));
    }

    /// Ends a placement; its usable members are spares again.
    fn release(&mut self, name: &name::Group) {
        let Some(current) = self.placements.remove(name) else { return };
        for member in current.members {
            let Some(instance) = self.instances.get(&member) else { continue };
            if instance.standing == Standing::Usable {
                self.spares.entry(Place::of(instance)).or_default().insert(member);
            }
        }
    }
}
