//! Differences between two polls of the fleet.

use crate::overview;
use std::collections::BTreeMap;

/// Lists the changes, one line each.
pub fn diff(before: &overview::Overview, after: &overview::Overview) -> Vec<String> {
    let mut lines = Vec::new();
    if before.configuration != after.configuration {
        lines.push(format!("configuration {} is accepted", after.configuration));
    }
    if before.leader != after.leader || before.term != after.term {
        lines.push(format!("{} leads in term {}", after.leader, after.term));
    }
    let zone = |zone: &overview::Zone| {
        (format!("zone {}", zone.zone), if zone.out { "out" } else { "in service" }.to_owned())
    };
    compare(before.zones.iter().map(zone), after.zones.iter().map(zone), &mut lines);
    let group = |group: &overview::Group| {
        let fence = group.fence.map_or_else(String::new, |fence| format!(" (fence {fence})"));
        (format!("group {}", group.group), format!("{}{fence}", group.state))
    };
    compare(before.groups.iter().map(group), after.groups.iter().map(group), &mut lines);
    let instance = |instance: &overview::Instance| {
        (format!("instance {}", instance.instance), instance.condition.to_string())
    };
    compare(
        before.instances.iter().map(instance),
        after.instances.iter().map(instance),
        &mut lines,
    );
    lines
}

fn compare(
    before: impl Iterator<Item = (String, String)>,
    after: impl Iterator<Item = (String, String)>,
    lines: &mut Vec<String>,
) {
    let mut remaining: BTreeMap<String, String> = before.collect();
    for (subject, state) in after {
        match remaining.remove(&subject) {
            Some(previous) if previous == state => {}
            Some(previous) => lines.push(format!("{subject}: {previous} -> {state}")),
            None => lines.push(format!("{subject}: new, {state}")),
        }
    }
    lines.extend(remaining.into_keys().map(|subject| format!("{subject}: gone")));
}
