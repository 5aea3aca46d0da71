//! What followers are told.

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

fn rest(version: u64) -> FleetState {
    FleetState { document: Some(fixture::document(version)), ..FleetState::default() }
}

/// A follower that has the declaration of `version`, and no part of another.
fn held(version: u64) -> document::Progress {
    document::Progress { version, ..document::Progress::default() }
}

#[test]
fn a_follower_gets_what_changed_since_it_was_told() {
    let mut board = Publisher::new(number::Term(3), None);
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = board.stamp();
    board.publish(rest(1), &BTreeMap::from([upstream("e1"), upstream("e2")]), &BTreeMap::new());

    let update = board.since(have);

    assert!(!update.is_full);
    assert_eq!(board.next_part(held(1)), None);
    let named: Vec<&str> = update.upstreams.iter().map(|(it, _)| it.as_str()).collect();
    assert_eq!(named, ["e2"]);
}

#[test]
fn what_is_gone_is_told_as_gone() {
    let mut board = Publisher::new(number::Term(3), None);
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = board.stamp();

    board.publish(rest(1), &BTreeMap::new(), &BTreeMap::new());

    let update = board.since(have);
    assert_eq!(update.upstreams, [(name::Instance::from("e1"), None)]);
}

#[test]
fn a_follower_of_another_leader_gets_everything() {
    let mut board = Publisher::new(number::Term(3), None);
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let other = view::Stamp { term: number::Term(2), revision: 40 };

    let update = board.since(other);

    assert!(update.is_full);
    assert_eq!(update.upstreams.len(), 1);
    assert_eq!(board.next_part(held(0)).map(|part| part.version), Some(1));
}

#[test]
fn a_heartbeat_that_says_nothing_new_is_no_publication() {
    let mut board = Publisher::new(number::Term(3), None);
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let (instance, mut again) = upstream("e1");
    again.announcement.sequence = 9;

    let changed = board.publish(rest(1), &BTreeMap::from([(instance, again)]), &BTreeMap::new());

    assert!(!changed);
}

/// Guards against followers that begin anew with each version and hold none of them.
#[test]
fn a_follower_completes_the_document_that_it_has_begun() {
    let mut board = Publisher::new(number::Term(3), None);
    for version in [1, 2, 3] {
        let document = Some(fixture::large_document(version, 1_000));
        let rest = FleetState { document, ..FleetState::default() };
        board.publish(rest, &BTreeMap::new(), &BTreeMap::new());
    }
    let begun = document::Progress { version: 1, partial_version: 2, base: 1, offset: 10 };

    let part = board.next_part(begun).expect("a newer version is there");

    assert_eq!((part.version, part.base, part.offset), (2, 1, begun.offset));
}

#[test]
fn a_follower_with_parts_of_a_forgotten_document_begins_with_the_newest() {
    let mut board = Publisher::new(number::Term(3), None);
    board.publish(rest(9), &BTreeMap::new(), &BTreeMap::new());
    let begun = document::Progress { version: 1, partial_version: 4, base: 0, offset: 500 };

    let part = board.next_part(begun).expect("a newer version is there");

    assert_eq!((part.version, part.offset), (9, 0));
}

#[test]
fn a_follower_of_the_leader_before_gets_what_has_changed() {
    let known = fixture::large_document(4, 2_000);
    let mut board = Publisher::new(number::Term(3), Some(known));
    let document = Some(fixture::large_document(5, 2_001));
    board.publish(
        FleetState { document, ..FleetState::default() },
        &BTreeMap::new(),
        &BTreeMap::new(),
    );

    let part = board.next_part(held(4)).expect("a newer version is there");

    assert_eq!(part.base, 4);
    assert!(part.size < 1_000, "{} bytes for one route", part.size);
}
