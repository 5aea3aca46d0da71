//! Which upstream calls the registry applies, and what it publishes.

use crate::fixture;
use hyssopfork_fleet::announcement::Announcement;
use hyssopfork_fleet::registry::{Outcome, Registry};
use hyssopfork_fleet::{quarantine, rate, view};
use hyssopfork_wire::name;
use std::time::Duration;

const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_700);

fn registry() -> Registry {
    let mut registry = Registry::new(SILENCE_TIMEOUT);
    registry.record_announcement(fixture::at(0), fixture::announcement("e1"));
    registry
}

fn e1() -> name::Instance {
    name::Instance::from("e1")
}

/// Guards against a heartbeat that was delayed by a partition and undoes a newer one.
#[test]
fn a_reordered_call_is_stale() {
    let mut registry = registry();
    let draining = Announcement { sequence: 3, draining: true, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(10), draining);

    let late = Announcement { sequence: 2, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), late);

    assert_eq!(taken, Outcome::Stale);
    assert!(registry.get(&e1()).is_some_and(|record| record.is_leaving()));
}

#[test]
fn a_new_process_replaces_one_of_the_same_name() {
    let mut registry = registry();
    registry.record_departure(fixture::at(10), &e1());

    let restarted =
        Announcement { start_time_ms: 2_000, sequence: 1, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), restarted);

    assert_eq!(taken, Outcome::Changed);
    assert!(registry.get(&e1()).is_some_and(|record| record.is_healthy()));
}

/// Guards against new work for a departed upstream whose last heartbeat arrives after its
/// departure.
#[test]
fn a_late_heartbeat_does_not_undo_a_departure() {
    let mut registry = registry();
    registry.record_departure(fixture::at(10), &e1());

    let delayed = Announcement { sequence: 2, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(20), delayed);

    assert!(registry.get(&e1()).is_some_and(|record| record.is_leaving()));
}

/// Guards against a delayed call of a crashed upstream that brings it back although another one now
/// has its address.
#[test]
fn a_late_call_of_the_previous_process_at_an_address_is_stale() {
    let mut registry = registry();
    let successor = Announcement { start_time_ms: 5_000, ..fixture::announcement("e2") };
    registry.record_announcement(fixture::at(10), successor);

    let late = Announcement { sequence: 9, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(20), late);

    assert_eq!(taken, Outcome::Stale);
    assert!(registry.get(&e1()).is_none());
}

/// Guards against a process whose departure was acknowledged and that gets requests again, because a late
/// call of the process before it arrives.
#[test]
fn a_late_call_of_an_earlier_process_does_not_undo_a_departure() {
    let mut registry = registry();
    let second = Announcement { start_time_ms: 2_000, sequence: 1, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(10), second);
    registry.record_departure(fixture::at(20), &e1());

    for (sequence, at) in [(7, 30), (8, 4_000), (9, 8_000), (10, 12_000)] {
        let late = Announcement { sequence, ..fixture::announcement("e1") };
        let taken = registry.record_announcement(fixture::at(at), late);

        assert_eq!(taken, Outcome::Stale, "at {at} ms");
        let published = &registry.published(fixture::at(at))[&e1()];
        assert_eq!(published.status, view::Status::Leaving, "at {at} ms");
    }
}

/// Guards against the same where the leader knows the second process alone: the first one called
/// another leader, or has another name at the same address.
#[test]
fn a_late_call_of_an_unknown_earlier_process_does_not_undo_a_departure() {
    for late_name in ["e1", "e2"] {
        let mut registry = Registry::new(SILENCE_TIMEOUT);
        let second = Announcement { start_time_ms: 2_000, ..fixture::announcement("e1") };
        registry.record_announcement(fixture::at(10), second);
        registry.record_departure(fixture::at(20), &e1());

        // Both were held up by one partition.
        for (sequence, at) in [(7, 4_000), (8, 4_300)] {
            let late = Announcement {
                sequence,
                address: fixture::announcement("e1").address,
                ..fixture::announcement(late_name)
            };
            let taken = registry.record_announcement(fixture::at(at), late);

            assert_eq!(taken, Outcome::Stale, "{late_name} at {at} ms");
        }
        assert!(registry.get(&e1()).is_some_and(|record| record.departed), "{late_name}");
    }
}

