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
struct Audience {
    version: number::Version,
    /// Whether it affects every instance.
    everyone: bool,
    /// Instances whose own record or whose group's record changed.
    informed: BTreeSet<name::Instance>,
    /// Instances that were placed or unplaced.
    reassigned: BTreeSet<name::Instance>,
}

/// Audiences of the latest steps.
#[derive(Debug, Default)]
pub struct Interests {
    audiences: VecDeque<Audience>,
    /// Members of each group after the newest step.
    groups: BTreeMap<name::Group, Vec<name::Instance>>,
}

impl Interests {
    /// Creates the state for `view`, without steps.
    pub fn new(view: &change::View) -> Interests {
        let group_members =
            |(group, placed): (&name::Group, &hyssopfork_wire::fleet::Placement)| {
                (group.clone(), placed.members.clone())
            };
        let groups = view.placements.iter().map(group_members).collect();
        Interests { audiences: VecDeque::new(), groups }
    }

    /// Adds a step, and removes those up to version `floor`.
    pub fn push(&mut self, step: &change::Step, floor: number::Version) {
        let mut audience = Audience { version: step.version, ..Audience::default() };
        for change in &step.changes {
            self.add_change(change, &mut audience);
        }
        self.audiences.push_back(audience);
        while self.audiences.front().is_some_and(|oldest| oldest.version <= floor) {
            self.audiences.pop_front();
        }
    }

    /// Whether any step after `version` affects `instance`.
    pub fn affects(&self, instance: &name::Instance, version: number::Version) -> bool {
        self.newer_than(version).any(|audience| {
            audience.everyone
                || audience.informed.contains(instance)
                || audience.reassigned.contains(instance)
        })
    }

    /// Narrows an update of the whole view, from `version` on, to the scope of `instance`.
    pub fn narrow(
        &self,
        view: &change::View,
        version: number::Version,
        update: change::Update,
        instance: &name::Instance,
    ) -> change::Update {
        let reassigned =
            self.newer_than(version).any(|audience| audience.reassigned.contains(instance));
        match update {
            change::Update::Current => change::Update::Current,
            change::Update::Whole(_) => {
                change::Update::Whole(Box::new(scope::view(view, instance)))
            }
            change::Update::Steps(_) if reassigned => {
                change::Update::Whole(Box::new(scope::view(view, instance)))
            }
            change::Update::Steps(steps) => {
                change::Update::Steps(narrow_steps(view, &steps, instance))
            }
        }
    }

    /// Audiences of the steps after `version`, newest first, since most watchers are only a few
    /// steps behind.
    fn newer_than(&self, version: number::Version) -> impl Iterator<Item = &Audience> {
        self.audiences.iter().rev().take_while(move |audience| audience.version > version)
    }

    fn add_change(&mut self, change: &change::Change, audience: &mut Audience) {
        match change {
            change::Change::Configured { operations, .. } => {
                operations.iter().for_each(|operation| self.add_operation(operation, audience));
            }
            change::Change::Joined(member) => {
                self.add_instance_and_group(&member.announcement.instance, audience);
            }
            change::Change::Forgotten(instance) => self.add_instance_and_group(instance, audience),
            change::Change::Placed(group, placement) => {
                self.add_reassigned_group(group, audience);
                audience.reassigned.extend(placement.members.iter().cloned());
                self.groups.insert(group.clone(), placement.members.clone());
            }
            change::Change::Unplaced(group) => {
                self.add_reassigned_group(group, audience);
                self.groups.remove(group);
            }
        }
    }

    fn add_operation(&self, operation: &patch::Operation, audience: &mut Audience) {
        match operation {
            patch::Operation::PutRoute(..)
            | patch::Operation::RemoveRoute(_)
            | patch::Operation::PutTeam(..)
            | patch::Operation::RemoveTeam(_) => {}
            patch::Operation::PutGroup(group, _) | patch::Operation::RemoveGroup(group) => {
                audience.informed.extend(self.groups.get(group).into_iter().flatten().cloned());
            }
            patch::Operation::SetDrained(instance, _) => {
                self.add_instance_and_group(instance, audience)
            }
            patch::Operation::Declare(_)
            | patch::Operation::SetZoneOut(..)
            | patch::Operation::PutPool(..)
            | patch::Operation::RemovePool(_) => audience.everyone = true,
        }
    }

    /// A record of one instance affects it and the members of its group.
    fn add_instance_and_group(&self, instance: &name::Instance, audience: &mut Audience) {
        audience.informed.insert(instance.clone());
        for members in self.groups.values().filter(|members| members.contains(instance)) {
            audience.informed.extend(members.iter().cloned());
        }
    }

    fn add_reassigned_group(&self, group: &name::Group, audience: &mut Audience) {
        audience.reassigned.extend(self.groups.get(group).into_iter().flatten().cloned());
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
    let mut index = 0;
    narrowed.retain(|step| {
        let retain = index == last || !step.changes.is_empty();
        index += 1;
        retain
    });
    narrowed
}
