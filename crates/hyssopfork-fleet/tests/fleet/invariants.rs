//! Invariants that are checked for every order that reaches an engine and for every publication.

use crate::engine;
use hyssopfork_fleet::groups::order;
use hyssopfork_fleet::view;
use hyssopfork_wire::name;
use std::collections::{BTreeMap, BTreeSet};

/// Checks, whichever process leads, that no engine joins another group while the head of its own is
/// open, and that no group opens before all its members have been ready.
pub fn check_order(
    engines: &BTreeMap<name::Instance, engine::Engine>,
    instance: &name::Instance,
    order: &order::Order,
) {
    let engine = &engines[instance];
    match &order.task {
        order::Task::Join { .. } => {
            let Some(held) = &engine.announcement.membership else { return };
            let other = (held.group.clone(), held.epoch) != (order.group.clone(), order.epoch);
            let newer = order.epoch > held.epoch;
            let open = |it: &engine::Engine| it.is_open_in(&held.group, held.epoch);
            assert!(
                !(other && newer && engines.values().any(open)),
                "{instance} joins {} while the head of {} is open",
                order.group,
                held.group
            );
        }
        order::Task::Open if engine.announcement.is_in(&order.group, order.epoch) => {
            for member in &engine.members {
                let member = &engines[member];
                let gone = !member.alive || !member.announcement.is_in(&order.group, order.epoch);
                let was_ready = member.has_been_ready(order.epoch);
                assert!(was_ready || gone, "{} opens without a member", order.group);
            }
        }
        _ => {}
    }
}

/// Checks that no engine is a member of two published groups.
pub fn check_groups(groups: &BTreeMap<name::Group, view::Group>) {
    let mut members = BTreeSet::new();
    for (name, group) in groups {
        for member in &group.members {
            assert!(members.insert(member), "{member} is in {name} and in another group");
        }
    }
}
