//! Which call of an upstream counts.

use crate::fixture;
use hyssopfork_fleet::announcement::Announcement;
use hyssopfork_fleet::registry::{Outcome, Registry};
use hyssopfork_fleet::{quarantine, rate, view};
use hyssopfork_wire::name;
use std::time::Duration;

const SILENCE: Duration = Duration::from_millis(2_700);

fn registry() -> Registry {
    let mut registry = Registry::new(SILENCE);
    registry.record_announcement(fixture::at(0), fixture::announcement("e1"));
    registry
}

fn e1() -> name::Instance {
    name::Instance::from("e1")
}

/// A heartbeat that was held up by a cut arrives after a newer one; it must not undo what that said.
#[test]
fn a_call_that_was_overtaken_changes_nothing() {
    let mut registry = registry();
    let draining = Announcement { sequence: 3, draining: true, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(10), draining);

    let late = Announcement { sequence: 2, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), late);

    assert_eq!(taken, Outcome::Stale);
    assert!(registry.get(&e1()).is_some_and(|record| record.is_leaving()));
}

#[test]
fn a_new_process_under_the_same_name_counts_anew() {
    let mut registry = registry();
    registry.record_departure(fixture::at(10), &e1());

    let reborn = Announcement { start_time_ms: 2_000, sequence: 1, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), reborn);

    assert_eq!(taken, Outcome::Changed);
    assert!(registry.get(&e1()).is_some_and(|record| record.is_healthy()));
}

/// An upstream says that it is gone; a heartbeat that it had sent before comes after that. It must
/// get no new work.
#[test]
fn an_upstream_that_left_stays_gone() {
    let mut registry = registry();
    registry.record_departure(fixture::at(10), &e1());

    let held_up = Announcement { sequence: 2, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(20), held_up);

    assert!(registry.get(&e1()).is_some_and(|record| record.is_leaving()));
}

/// The address of an upstream that crashed belongs to another one now; a call of the dead one that
/// was held up must not bring it back.
#[test]
fn a_late_call_of_whoever_had_the_address_before_is_dropped() {
    let mut registry = registry();
    let heir = Announcement { start_time_ms: 5_000, ..fixture::announcement("e2") };
    registry.record_announcement(fixture::at(10), heir);

    let late = Announcement { sequence: 9, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), late);

    assert_eq!(taken, Outcome::Stale);
    assert!(registry.get(&e1()).is_none());
}

#[test]
fn a_silent_upstream_is_told_as_silent_and_heard_of_again_as_present() {
    let mut registry = registry();
    let later = fixture::at(3_000);
    assert_eq!(registry.published(later)[&e1()].status, view::Status::Silent);

    let again = Announcement { sequence: 2, ..fixture::announcement("e1") };
    registry.record_announcement(later, again);

    assert_eq!(registry.published(later)[&e1()].status, view::Status::Present);
}

#[test]
fn a_dead_upstream_that_calls_lives() {
    let mut registry = registry();
    registry.mark_dead(&e1());

    let again = Announcement { sequence: 2, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(10), again);

    assert_eq!(taken, Outcome::Changed);
    assert!(registry.get(&e1()).is_some_and(|record| !record.dead));
}

#[test]
fn what_a_follower_knows_is_taken_over_only_where_it_is_newer() {
    let mut registry = registry();
    let older = view::Upstream {
        announcement: Announcement { sequence: 0, draining: true, ..fixture::announcement("e1") },
        status: view::Status::Leaving,
        last_model: None,
        rate: None,
    };

    assert!(!registry.adopt(fixture::at(10), older));

    assert!(registry.get(&e1()).is_some_and(|record| record.is_healthy()));
}

#[test]
fn time_left_cold_shrinks_as_it_passes() {
    let mut registry = Registry::new(SILENCE);
    let cold = Announcement { cold: Duration::from_secs(3), ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(0), cold);

    let told = registry.published(fixture::at(1_000));

    assert_eq!(told[&e1()].announcement.cold, Duration::from_secs(2));
}

#[test]
fn the_model_of_the_last_group_is_remembered_until_a_new_start() {
    let mut registry = registry();
    let large = name::Model::from("large");
    let ready =
        Announcement { sequence: 2, loaded: Some(large.clone()), ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(10), ready);
    let left = Announcement { sequence: 3, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(20), left);
    assert_eq!(registry.get(&e1()).and_then(|record| record.last_model.clone()), Some(large));

    let reborn = Announcement { start_time_ms: 2_000, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(30), reborn);

    assert_eq!(registry.get(&e1()).and_then(|record| record.last_model.clone()), None);
}