/// A machine's clock is set back before the next process of a name starts there. Guards against a process
/// that never gets requests.
#[test]
fn a_process_with_an_earlier_start_time_is_taken_once_it_persists() {
    for (departs, silence) in [(false, 2_700), (true, 0)] {
        let mut registry = registry();
        if departs {
            registry.record_departure(fixture::at(10), &e1());
        }

        let called = |sequence, at| {
            let next = Announcement { start_time_ms: 500, sequence, ..fixture::announcement("e1") };
            (fixture::at(silence + at), next)
        };
        let taken: Vec<bool> = (1..=4)
            .map(|sequence| called(sequence, 100 + sequence * 1_200))
            .map(|(at, next)| registry.record_announcement(at, next) != Outcome::Stale)
            .collect();

        assert_eq!(taken, [false, false, false, true], "departs: {departs}");
        assert!(registry.get(&e1()).is_some_and(|record| record.is_healthy()));
    }
}

/// Guards against a departure that an entry learnt of and that a follower's newer knowledge undoes.
#[test]
fn a_departure_outlasts_the_knowledge_of_followers() {
    let mut registry = registry();
    let start_time_ms = start_time_ms(&registry);
    registry.record_leaving(&quarantine::Process { instance: e1(), start_time_ms });

    let known = view::Upstream {
        announcement: Announcement { sequence: 9, ..fixture::announcement("e1") },
        status: view::Status::Present,
        last_model: None,
        rate: None,
    };
    registry.adopt(fixture::at(20), known);

    assert!(registry.get(&e1()).is_some_and(|record| record.departed));
}

#[test]
fn a_silent_upstream_is_published_as_silent_until_it_calls() {
    let mut registry = registry();
    let later = fixture::at(3_000);
    assert_eq!(registry.published(later)[&e1()].status, view::Status::Silent);

    let again = Announcement { sequence: 2, ..fixture::announcement("e1") };
    registry.record_announcement(later, again);

    assert_eq!(registry.published(later)[&e1()].status, view::Status::Present);
}

#[test]
fn a_call_revives_a_dead_upstream() {
    let mut registry = registry();
    registry.mark_dead(&e1());

    let again = Announcement { sequence: 2, ..fixture::announcement("e1") };
    let taken = registry.record_announcement(fixture::at(10), again);

    assert_eq!(taken, Outcome::Changed);
    assert!(registry.get(&e1()).is_some_and(|record| !record.dead));
}

