//! Updates and document parts for followers.

use crate::fixture;
use hyssopfork_fleet::publication::{FleetState, Publisher};
use hyssopfork_fleet::{document, view};
use hyssopfork_wire::{name, number};
use std::collections::BTreeMap;

fn upstream(instance: &str) -> (name::Instance, view::Upstream) {
    let announcement = fixture::announcement(instance);
    let status = view::Status::Present;
    (
        name::Instance::from(instance),
        view::Upstream { announcement, status, last_model: None, rate: None },
    )
}

fn state(version: u64) -> FleetState {
    FleetState { document: Some(fixture::document(version)), ..FleetState::default() }
}

/// The progress of a follower that has the declaration of `version` and no parts of another.
fn progress(version: u64) -> document::Progress {
    document::Progress { version, ..document::Progress::default() }
}

#[test]
fn a_follower_gets_the_changes_since_its_revision() {
    let mut publisher = Publisher::new(number::Term(3), None);
    publisher.publish(state(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = publisher.stamp();
    publisher.publish(
        state(1),
        &BTreeMap::from([upstream("e1"), upstream("e2")]),
        &BTreeMap::new(),
    );

    let update = publisher.since(have);

    assert!(!update.is_full);
    assert_eq!(publisher.next_part(progress(1)), None);
    let named: Vec<&str> = update.upstreams.iter().map(|(it, _)| it.as_str()).collect();
    assert_eq!(named, ["e2"]);
}

#[test]
fn a_removed_upstream_is_published_as_removed() {
    let mut publisher = Publisher::new(number::Term(3), None);
    publisher.publish(state(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = publisher.stamp();

    publisher.publish(state(1), &BTreeMap::new(), &BTreeMap::new());

    let update = publisher.since(have);
    assert_eq!(update.upstreams, [(name::Instance::from("e1"), None)]);
}

#[test]
fn a_follower_from_another_term_gets_a_full_update() {
    let mut publisher = Publisher::new(number::Term(3), None);
    publisher.publish(state(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let other = view::Stamp { term: number::Term(2), revision: 40 };

    let update = publisher.since(other);

    assert!(update.is_full);
    assert_eq!(update.upstreams.len(), 1);
    assert_eq!(publisher.next_part(progress(0)).map(|part| part.version), Some(1));
}

#[test]
fn an_unchanged_heartbeat_publishes_nothing() {
    let mut publisher = Publisher::new(number::Term(3), None);
    publisher.publish(state(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let (instance, mut again) = upstream("e1");
    again.announcement.sequence = 9;

    let changed =
        publisher.publish(state(1), &BTreeMap::from([(instance, again)]), &BTreeMap::new());

    assert!(!changed);
}

/// Guards against followers that restart with each new version and never complete one.
#[test]
fn a_follower_completes_the_document_that_it_has_begun() {
    let mut publisher = Publisher::new(number::Term(3), None);
    for version in [1, 2, 3] {
        let document = Some(fixture::large_document(version, 1_000));
        let rest = FleetState { document, ..FleetState::default() };
        publisher.publish(rest, &BTreeMap::new(), &BTreeMap::new());
    }
    let partial = document::Progress { version: 1, partial_version: 2, base: 1, offset: 10 };

    let part = publisher.next_part(partial).expect("a newer version is there");

    assert_eq!((part.version, part.base, part.offset), (2, 1, partial.offset));
}

#[test]
fn a_follower_with_parts_of_a_dropped_document_starts_with_the_newest() {
    let mut publisher = Publisher::new(number::Term(3), None);
    publisher.publish(state(9), &BTreeMap::new(), &BTreeMap::new());
    let partial = document::Progress { version: 1, partial_version: 4, base: 0, offset: 500 };

    let part = publisher.next_part(partial).expect("a newer version is there");

    assert_eq!((part.version, part.offset), (9, 0));
}

#[test]
fn the_document_of_the_previous_term_is_a_delta_base() {
    let known = fixture::large_document(4, 2_000);
    let mut publisher = Publisher::new(number::Term(3), Some(known));
    let document = Some(fixture::large_document(5, 2_001));
    publisher.publish(
        FleetState { document, ..FleetState::default() },
        &BTreeMap::new(),
        &BTreeMap::new(),
    );

    let part = publisher.next_part(progress(4)).expect("a newer version is there");

    assert_eq!(part.base, 4);
    assert!(part.size < 1_000, "{} bytes for one route", part.size);
}