/// The leader is lost while engines are between two groups. Callers of their model wait for the next
/// leader to have them join again: in a fifth of a second if it knows what they ran, after a load of
/// ten seconds if it goes by their hosts. A follower's word counts also when the engine called first.
#[test]
fn the_model_of_the_last_group_outlasts_the_leader() {
    let mut before = registry();
    let large = name::Model::from("large");
    let ready =
        Announcement { sequence: 2, loaded: Some(large.clone()), ..fixture::announcement("e1") };
    before.record_announcement(fixture::at(10), ready);
    let left = Announcement { sequence: 3, ..fixture::announcement("e1") };
    before.record_announcement(fixture::at(20), left);
    let known = before.published(fixture::at(30))[&e1()].clone();

    let mut first = Registry::new(SILENCE);
    first.adopt(fixture::at(40), known.clone());
    let mut second = Registry::new(SILENCE);
    let called = Announcement { sequence: 4, ..fixture::announcement("e1") };
    second.record_announcement(fixture::at(40), called);
    second.adopt(fixture::at(50), known);

    for registry in [first, second] {
        assert_eq!(
            registry.get(&e1()).and_then(|record| record.last_model.clone()),
            Some(large.clone())
        );
    }
}

/// Guards against an upstream that turns cold again before it was warm and is published as warm at the end
/// of its first cold time.
#[test]
fn an_upstream_is_published_as_cold_until_its_last_cold_time_ends() {
    let mut registry = Registry::new(Duration::from_secs(4));
    let cold = |sequence, millis| Announcement {
        sequence,
        cold: Duration::from_millis(millis),
        ..fixture::announcement("e1")
    };
    registry.record_announcement(fixture::at(0), cold(1, 500));
    registry.published(fixture::at(0));
    registry.record_announcement(fixture::at(400), cold(2, 3_000));

    let mut is_cold =
        |millis| !registry.published(fixture::at(millis))[&e1()].announcement.cold.is_zero();

    assert!(is_cold(600));
    assert!(is_cold(3_300));
    assert!(!is_cold(3_400));
}

fn change(per_second: Option<f64>, age: u64) -> rate::Change {
    let process = quarantine::Process {
        instance: e1(),
        start_time_ms: fixture::announcement("e1").start_time_ms,
    };
    let age = Duration::from_millis(age);
    rate::Change { process, rate: per_second.and_then(rate::Rate::new), age }
}

/// Guards against a limit that is lifted by the report of an answer from before it was named.
#[test]
fn the_rate_that_was_named_last_counts() {
    let mut registry = registry();

    let named = registry.set_rate(fixture::at(1_000), &change(Some(3.7), 10));
    let older = registry.set_rate(fixture::at(1_020), &change(None, 100));

    assert_eq!((named, older), (true, false));
    let published = registry.published(fixture::at(1_020))[&e1()].rate;
    assert_eq!(published, rate::Rate::new(3.7));
}

/// Guards against the limit of a process that has ended, on the next one of the same name.
#[test]
fn a_process_that_starts_anew_has_no_limit() {
    let mut registry = registry();
    registry.set_rate(fixture::at(1_000), &change(Some(3.7), 0));
    let next =
        Announcement { start_time_ms: 1_000_000, sequence: 1, ..fixture::announcement("e1") };

    registry.record_announcement(fixture::at(2_000), next);

    assert_eq!(registry.get(&e1()).and_then(|record| record.rate), None);
    assert!(!registry.set_rate(fixture::at(2_100), &change(Some(3.7), 0)));
}

/// Guards against a new leader that publishes no limit until each upstream has named it again.
#[test]
fn a_limit_is_taken_over_from_a_follower() {
    let mut registry = registry();
    let known = view::Upstream {
        announcement: fixture::announcement("e1"),
        status: view::Status::Present,
        last_model: None,
        rate: rate::Rate::new(3.7),
    };

    assert!(registry.adopt(fixture::at(10), known));

    assert_eq!(registry.get(&e1()).and_then(|record| record.rate), rate::Rate::new(3.7));
}
