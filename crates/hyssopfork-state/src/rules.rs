//! Rules of the configuration.
//!
//! A patch is validated by its result as a whole. All faults are reported at once with their
//! remedies, so that an operator can correct a declaration in one round.

use hyssopfork_wire::{configuration, name};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Most members of a group. Bounds the size of a placement; the largest planned replicas have 8.
pub const MAX_GROUP_MEMBERS: u32 = 64;

/// Longest deadline of a route.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Greatest weight of a team, so that the sum over all teams cannot overflow.
pub const MAX_TEAM_WEIGHT: u32 = 1_000_000;

/// Number of hexadecimal digits of a SHA-256.
const TOKEN_DIGITS: usize = 64;

/// Every rule that `configuration` violates, each with its remedy; empty when it is valid.
pub fn validate(configuration: &configuration::Configuration) -> Vec<String> {
    let mut faults = Vec::new();
    check_names(configuration, &mut faults);
    check_pools(configuration, &mut faults);
    check_groups(configuration, &mut faults);
    check_routes(configuration, &mut faults);
    check_teams(configuration, &mut faults);
    faults
}

/// Why `text` is not a valid name, with the remedy; `None` when it is valid.
pub fn name_fault(kind: &str, text: &str) -> Option<String> {
    (!name::is_valid(text)).then(|| {
        let shown: String = text.chars().take(name::MAX_BYTES).collect();
        format!(
            "{kind} name {shown:?} is not valid; use 1 to {} of a-z, 0-9, '-', '_' and '.'",
            name::MAX_BYTES
        )
    })
}

fn check_names(configuration: &configuration::Configuration, faults: &mut Vec<String>) {
    let zones = configuration.zones.keys().map(|name| ("zone", name.as_str()));
    let pools = configuration.pools.keys().map(|name| ("pool", name.as_str()));
    let groups = configuration.groups.keys().map(|name| ("group", name.as_str()));
    let models = configuration.groups.values().map(|group| ("model", group.model.as_str()));
    let routes = configuration.routes.keys().map(|name| ("route", name.as_str()));
    let teams = configuration.teams.keys().map(|name| ("team", name.as_str()));
    let drained = configuration.drained.iter().map(|name| ("instance", name.as_str()));
    let all = zones.chain(pools).chain(groups).chain(models);
    let all = all.chain(routes).chain(teams).chain(drained);
    faults.extend(all.filter_map(|(kind, text)| name_fault(kind, text)));
}

fn check_pools(configuration: &configuration::Configuration, faults: &mut Vec<String>) {
    for (name, pool) in &configuration.pools {
        for zone in &pool.zones {
            if !configuration.zones.contains_key(zone) {
                faults.push(undeclared_fault(format_args!("pool {name}"), "zone", zone));
            }
        }
    }
}

fn check_groups(configuration: &configuration::Configuration, faults: &mut Vec<String>) {
    for (name, group) in &configuration.groups {
        if !(1..=MAX_GROUP_MEMBERS).contains(&group.size) {
            faults.push(format!(
                "group {name} has size {}; give it 1 to {MAX_GROUP_MEMBERS} members",
                group.size
            ));
        }
        match configuration.pools.get(&group.pool).map(|pool| pool.kind) {
            None => {
                faults.push(undeclared_fault(format_args!("group {name}"), "pool", &group.pool))
            }
            Some(configuration::Kind::Engine) => {}
            Some(kind) => faults.push(format!(
                "group {name} names pool {} of kind {kind}; name a pool of kind engine",
                group.pool
            )),
        }
    }
}

fn check_routes(configuration: &configuration::Configuration, faults: &mut Vec<String>) {
    let mut prefixes = BTreeMap::new();
    for (name, route) in &configuration.routes {
        if !is_path(&route.prefix) {
            faults.push(format!(
                "route {name} has prefix {:?}; write a path that starts with '/' and has no \
                 spaces, '?' or '#'",
                route.prefix
            ));
        }
        if let Some(other) = prefixes.insert(route.prefix.as_str(), name) {
            faults.push(format!(
                "routes {other} and {name} have the same prefix {:?}; give each its own",
                route.prefix
            ));
        }
        if !configuration.pools.contains_key(&route.pool) {
            faults.push(undeclared_fault(format_args!("route {name}"), "pool", &route.pool));
        }
        if route.deadline_ms == 0 || Duration::from_millis(route.deadline_ms) > MAX_DEADLINE {
            faults.push(format!(
                "route {name} has deadline_ms {}; give it 1 to {}",
                route.deadline_ms,
                MAX_DEADLINE.as_millis()
            ));
        }
    }
}

fn check_teams(configuration: &configuration::Configuration, faults: &mut Vec<String>) {
    let mut tokens = BTreeMap::new();
    for (name, team) in &configuration.teams {
        if !(1..=MAX_TEAM_WEIGHT).contains(&team.weight) {
            faults.push(format!(
                "team {name} has weight {}; give it 1 to {MAX_TEAM_WEIGHT}",
                team.weight
            ));
        }
        for token in &team.token_sha256 {
            if !is_digest(token) {
                faults.push(format!(
                    "team {name} has a token_sha256 that is no SHA-256; write {TOKEN_DIGITS} \
                     lower-case hexadecimal digits of the token's hash, never the token"
                ));
            } else if let Some(other) = tokens.insert(token.as_str(), name) {
                faults.push(format!(
                    "teams {other} and {name} share a token; give each token to one team"
                ));
            }
        }
    }
}

fn undeclared_fault(owner: fmt::Arguments<'_>, kind: &str, name: impl fmt::Display) -> String {
    format!("{owner} names {kind} {name}, which is not declared; declare it or name another")
}

fn is_path(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#');
    text.starts_with('/') && text.bytes().all(allowed)
}

fn is_digest(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == TOKEN_DIGITS && text.bytes().all(allowed)
}
