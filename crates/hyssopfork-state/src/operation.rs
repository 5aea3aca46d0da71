//! Operations of a patch: their effect on the configuration and their summary in the history.

use hyssopfork_wire::{configuration, patch};
use std::fmt;

/// Applies one operation. The result is checked by [`crate::rules::validate`].
pub fn apply(configuration: &mut configuration::Configuration, operation: &patch::Operation) {
    match operation {
        patch::Operation::Declare(whole) => {
            let number = configuration.number;
            *configuration = (**whole).clone();
            configuration.number = number;
        }
        patch::Operation::SetZoneOut(zone, out) => {
            if let Some(zone) = configuration.zones.get_mut(zone) {
                zone.out = *out;
            }
        }
        patch::Operation::PutPool(name, pool) => {
            configuration.pools.insert(name.clone(), pool.clone());
        }
        patch::Operation::RemovePool(name) => {
            configuration.pools.remove(name);
        }
        patch::Operation::PutGroup(name, group) => {
            configuration.groups.insert(name.clone(), group.clone());
        }
        patch::Operation::RemoveGroup(name) => {
            configuration.groups.remove(name);
        }
        patch::Operation::PutRoute(name, route) => {
            configuration.routes.insert(name.clone(), route.clone());
        }
        patch::Operation::RemoveRoute(name) => {
            configuration.routes.remove(name);
        }
        patch::Operation::PutTeam(name, team) => {
            configuration.teams.insert(name.clone(), team.clone());
        }
        patch::Operation::RemoveTeam(name) => {
            configuration.teams.remove(name);
        }
        patch::Operation::SetDrained(instance, true) => {
            configuration.drained.insert(instance.clone());
        }
        patch::Operation::SetDrained(instance, false) => {
            configuration.drained.remove(instance);
        }
    }
}

/// Why an operation cannot be applied to `configuration`, with the remedy; `None` when it can.
pub fn fault(
    configuration: &configuration::Configuration,
    operation: &patch::Operation,
) -> Option<String> {
    match operation {
        patch::Operation::SetZoneOut(zone, _) => {
            undeclared_fault("zone", zone, configuration.zones.contains_key(zone))
        }
        patch::Operation::RemovePool(pool) => {
            undeclared_fault("pool", pool, configuration.pools.contains_key(pool))
        }
        patch::Operation::RemoveGroup(group) => {
            undeclared_fault("group", group, configuration.groups.contains_key(group))
        }
        patch::Operation::RemoveRoute(route) => {
            undeclared_fault("route", route, configuration.routes.contains_key(route))
        }
        patch::Operation::RemoveTeam(team) => {
            undeclared_fault("team", team, configuration.teams.contains_key(team))
        }
        patch::Operation::Declare(_)
        | patch::Operation::PutPool(..)
        | patch::Operation::PutGroup(..)
        | patch::Operation::PutRoute(..)
        | patch::Operation::PutTeam(..)
        | patch::Operation::SetDrained(..) => None,
    }
}

/// Summarizes the operation in one line for the history.
pub fn summary(operation: &patch::Operation) -> String {
    match operation {
        patch::Operation::Declare(whole) => format!(
            "declare {} zones, {} pools, {} groups, {} routes, {} teams, {} drained",
            whole.zones.len(),
            whole.pools.len(),
            whole.groups.len(),
            whole.routes.len(),
            whole.teams.len(),
            whole.drained.len()
        ),
        patch::Operation::SetZoneOut(zone, true) => format!("take zone {zone} out"),
        patch::Operation::SetZoneOut(zone, false) => format!("bring zone {zone} back"),
        patch::Operation::PutPool(pool, _) => format!("put pool {pool}"),
        patch::Operation::RemovePool(pool) => format!("remove pool {pool}"),
        patch::Operation::PutGroup(group, declared) => {
            format!("put group {group} of {} in pool {}", declared.size, declared.pool)
        }
        patch::Operation::RemoveGroup(group) => format!("remove group {group}"),
        patch::Operation::PutRoute(route, declared) => {
            format!("put route {route} at {} to pool {}", declared.prefix, declared.pool)
        }
        patch::Operation::RemoveRoute(route) => format!("remove route {route}"),
        patch::Operation::PutTeam(team, _) => format!("put team {team}"),
        patch::Operation::RemoveTeam(team) => format!("remove team {team}"),
        patch::Operation::SetDrained(instance, true) => format!("drain instance {instance}"),
        patch::Operation::SetDrained(instance, false) => {
            format!("end drain of instance {instance}")
        }
    }
}

fn undeclared_fault(kind: &str, name: impl fmt::Display, is_declared: bool) -> Option<String> {
    (!is_declared).then(|| format!("{kind} {name} is not declared; declare it or correct its name"))
}
