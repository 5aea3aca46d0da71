//! What is sent: teams, routes and their shares.

use hyssopfork_wire::{configuration, name};
use rand::RngExt;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Stands for the request's reference in paths, bodies and expectations.
pub const REFERENCE_PLACEHOLDER: &str = "{request}";

/// A plan.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Teams that send; at least one.
    pub teams: Vec<Team>,
    /// Routes that they use; at least one.
    pub routes: Vec<Route>,
}

/// A team that sends.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub team: name::Team,
    /// Its bearer token.
    pub token: String,
    /// Its share of the requests.
    pub share: u32,
}

/// A route that is used.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub route: name::Route,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// JSON body; absent for none.
    #[serde(default)]
    pub body: Option<serde_json::Value>,
    /// Class, for the summary.
    pub class: configuration::Class,
    /// Whether the work may run more than once; as the fleet's configuration says.
    pub repeatable: bool,
    /// Whether each request carries an Idempotency-Key.
    #[serde(default)]
    pub key: bool,
    /// Its share of the requests.
    pub share: u32,
    /// What a right answer is.
    #[serde(default)]
    pub expect: Expectation,
}

/// What a right answer is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// Anything whole.
    #[default]
    Whole,
    /// A body that holds this text.
    Text(String),
    /// This many tokens, each naming the request and its place, in order: what the fake engines
    /// answer to a prompt that holds `[#{request}]`.
    Tokens(u64),
}

/// One request of the plan, filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What back ends count its work under.
    pub reference: String,
    /// Team that sends it.
    pub team: Team,
    /// Its route, with the placeholder filled in.
    pub route: Route,
}

impl Plan {
    /// What is wrong with the plan; empty when nothing is.
    pub fn validate(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.teams.iter().all(|team| team.share == 0) {
            faults.push("\"teams\" names none with a share; give one a share above 0".into());
        }
        if self.routes.iter().all(|route| route.share == 0) {
            faults.push("\"routes\" names none with a share; give one a share above 0".into());
        }
        let relative = self.routes.iter().filter(|route| !route.path.starts_with('/'));
        faults.extend(
            relative.map(|route| {
                format!("path {:?} of {} must start with '/'", route.path, route.route)
            }),
        );
        faults
    }

    /// Draws a request, called `reference`.
    pub fn sample_request(&self, reference: String, random: &mut impl RngExt) -> Request {
        let shares = self.teams.iter().map(|team| team.share);
        let team = self.teams[pick_weighted(shares, random)].clone();
        let shares = self.routes.iter().map(|route| route.share);
        let route = fill_placeholders(&self.routes[pick_weighted(shares, random)], &reference);
        Request { reference, team, route }
    }
}

impl Request {
    /// Headers to send.
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
