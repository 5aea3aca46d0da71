//! Lookup of routes and teams.

use crate::fixture::{self, arrival};
use hyssopfork_gateway::routing::{self, Error, Table};
use hyssopfork_wire::name;
use std::sync::Arc;

fn table() -> Table {
    let mut declaration = fixture::declaration();
    let mut inner = declaration.routes[1].clone();
    inner.name = name::Route::from("inner");
    inner.prefix = "/status/inner/".to_owned();
    declaration.routes.push(inner);
    Table::new(Arc::new(declaration))
}

fn find_route(path: &str) -> Result<String, Error> {
    let arrival = fixture::arrival_at(path);
    table().find(&arrival).map(|matched| matched.route.name.to_string())
}

#[test]
fn the_longest_prefix_wins() {
    assert_eq!(find_route("/status/inner/x"), Ok("inner".to_owned()));
    assert_eq!(find_route("/status/inner"), Ok("status".to_owned()));
    assert_eq!(find_route("/status"), Err(Error::RouteNotFound));
    assert_eq!(find_route("/statuses/x"), Err(Error::RouteNotFound));
}

#[test]
fn hosts_are_matched_case_insensitively() {
    let mut other = arrival("status");
    other.content.host = "HOST".to_owned();
    assert!(table().find(&other).is_ok());
    other.content.host = "another".to_owned();

    assert_eq!(table().find(&other).err(), Some(Error::RouteNotFound));
}

#[test]
fn an_anonymous_route_needs_no_key() {
    let mut without_key = arrival("open");
    without_key.key = None;
    assert!(table().find(&without_key).is_ok_and(|matched| matched.team.is_none()));
    without_key.content.path = "/status/x".to_owned();

    assert_eq!(table().find(&without_key).err(), Some(Error::KeyNotFound));
}

#[test]
fn weights_divide_requests_among_pools() {
    let mut route = fixture::declaration().routes[0].clone();
    route.targets = vec![(name::Pool::from("a"), 90), (name::Pool::from("b"), 10)];

    let taken = |draw| routing::pick_pool(&route, draw).map(name::Pool::as_str);

    assert_eq!(taken(0.0), Some("a"));
    assert_eq!(taken(0.89), Some("a"));
    assert_eq!(taken(0.91), Some("b"));
}

#[test]
fn a_pool_without_weight_receives_nothing() {
    let mut route = fixture::declaration().routes[0].clone();
    route.targets = vec![(name::Pool::from("a"), 0), (name::Pool::from("b"), 1)];

    assert_eq!(routing::pick_pool(&route, 0.0).map(name::Pool::as_str), Some("b"));
}
