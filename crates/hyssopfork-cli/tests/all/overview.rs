//! Deriving the overview from a status.

use crate::support::{holding, report, status};
use hyssopfork_cli::overview;
use hyssopfork_test_support::fixture;
use hyssopfork_wire::{fleet, name, number};
use std::time::Duration;

#[test]
fn fleet_with_all_groups_serving_is_healthy() {
    let status = status();

    let overview = overview::build(&status);

    assert!(overview.is_healthy());
    assert_eq!(overview.groups[0].state, overview::State::Serving);
    assert_eq!(overview.stranded, 0);
}

#[test]
fn group_with_a_missing_member_is_incomplete_and_strands_the_others() {
    let mut status = status();
    let second = name::Instance::from("runner-2");
    status.view.members.get_mut(&second).expect("a member").present = false;

    let overview = overview::build(&status);

    assert_eq!(overview.groups[0].state, overview::State::Incomplete);
    assert_eq!(overview.groups[0].missing, [second]);
    assert_eq!(overview.stranded, 4);
    assert!(!overview.is_healthy());
}

#[test]
fn group_whose_first_member_serves_with_an_older_fence_is_forming() {
    let mut status = status();
    let older_fence = fleet::Report { joined: number::Fence(6), ..report(true) };
    status.holdings[0] = holding("runner-1", Some(older_fence));

    let overview = overview::build(&status);

    assert_eq!(overview.groups[0].state, overview::State::Forming);
}

#[test]
fn declared_group_without_a_placement_is_unplaced() {
    let mut status = status();
    status.view.placements.clear();

    let overview = overview::build(&status);

    assert_eq!(overview.groups[0].state, overview::State::Unplaced);
    assert_eq!(overview.stranded, 8);
}

#[test]
fn engines_of_a_zone_that_is_out_are_not_stranded() {
    let mut status = status();
    status.view.placements.clear();
    status.view.configuration.zones.get_mut(&"ikeja".into()).expect("declared").out = true;

    let overview = overview::build(&status);

    assert_eq!(overview.stranded, 0);
}

#[test]
fn lease_holder_with_an_older_view_is_a_laggard() {
    let mut status = status();
    status.holdings[1].version = number::Version(0);

    let overview = overview::build(&status);

    let laggards: Vec<&str> =
        overview.laggards.iter().map(|laggard| laggard.instance.as_str()).collect();
    assert_eq!(laggards, ["runner-2"]);
    assert!(!overview.is_healthy());
}

// A killed process remains listed with the version that it reported last. It serves nothing without
// a lease, so the configuration still is in force everywhere; if it counted as a laggard, one dead
// instance would make every later check of the fleet fail.
#[test]
fn process_without_a_lease_is_lapsed_and_not_a_laggard() {
    let mut status = status();
    status.holdings[2].version = number::Version(0);
    status.holdings[2].age = Duration::from_secs(60);

    let overview = overview::build(&status);

    assert_eq!(overview.lapsed, [name::Instance::from("entry-1")]);
    assert!(overview.is_healthy());
    assert_eq!((overview.holders, overview.entries), (2, 0));
}

#[test]
fn only_instances_that_receive_requests_are_reported_cold() {
    let mut status = status();
    let cold = |serving| Some(fleet::Report { warm: false, ..report(serving) });
    status.holdings[0] = holding("runner-1", cold(true));
    status.holdings[1] = holding("runner-2", cold(false));

    let overview = overview::build(&status);

    let conditions: Vec<overview::Condition> =
        overview.instances.iter().map(|instance| instance.condition).collect();
    assert_eq!(conditions, [overview::Condition::Cold, overview::Condition::Ready]);
}

#[test]
fn conditions_show_cold_down_and_drained() {
    let mut status = status();
    let cold = fleet::Report { warm: false, ..report(true) };
    status.holdings[0] = holding("runner-1", Some(cold));
    status.holdings[1] = holding("runner-2", Some(fleet::Report { alive: false, ..report(false) }));
    let drained = fixture::member(fixture::announcement("lekki", "lekki-1", 3));
    status.view.members.insert("runner-3".into(), drained);
    status.view.configuration.drained.insert("runner-3".into());
    status.holdings.push(holding("runner-3", Some(report(false))));

    let overview = overview::build(&status);

    let conditions: Vec<overview::Condition> =
        overview.instances.iter().map(|instance| instance.condition).collect();
    let expected =
        [overview::Condition::Cold, overview::Condition::Down, overview::Condition::Drained];
    assert_eq!(conditions, expected);
}
