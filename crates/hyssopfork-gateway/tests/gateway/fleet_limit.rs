//! Division of the fleet's limits among the entries.

use crate::fixture::at;
use hyssopfork_gateway::fleet_limit::Members;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

/// An entry that has been listed with `count` entries from 1 s on, as of `until`.
fn listed(count: usize, until: u64) -> Members {
    let mut members = Members::new(at(0), WINDOW);
    follow(&mut members, 1_000, until, count);
    members
}

/// Confirms a view of `count` entries every 0.4 s.
fn follow(members: &mut Members, from: u64, until: u64, count: usize) {
    for millis in (from..=until).step_by(400) {
        members.on_view(at(millis), at(millis), count, true);
    }
}

#[test]
fn a_share_accrues_over_a_window_once_all_entries_count_the_new_one() {
    assert_eq!(listed(4, 3_800).accrued(at(4_000), WINDOW), 0.0);
    assert_eq!(listed(4, 8_900).accrued(at(9_000), WINDOW), 0.5);
    assert_eq!(listed(4, 29_800).accrued(at(30_000), WINDOW), 1.0);
}

/// Guards against an entry that is cut off and spends a share that others have taken over.
#[test]
fn an_entry_whose_view_is_not_confirmed_has_no_share() {
    let mut members = listed(4, 29_800);
    assert_eq!(members.accrued(at(31_299), WINDOW), 1.0);
    assert_eq!(members.accrued(at(31_300), WINDOW), 0.0);

    members.on_view(at(32_000), at(32_000), 4, true);

    assert_eq!(members.accrued(at(32_000), WINDOW), 1.0);
}

/// Guards against a view that arrives late and confirms a share at a time that it doesn't tell of.
#[test]
fn a_view_confirms_a_share_from_when_it_was_asked_for() {
    let mut members = listed(4, 29_800);

    members.on_view(at(32_000), at(30_000), 4, true);

    assert_eq!(members.accrued(at(32_000), WINDOW), 0.0);
}

/// Guards against an entry that returns after the leader removed it and has its share at once.
#[test]
fn an_entry_that_may_have_been_removed_starts_again() {
    let mut cut_off = listed(4, 29_800);
    cut_off.on_view(at(33_000), at(33_000), 4, true);
    let mut removed = listed(4, 29_800);
    removed.on_view(at(30_200), at(30_200), 3, false);
    removed.on_view(at(33_000), at(33_000), 4, true);

    assert_eq!(cut_off.accrued(at(33_000), WINDOW), 0.0);
    assert_eq!(removed.accrued(at(33_000), WINDOW), 0.0);
}

/// Guards against taking over the share of a lost entry while what it spent still counts.
#[test]
fn a_lost_entry_is_counted_until_its_share_has_left_the_window() {
    let mut members = listed(4, 29_800);

    follow(&mut members, 30_200, 43_000, 3);

    assert_eq!(members.divisor(at(43_100), WINDOW), 4);
    assert_eq!(members.divisor(at(43_200), WINDOW), 3);
}

/// Guards against a new leader that knows few entries at first.
#[test]
fn a_short_view_does_not_raise_the_share() {
    let mut members = listed(8, 29_800);

    follow(&mut members, 30_200, 31_000, 1);
    follow(&mut members, 31_400, 60_000, 8);

    assert_eq!(members.divisor(at(31_000), WINDOW), 8);
    assert_eq!(members.divisor(at(60_000), WINDOW), 8);
}

#[test]
fn a_new_entry_is_counted_at_once() {
    let mut members = listed(4, 29_800);

    members.on_view(at(30_200), at(30_200), 5, true);

    assert_eq!(members.divisor(at(30_200), WINDOW), 5);
}