#[test]
fn only_newer_state_of_a_follower_is_adopted() {
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
fn the_published_slow_start_time_decreases() {
    let mut registry = Registry::new(SILENCE_TIMEOUT);
    let cold = Announcement { cold: Duration::from_secs(3), ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(0), cold);

    let published = registry.published(fixture::at(1_000));

    assert_eq!(published[&e1()].announcement.cold, Duration::from_secs(2));
}

#[test]
fn the_last_model_is_kept_until_a_restart() {
    let mut registry = registry();
    let large = name::Model::from("large");
    let ready =
        Announcement { sequence: 2, loaded: Some(large.clone()), ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(10), ready);
    let left = Announcement { sequence: 3, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(20), left);
    assert_eq!(registry.get(&e1()).and_then(|record| record.last_model.clone()), Some(large));

    let restarted = Announcement { start_time_ms: 2_000, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(30), restarted);

    assert_eq!(registry.get(&e1()).and_then(|record| record.last_model.clone()), None);
}

/// Guards against a reload of weights after the leader is lost while engines are between two
/// groups. If the next leader knows their last model, they rejoin in a fifth of a second; if it
/// knows only what their hosts have staged, clients wait for a load of ten seconds. The follower's
/// record counts also if the engine has called the new leader first.
#[test]
fn the_last_model_survives_a_change_of_leader() {
    let mut before = registry();
    let large = name::Model::from("large");
    let ready =
        Announcement { sequence: 2, loaded: Some(large.clone()), ..fixture::announcement("e1") };
    before.record_announcement(fixture::at(10), ready);
    let left = Announcement { sequence: 3, ..fixture::announcement("e1") };
    before.record_announcement(fixture::at(20), left);
    let known = before.published(fixture::at(30))[&e1()].clone();

    let mut first = Registry::new(SILENCE_TIMEOUT);
    first.adopt(fixture::at(40), known.clone());
    let mut second = Registry::new(SILENCE_TIMEOUT);
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

/// Guards against publishing an upstream as warm at the end of its first slow start although a
/// second one has begun.
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

/// Guards against lifting a rate limit on the report of a response from before the limit was set.
#[test]
fn the_most_recent_rate_limit_applies() {
    let mut registry = registry();

    let named = registry.set_rate(fixture::at(1_000), &change(Some(3.7), 10));
    let older = registry.set_rate(fixture::at(1_020), &change(None, 100));

    assert_eq!((named, older), (true, false));
    let published = registry.published(fixture::at(1_020))[&e1()].rate;
    assert_eq!(published, rate::Rate::new(3.7));
}

/// Guards against applying the rate limit of an ended process to the next one of the same name.
#[test]
fn a_restarted_process_has_no_rate_limit() {
    let mut registry = registry();
    registry.set_rate(fixture::at(1_000), &change(Some(3.7), 0));
    let next =
        Announcement { start_time_ms: 1_000_000, sequence: 1, ..fixture::announcement("e1") };

    registry.record_announcement(fixture::at(2_000), next);

    assert_eq!(registry.get(&e1()).and_then(|record| record.rate), None);
    assert!(!registry.set_rate(fixture::at(2_100), &change(Some(3.7), 0)));
}

/// Guards against a new leader that publishes no rate limit until each upstream has set it again.
#[test]
fn a_rate_limit_is_adopted_from_a_follower() {
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

/// Guards against new work for an upstream that has told an entry that it leaves, while its own
/// calls are lost or still announce it as ready.
#[test]
fn an_upstream_that_has_told_an_entry_that_it_leaves_gets_no_new_work() {
    let mut registry = registry();
    let process = quarantine::Process { instance: e1(), start_time_ms: start_time_ms(&registry) };

    assert!(registry.record_leaving(&process));
    assert!(!registry.record_leaving(&process), "known already");
    let ready = Announcement { sequence: 2, ..fixture::announcement("e1") };
    registry.record_announcement(fixture::at(20), ready);

    let published = &registry.published(fixture::at(30))[&e1()];
    assert_eq!(published.status, view::Status::Leaving);
}

/// Guards against a late report that takes the next process of the same name out of service.
#[test]
fn a_statement_of_a_previous_process_is_ignored() {
    let mut registry = registry();
    let start_time_ms = start_time_ms(&registry) - 1;

    let process = quarantine::Process { instance: e1(), start_time_ms };
    let recorded = registry.record_leaving(&process);

    assert!(!recorded);
    assert!(registry.get(&e1()).is_some_and(|record| record.is_healthy()));
}

fn start_time_ms(registry: &Registry) -> u64 {
    registry.get(&e1()).expect("the fixture's upstream").announcement.start_time_ms
}

/// Guards against a drain that is dropped as that of an earlier process although its process runs: the
/// clock of its machine was set back before it started.
#[test]
fn the_drain_of_a_process_with_an_earlier_start_takes_the_upstream_out_of_service() {
    let earlier =
        |sequence| Announcement { start_time_ms: 500, sequence, ..fixture::announcement("e1") };
    let drain = |sequence| Announcement { draining: true, ..earlier(sequence) };
    let is_leaving =
        |registry: &Registry| registry.get(&e1()).is_some_and(|record| record.is_leaving());
    for (calls_before, expected) in [(0, false), (1, true), (2, true)] {
        let mut registry = registry();
        for sequence in 1..=calls_before {
            registry.record_announcement(fixture::at(100 * sequence), earlier(sequence));
        }

        registry.record_announcement(fixture::at(1_000), drain(calls_before + 1));

        assert_eq!(is_leaving(&registry), expected, "{calls_before} calls before");
        let known = Announcement { sequence: 2, ..fixture::announcement("e1") };
        registry.record_announcement(fixture::at(1_200), known);
        assert!(!is_leaving(&registry), "the known process goes on");
        registry.record_announcement(fixture::at(1_300), drain(calls_before + 2));
        assert!(!is_leaving(&registry), "a late call of an ended process");
    }
}
