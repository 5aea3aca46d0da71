//! Rules of placements.
//!
//! A leader may have decided on a placement by a state that has changed since, and two leaders may
//! have proposed at once. So every rule is checked again when the command is applied; a placement
//! that violates one has no effect.

use crate::upstream;
use hyssopfork_wire::{change, configuration, fleet, name, number};
use std::collections::BTreeSet;

/// The rule that a placement violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// The group is not declared.
    Undeclared,
    /// The group's placement is not the one to be replaced.
    Moved,
    /// The number of members differs from the declared size, or a member is listed twice.
    Size,
    /// A member may take no work, is not of the group's pool or is not recorded.
    Ineligible,
    /// A member belongs to another group's placement.
    Taken,
    /// The members are not in one fabric domain.
    Domains,
}

/// The rule that placing `members` as `group` in place of the placement `replaces` violates; `None`
/// when the placement is valid.
pub fn violation(
    view: &change::View,
    group: &name::Group,
    members: &[name::Instance],
    replaces: Option<number::Fence>,
) -> Option<Violation> {
    let Some(declared) = view.configuration.groups.get(group) else {
        return Some(Violation::Undeclared);
    };
    if view.placements.get(group).map(|placement| placement.fence) != replaces {
        return Some(Violation::Moved);
    }
    let distinct: BTreeSet<&name::Instance> = members.iter().collect();
    if members.len() != declared.size as usize || distinct.len() != members.len() {
        return Some(Violation::Size);
    }
    if !members.iter().all(|member| is_eligible(view, declared, member)) {
        return Some(Violation::Ineligible);
    }
    // An instance in two placements would have to serve two groups: the second one's first member
    // would wait for its grants forever, and both groups would be unavailable in turn.
    let others = view.placements.iter().filter(|(name, _)| *name != group);
    let mut taken = others.flat_map(|(_, placement)| &placement.members);
    if taken.any(|member| distinct.contains(member)) {
        return Some(Violation::Taken);
    }
    (count_domains(view, members) != 1).then_some(Violation::Domains)
}

/// Groups whose placement ends when the configuration changes to `next`: removed ones, and those
/// with another pool, model or size.
pub fn ended_by_configuration(
    view: &change::View,
    next: &configuration::Configuration,
) -> Vec<name::Group> {
    let is_unchanged = |group: &name::Group| match (
        view.configuration.groups.get(group),
        next.groups.get(group),
    ) {
        (Some(old), Some(new)) => {
            old.pool == new.pool && old.model == new.model && old.size == new.size
        }
        _ => false,
    };
    view.placements.keys().filter(|group| !is_unchanged(group)).cloned().collect()
}

/// The group whose placement ends because the new record of a member has another pool, fabric
/// domain or kind; `None` when there is none.
pub fn ended_by_record(view: &change::View, member: &fleet::Member) -> Option<name::Group> {
    let new = &member.announcement;
    let old = &view.members.get(&new.instance)?.announcement;
    let is_same =
        old.pool == new.pool && old.domain == new.domain && old.profile.kind == new.profile.kind;
    if is_same {
        return None;
    }
    upstream::placement_of(view, &new.instance).map(|(group, _, _)| group.clone())
}

/// Asserts the invariants of all placements.
///
/// # Panics
///
/// When an instance is in two placements, a placement's members are not recorded or in several
/// fabric domains, its group is not declared with that size, or a fencing number is used twice or
/// is above `newest`.
pub fn assert_invariants(view: &change::View, newest: number::Fence) {
    let mut taken = BTreeSet::new();
    let mut fences = BTreeSet::new();
    for (group, placement) in &view.placements {
        let size = view.configuration.groups.get(group).map(|declared| declared.size as usize);
        assert_eq!(size, Some(placement.members.len()), "group {group} is placed as declared");
        assert!(fences.insert(placement.fence), "fencing number {} is used twice", placement.fence);
        assert!(placement.fence <= newest, "fencing number {} was assigned", placement.fence);
        for member in &placement.members {
            assert!(taken.insert(member), "instance {member} is in two placements");
            assert!(view.members.contains_key(member), "member {member} is recorded");
        }
        assert_eq!(
            count_domains(view, &placement.members),
            1,
            "group {group} has one fabric domain"
        );
    }
}

fn is_eligible(
    view: &change::View,
    declared: &configuration::Group,
    instance: &name::Instance,
) -> bool {
    let of_pool =
        view.members.get(instance).is_some_and(|member| member.announcement.pool == declared.pool);
    of_pool && upstream::ineligibility(view, instance).is_none()
}

/// Number of fabric domains of `members`; names of domains are unique only within a zone.
fn count_domains(view: &change::View, members: &[name::Instance]) -> usize {
    let domains: BTreeSet<(&name::Zone, &name::Domain)> = members
        .iter()
        .filter_map(|member| view.members.get(member))
        .map(|member| (&member.announcement.zone, &member.announcement.domain))
        .collect();
    domains.len()
}
