//! What changed between two looks at the fleet.

use crate::screen;
use std::collections::BTreeMap;

/// One line for each change.
pub fn between(last: &screen::Screen, now: &screen::Screen) -> Vec<String> {
    let mut lines = Vec::new();
    if last.configuration != now.configuration {
        lines.push(format!("configuration {} is accepted", now.configuration));
    }
    if last.leader != now.leader || last.term != now.term {
        lines.push(format!("{} leads in term {}", now.leader, now.term));
    }
    let zone = |zone: &screen::Zone| {
        (format!("zone {}", zone.zone), if zone.out { "out" } else { "in service" }.to_owned())
    };
    compare(last.zones.iter().map(zone), now.zones.iter().map(zone), &mut lines);
    let group = |group: &screen::Group| {
        let fence = group.fence.map_or_else(String::new, |fence| format!(" (fence {fence})"));
        (format!("group {}", group.group), format!("{}{fence}", group.standing))
    };
    compare(last.groups.iter().map(group), now.groups.iter().map(group), &mut lines);
    let instance = |instance: &screen::Instance| {
        (format!("instance {}", instance.instance), instance.condition.to_string())
    };
    compare(last.instances.iter().map(instance), now.instances.iter().map(instance), &mut lines);
    lines
}

fn compare(
    last: impl Iterator<Item = (String, String)>,
    now: impl Iterator<Item = (String, String)>,
    lines: &mut Vec<String>,
) {
    let mut last: BTreeMap<String, String> = last.collect();
    for (what, state) in now {
        match last.remove(&what) {
            Some(before) if before == state => {}
            Some(before) => lines.push(format!("{what}: {before} -> {state}")),
            None => lines.push(format!("{what}: new, {state}")),
        }
    }
    lines.extend(last.into_keys().map(|what| format!("{what}: gone")));
}
