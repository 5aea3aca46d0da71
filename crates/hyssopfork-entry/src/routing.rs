//! What an arriving request is: whose, on which route, under which rules.

use crate::event;
use hyssopfork_wire::{change, configuration, name, refusal};
use std::time::Duration;

/// How a request is to be treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Team of the caller.
    pub team: name::Team,
    /// Route that matched.
    pub route: name::Route,
    /// Pool that does the work.
    pub pool: name::Pool,
    /// Class of the work.
    pub class: configuration::Class,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time within which the answer must begin.
    pub deadline: Duration,
}

/// Finds the plan for a request.
///
/// # Errors
///
/// `Unauthorized` when its token names no team, `NoRoute` when no route's prefix matches.
pub fn resolve(
    configuration: &configuration::Configuration,
    arrival: &event::Arrival,
) -> Result<Match, refusal::Reason> {
    let token = arrival.token_sha256.as_deref();
    let team = find_team(configuration, token).ok_or(refusal::Reason::Unauthorized)?;
    let (name, route) = find_route(configuration, &arrival.path).ok_or(refusal::Reason::NoRoute)?;
    Ok(Match {
        team: team.clone(),
        route: name.clone(),
        pool: route.pool.clone(),
        class: route.class,
        repeatable: route.repeatable,
        deadline: Duration::from_millis(route.deadline_ms),
    })
}

/// Whether the plan is still what the view declares: a request that waited must not be sent by
/// rules that were changed meanwhile.
pub fn is_current(view: &change::View, routing: &Match) -> bool {
    let declared = view.configuration.routes.get(&routing.route);
    view.configuration.teams.contains_key(&routing.team)
        && declared.is_some_and(|route| {
            route.pool == routing.pool && (route.repeatable || !routing.repeatable)
        })
}

fn find_team<'a>(
    configuration: &'a configuration::Configuration,
    token: Option<&str>,
) -> Option<&'a name::Team> {
    let token = token?;
    let has_token = |team: &configuration::Team| team.token_sha256.contains(token);
    configuration.teams.iter().find(|(_, team)| has_token(team)).map(|(name, _)| name)
}

/// Route with the longest prefix that matches the path, whose query doesn't count.
fn find_route<'a>(
    configuration: &'a configuration::Configuration,
    path: &str,
) -> Option<(&'a name::Route, &'a configuration::Route)> {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    configuration
        .routes
        .iter()
        .filter(|(_, route)| is_path_prefix(&route.prefix, path))
        .max_by_key(|(_, route)| route.prefix.len())
}

/// Whether `prefix` covers `path` at a segment's end: `/v1/status` covers `/v1/status/7`, not
/// `/v1/statuses`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
