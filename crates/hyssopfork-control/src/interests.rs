//! Interest management: the instances that each recent step affects, so that an agent receives only
//! what it needs and is not woken by other changes.
//!
//! Placing an instance in a group, or removing it from one, changes which part of the view it
//! needs. It then gets this part as a whole, which is small. All other changes are sent as
//! differences.

use hyssopfork_state::scope;
use hyssopfork_wire::{change, name, number, patch};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The instances that one step affects.
#[derive(Debug, Default)]
struct Concern {
    version: number::Version,
    /// Whether it affects every instance.
    all: bool,
    /// Instances whose own record or whose group's record changed.
    told: BTreeSet<name::Instance>,
    /// Instances that were placed or unplaced.
    moved: BTreeSet<name::Instance>,
}

/// Audiences of the latest steps.
#[derive(Debug, Default)]
pub struct Interests {
    concerns: VecDeque<Concern>,
    /// Members of each group after the newest step.
    groups: BTreeMap<name::Group, Vec<name::Instance>>,
}

impl Interests {
    /// Creates the state for `view`, without steps.
    pub fn new(view: &change::View) -> Interests {
        let members = |(group, placed): (&name::Group, &hyssopfork_wire::fleet::Placement)| {
            (group.clone(), placed.members.clone())
        };
        let groups = view.placements.iter().map(members).collect();
        Interests { concerns: VecDeque::new(), groups }
    }

    /// Adds a step, and removes those up to version `floor`.
    pub fn push(&mut self, step: &change::Step, floor: number::Version) {
        let mut concern = Concern { version: step.version, ..Concern::default() };
        for change in &step.changes {
            self.take(change, &mut concern);
        }
        self.concerns.push_back(concern);
        while self.concerns.front().is_some_and(|oldest| oldest.version <= floor) {
            self.concerns.pop_front();
        }
    }

    /// Whether any step after `version` affects `instance`.
    pub fn concerns(&self, instance: &name::Instance, have: number::Version) -> bool {
        self.newer(have).any(|concern| {
            concern.all || concern.told.contains(instance) || concern.moved.contains(instance)
        })
    }

    /// Narrows an update of the whole view, from `version` on, to the scope of `instance`.
    pub fn narrow(
        &self,
        view: &change::View,
        have: number::Version,
        update: change::Update,
        instance: &name::Instance,
    ) -> change::Update {
        let moved = self.newer(have).any(|concern| concern.moved.contains(instance));
        match update {
            change::Update::Current => change::Update::Current,
            change::Update::Whole(_) => {
                change::Update::Whole(Box::new(scope::view(view, instance)))
            }
            change::Update::Steps(_) if moved => {
                change::Update::Whole(Box::new(scope::view(view, instance)))
            }
            change::Update::Steps(steps) => {
                change::Update::Steps(narrow_steps(view, &steps, instance))
            }
        }
    }

    /// Audiences of the steps after `version`, newest first, since most watchers are only a few
    /// steps behind.
    fn newer(&self, have: number::Version) -> impl Iterator<Item = &Concern> {
        self.concerns.iter().rev().take_while(move |concern| concern.version > have)
    }

    fn take(&mut self, change: &change::Change, concern: &mut Concern) {
        match change {
            change::Change::Configured { operations, .. } => {
                operations.iter().for_each(|operation| self.take_operation(operation, concern));
            }
            change::Change::Joined(member) => {
                self.tell_near(&member.announcement.instance, concern);
            }
            change::Change::Forgotten(instance) => self.tell_near(instance, concern),
            change::Change::Placed(group, placement) => {
                self.move_group(group, concern);
                concern.moved.extend(placement.members.iter().cloned());
                self.groups.insert(group.clone(), placement.members.clone());
            }
            change::Change::Unplaced(group) => {
                self.move_group(group, concern);
                self.groups.remove(group);
            }
        }
    }

    fn take_operation(&self, operation: &patch::Operation, concern: &mut Concern) {
        match operation {
            patch::Operation::PutRoute(..)
            | patch::Operation::RemoveRoute(_)
            | patch::Operation::PutTeam(..)
            | patch::Operation::RemoveTeam(_) => {}
            patch::Operation::PutGroup(group, _) | patch::Operation::RemoveGroup(group) => {
                concern.told.extend(self.groups.get(group).into_iter().flatten().cloned());
            }
            patch::Operation::SetDrained(instance, _) => self.tell_near(instance, concern),
            patch::Operation::Declare(_)
            | patch::Operation::SetZoneOut(..)
            | patch::Operation::PutPool(..)
            | patch::Operation::RemovePool(_) => concern.all = true,
        }
    }

    /// A record of one instance affects it and the members of its group.
    fn tell_near(&self, instance: &name::Instance, concern: &mut Concern) {
        concern.told.insert(instance.clone());
        for members in self.groups.values().filter(|members| members.contains(instance)) {
            concern.told.extend(members.iter().cloned());
        }
    }

    fn move_group(&self, group: &name::Group, concern: &mut Concern) {
        concern.moved.extend(self.groups.get(group).into_iter().flatten().cloned());
    }
}

/// Keeps the last step even if it is empty, since it carries the version.
fn narrow_steps(
    view: &change::View,
    steps: &[change::Step],
    instance: &name::Instance,
) -> Vec<change::Step> {
    let mut narrowed: Vec<change::Step> =
        steps.iter().map(|step| scope::step(view, step, instance)).collect();
    let last = narrowed.len().saturating_sub(1);
    let mut place = 0;
    narrowed.retain(|step| {
        let keep = place == last || !step.changes.is_empty();
        place += 1;
        keep
    });
    narrowed
}
