//! Plan of a load run: teams, routes and their shares of the requests.

use hyssopfork_wire::{configuration, name};
use rand::RngExt;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Placeholder for the reference of the request in paths, bodies and expectations.
pub const REFERENCE_PLACEHOLDER: &str = "{request}";

/// Teams and routes of a load run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Teams that send requests; at least one.
    pub teams: Vec<Team>,
    /// Routes of the requests; at least one.
    pub routes: Vec<Route>,
}

/// A team that sends requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub team: name::Team,
    /// Bearer token of the team.
    pub token: String,
    /// Relative share of the requests.
    pub share: u32,
}

/// A route that requests use.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub route: name::Route,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// JSON body, if any.
    #[serde(default)]
    pub body: Option<serde_json::Value>,
    /// Class, for the summary.
    pub class: configuration::Class,
    /// Whether the work may run more than once, as in the fleet's configuration.
    pub repeatable: bool,
    /// Whether each request carries an Idempotency-Key.
    #[serde(default)]
    pub key: bool,
    /// Relative share of the requests.
    pub share: u32,
    /// Expected response.
    #[serde(default)]
    pub expect: Expectation,
}

/// Expected response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// Any complete response.
    #[default]
    Whole,
    /// A body that contains this text.
    Text(String),
    /// This many tokens in order, each with the reference of the request and its index: what the
    /// fake engines generate for a prompt that contains `[#{request}]`.
    Tokens(u64),
}

/// A request sampled from the plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Reference under which back ends count the work.
    pub reference: String,
    /// Team that sends the request.
    pub team: Team,
    /// Route of the request, with the placeholder replaced.
    pub route: Route,
}

impl Plan {
    /// Lists the errors of the plan; empty if it is valid.
    pub fn validate(&self) -> Vec<String> {
        let mut errors = Vec::new();
        if self.teams.iter().all(|team| team.share == 0) {
            errors.push("\"teams\" has no team with a share; give one a share above 0".into());
        }
        if self.routes.iter().all(|route| route.share == 0) {
            errors.push("\"routes\" has no route with a share; give one a share above 0".into());
        }
        let relative = self.routes.iter().filter(|route| !route.path.starts_with('/'));
        errors.extend(
            relative.map(|route| {
                format!("path {:?} of {} must start with '/'", route.path, route.route)
            }),
        );
        errors
    }

    /// Samples a request with the given reference.
    pub fn sample_request(&self, reference: String, random: &mut impl RngExt) -> Request {
        let shares = self.teams.iter().map(|team| team.share);
        let team = self.teams[pick_weighted(shares, random)].clone();
        let shares = self.routes.iter().map(|route| route.share);
        let route = fill_placeholders(&self.routes[pick_weighted(shares, random)], &reference);
        Request { reference, team, route }
    }
}

impl Request {
    /// Headers of the request.
    pub fn headers(&self) -> Vec<(String, String)> {
        let authorization = format!("Bearer {}", self.team.token);
        let mut headers = BTreeMap::from([("authorization".to_owned(), authorization)]);
        if self.route.body.is_some() {
            headers.insert("content-type".to_owned(), "application/json".to_owned());
        }
        if self.route.key {
            headers.insert("idempotency-key".to_owned(), self.reference.clone());
        }
        headers.into_iter().collect()
    }
}

fn fill_placeholders(route: &Route, reference: &str) -> Route {
    let body = route.body.as_ref().map(|body| {
        let text = body.to_string().replace(REFERENCE_PLACEHOLDER, reference);
        serde_json::from_str(&text).expect("references are plain text")
    });
    let expect = match &route.expect {
        Expectation::Text(text) => {
            Expectation::Text(text.replace(REFERENCE_PLACEHOLDER, reference))
        }
        other => other.clone(),
    };
    let path = route.path.replace(REFERENCE_PLACEHOLDER, reference);
    Route { path, body, expect, ..route.clone() }
}

fn pick_weighted(shares: impl Iterator<Item = u32> + Clone, random: &mut impl RngExt) -> usize {
    let total: u32 = shares.clone().sum();
    let mut drawn = random.random_range(0..total.max(1));
    for (index, share) in shares.enumerate() {
        if drawn < share {
            return index;
        }
        drawn -= share;
    }
    0
}
