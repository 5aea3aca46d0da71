//! Routing of an arriving request: its team, its route and the rules that apply to it.

use crate::event;
use hyssopfork_wire::{change, configuration, name, refusal};
use std::time::Duration;

/// Result of matching a request to its team and route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Match {
    /// Team of the client.
    pub team: name::Team,
    /// Route that matched.
    pub route: name::Route,
    /// Pool that serves the route.
    pub pool: name::Pool,
    /// Traffic class of the route.
    pub class: configuration::Class,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time within which the response must start.
    pub deadline: Duration,
}

/// Matches a request to its team and route.
///
/// # Errors
///
/// `Unauthorized` when the token belongs to no team, `NoRoute` when no route prefix matches the
/// path.
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

/// Whether the match still agrees with the view. A queued request must not be sent under rules that
/// changed while it waited.
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

/// Route with the longest prefix that matches the path; the query is ignored.
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

/// Whether `prefix` covers `path` up to a segment boundary: `/v1/status` covers `/v1/status/7` but
/// not `/v1/statuses`.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
