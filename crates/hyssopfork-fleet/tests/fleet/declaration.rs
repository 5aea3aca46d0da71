//! Validation of declarations.

use crate::fixture;
use hyssopfork_fleet::declaration::{Declaration, Fault, Team};
use hyssopfork_wire::name;
use std::time::Duration;

fn team(name: &str, key: &str) -> Team {
    Team { name: name::Team::from(name), keys: vec![key.to_owned()], priority: None }
}

#[test]
fn a_valid_declaration_has_no_faults() {
    assert_eq!(fixture::declaration(1).faults(), Vec::new());
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut unknown = fixture::route("r2", "/b/");
    unknown.targets = vec![(name::Pool::from("nobody"), 1)];
    let mut weightless = fixture::route("r3", "/c/");
    weightless.targets[0].1 = 0;
    let mut timeless = fixture::route("r4", "/d/");
    timeless.timeout = Duration::ZERO;
    let twin = fixture::route("r5", "/a/");
    let bare = fixture::route("r6", "/e");
    let mut declaration = fixture::declaration(1);
    declaration.routes.extend([unknown, weightless, timeless, twin, bare]);
    declaration.teams = vec![team("t1", "k"), team("t2", "k")];

    let faults = declaration.faults();

    let route = name::Route::from;
    let expected = [
        Fault::UnknownPool(route("r2"), name::Pool::from("nobody")),
        Fault::ZeroWeight(route("r3")),
        Fault::ZeroTimeout(route("r4")),
        Fault::InvalidPrefix(route("r6")),
        Fault::DuplicateRoute(route("r1"), route("r5")),
        Fault::SharedKey(name::Team::from("t1"), name::Team::from("t2")),
    ];
    assert_eq!(faults, expected);
}

#[test]
fn a_team_may_repeat_a_key() {
    let mut declaration: Declaration = fixture::declaration(1);
    let mut doubled = team("t1", "k");
    doubled.keys.push("k".to_owned());
    declaration.teams = vec![doubled];

    assert_eq!(declaration.faults(), Vec::new());
}

/// Guards against requests that run at the service of another route: the hosts of two routes differ in
/// capitals only, which requests don't distinguish.
#[test]
fn hosts_that_differ_in_capitals_are_the_same() {
    let mut declaration = fixture::declaration(1);
    let mut twin = declaration.routes[0].clone();
    twin.name = name::Route::from("twin");
    twin.host = twin.host.to_ascii_uppercase();
    let first = declaration.routes[0].name.clone();
    assert_ne!(twin.host, declaration.routes[0].host);
    declaration.routes.push(twin);

    let faults = declaration.faults();

    assert_eq!(faults, [Fault::DuplicateRoute(first, name::Route::from("twin"))]);
}
