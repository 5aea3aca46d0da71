//! One run of the placement decision: applies decisions in order to a copy of the state.

use super::{Availability, Decision, Domain, Fleet, Group, Instance, Placement, Spares, candidate};
use crate::weight_loads;
use hyssopfork_wire::name;
use std::cmp;
use std::collections::BTreeMap;

/// Condition of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    /// All members are available.
    Healthy,
    /// All members are alive, and some of them are cordoned.
    Cordoned,
    /// Members are missing.
    Broken,
    /// It has no placement, or one that no longer matches its declaration.
    Unplaced,
}

pub(super) struct Planner<'a> {
    fleet: &'a Fleet,
    pub(super) instances: BTreeMap<&'a name::Instance, &'a Instance>,
    pub(super) placements: BTreeMap<name::Group, Placement>,
    pub(super) spares: Spares,
    budget: weight_loads::Budget,
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
        self.remove_undeclared();
        self.repair();
        self.move_off_cordoned();
        self.decisions
    }

    fn collect_spares(&mut self) {
        let placed: std::collections::BTreeSet<_> =
            self.placements.values().flat_map(|current| current.members.clone()).collect();
        for instance in &self.fleet.instances {
            if instance.availability == Availability::Available && !placed.contains(&instance.name)
            {
                let domain = Domain::of(instance);
                self.spares.entry(domain).or_default().insert(instance.name.clone());
            }
        }
    }

    fn remove_undeclared(&mut self) {
        let declared =
            |name: &name::Group| self.fleet.groups.iter().any(|group| group.name == *name);
        let undeclared: Vec<_> =
            self.placements.keys().filter(|name| !declared(name)).cloned().collect();
        for name in undeclared {
            self.unplace(&name);
        }
    }

    /// Repairs and places groups, highest priority first, then those that need the fewest loads.
    fn repair(&mut self) {
        let mut waiting: Vec<&Group> = self.fleet.groups.iter().collect();
        waiting.retain(|group| {
            matches!(self.condition(group), Condition::Broken | Condition::Unplaced)
        });
        while let Some((index, candidate)) = self.next_repair(&waiting) {
            let group = waiting.remove(index);
            if self.budget.allows(candidate.loads) {
                self.place(group, candidate);
            } else {
                return;
            }
        }
        self.preempt(waiting);
    }

    /// The next waiting group to repair, and its placement.
    fn next_repair(&self, waiting: &[&Group]) -> Option<(usize, candidate::Candidate)> {
        let candidates = waiting.iter().enumerate().filter_map(|(index, group)| {
            let candidate = self.best_candidate(group)?;
            Some((cmp::Reverse(group.priority), candidate.loads, &group.name, index, candidate))
        });
        let first = candidates
            .min_by(|left, right| (left.0, left.1, left.2).cmp(&(right.0, right.1, right.2)))?;
        Some((first.3, first.4))
    }

    /// Lets groups that found no free instances take them from less important groups.
    fn preempt(&mut self, mut waiting: Vec<&'a Group>) {
        waiting.sort_by_key(|group| (cmp::Reverse(group.priority), group.name.clone()));
        for index in 0..waiting.len() {
            let group = waiting[index];
            if !matches!(self.condition(group), Condition::Broken | Condition::Unplaced) {
                continue;
            }
            for victim in self.victims(group, &waiting[index + 1..]) {
                if self.preempt_victim(group, &victim) {
                    break;
                }
            }
        }
    }

    /// Groups that may be preempted for `group`: those that don't serve anyway, then those of lower
    /// priority, lowest first.
    fn victims(&self, group: &Group, waiting: &[&Group]) -> Vec<name::Group> {
        let not_serving = waiting.iter().rev().map(|other| other.name.clone());
        let mut serving: Vec<&Group> =
            self.fleet.groups.iter().filter(|other| other.priority < group.priority).collect();
        serving.sort_by_key(|other| (other.priority, other.name.clone()));
        let serving = serving.into_iter().map(|other| other.name.clone());
        not_serving.chain(serving).filter(|name| self.placements.contains_key(name)).collect()
    }

    /// Removes `victim` if that lets `group` be placed, and places it; otherwise changes nothing.
    fn preempt_victim(&mut self, group: &Group, victim: &name::Group) -> bool {
        let before = (self.placements.clone(), self.spares.clone(), self.decisions.len());
        self.unplace(victim);
        let candidate =
            self.best_candidate(group).filter(|candidate| self.budget.allows(candidate.loads));
        if let Some(candidate) = candidate {
            self.place(group, candidate);
            return true;
        }
        (self.placements, self.spares) = (before.0, before.1);
        self.decisions.truncate(before.2);
        false
    }

    /// Moves groups off cordoned instances once no request runs on them.
    fn move_off_cordoned(&mut self) {
        for group in &self.fleet.groups {
            let idle = self.placements.get(&group.name).is_some_and(|current| current.running == 0);
            if !idle || self.condition(group) != Condition::Cordoned {
                continue;
            }
            let candidate =
                self.best_candidate(group).filter(|candidate| self.budget.allows(candidate.loads));
            if let Some(candidate) = candidate {
                self.place(group, candidate);
            }
        }
    }

    fn condition(&self, group: &Group) -> Condition {
        let Some(current) = self.placements.get(&group.name) else { return Condition::Unplaced };
        if !self.is_valid(group, current) {
            return Condition::Unplaced;
        }
        let availability =
            |name| self.instances.get(name).map_or(Availability::Missing, |it| it.availability);
        if current.members.iter().any(|name| availability(name) == Availability::Missing) {
            return Condition::Broken;
        }
        let all_available =
            current.members.iter().all(|name| availability(name) == Availability::Available);
        if all_available { Condition::Healthy } else { Condition::Cordoned }
    }

    /// Whether a placement has the declared size and lies in one domain of the declared pool.
    fn is_valid(&self, group: &Group, current: &Placement) -> bool {
        if current.members.len() != group.size as usize {
            return false;
        }
        let known = current.members.iter().filter_map(|name| self.instances.get(name));
        let mut domains: Vec<Domain> = known.map(|instance| Domain::of(instance)).collect();
        domains.dedup();
        domains.len() <= 1 && domains.iter().all(|domain| domain.pool == group.pool)
    }

    fn best_candidate(&self, group: &Group) -> Option<candidate::Candidate> {
        candidate::find_best(self, group)
    }

    fn place(&mut self, group: &Group, candidate: candidate::Candidate) {
        self.release(&group.name);
        for member in &candidate.members {
            for spares in self.spares.values_mut() {
                spares.remove(member);
            }
        }
        let current = Placement { members: candidate.members.clone(), running: 0 };
        self.placements.insert(group.name.clone(), current);
        self.budget.start(candidate.loads);
        self.decisions
            .push(Decision::Place { group: group.name.clone(), members: candidate.members });
    }

    fn unplace(&mut self, name: &name::Group) {
        self.release(name);
        self.decisions.push(Decision::Unplace(name.clone()));
    }

    /// Removes a placement; its available members become spares.
    fn release(&mut self, name: &name::Group) {
        let Some(current) = self.placements.remove(name) else { return };
        for member in current.members {
            let Some(instance) = self.instances.get(&member) else { continue };
            if instance.availability == Availability::Available {
                self.spares.entry(Domain::of(instance)).or_default().insert(member);
            }
        }
    }
}
