//! Scoped views: the part of the view that one instance's agent needs.
//!
//! 4,800 agents follow the view, and each needs only its own record, its group's members and the
//! declaration. If each followed the whole view, it would hold a record of every other instance, a
//! restart of the fleet would send the whole view 4,800 times (7 GB from one leader), and each
//! instance that joins or leaves would wake all agents. A scoped view has the same version as the
//! whole view, so versions can be compared across processes.

use hyssopfork_wire::{change, fleet, name};

/// The scoped view of `instance`: the declaration, its own record, and its group with the records
/// of the other members.
pub fn view(view: &change::View, instance: &name::Instance) -> change::View {
    let mut scoped = change::View {
        version: view.version,
        configuration: view.configuration.clone(),
        ..change::View::default()
    };
    if let Some((group, placement)) = group_of(view, instance) {
        scoped.placements.insert(group.clone(), placement.clone());
    }
    let is_near = |other: &&name::Instance| is_in_scope(view, instance, other);
    for other in view.members.keys().filter(is_near) {
        scoped.members.insert(other.clone(), view.members[other].clone());
    }
    scoped
}

/// The part of a step that is in the scope of `instance`, which must be placed in `view` as it was
/// before the step.
pub fn step(view: &change::View, step: &change::Step, instance: &name::Instance) -> change::Step {
    let in_scope = |change: &&change::Change| match change {
        change::Change::Configured { .. } => true,
        change::Change::Joined(member) => {
            is_in_scope(view, instance, &member.announcement.instance)
        }
        change::Change::Forgotten(other) => is_in_scope(view, instance, other),
        change::Change::Placed(_, placement) => placement.members.contains(instance),
        change::Change::Unplaced(_) => false,
    };
    let changes = step.changes.iter().filter(in_scope).cloned().collect();
    change::Step { version: step.version, changes }
}

/// Whether `other` is `instance` itself or a member of the same group.
fn is_in_scope(view: &change::View, instance: &name::Instance, other: &name::Instance) -> bool {
    let has_member = |(_, placement): (_, &fleet::Placement)| placement.members.contains(other);
    other == instance || group_of(view, instance).is_some_and(has_member)
}

fn group_of<'a>(
    view: &'a change::View,
    instance: &name::Instance,
) -> Option<(&'a name::Group, &'a fleet::Placement)> {
    view.placements.iter().find(|(_, placement)| placement.members.contains(instance))
}
