//! What followers are told.

use crate::fixture;
use hyssopfork_fleet::board::{Board, Rest};
use hyssopfork_fleet::view;
use hyssopfork_wire::{name, number};
use std::collections::BTreeMap;

fn upstream(instance: &str) -> (name::Instance, view::Upstream) {
    let announcement = fixture::announcement(instance);
    let standing = view::Standing::Present;
    (name::Instance::from(instance), view::Upstream { announcement, standing, last: None })
}

fn rest(version: u64) -> Rest {
    Rest { document: Some(fixture::document(version)), ..Rest::default() }
}

#[test]
fn a_follower_gets_what_changed_since_it_was_told() {
    let mut board = Board::new(number::Term(3));
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = board.stamp();
    board.publish(rest(1), &BTreeMap::from([upstream("e1"), upstream("e2")]), &BTreeMap::new());

    let update = board.since(have, 1);

    assert!(!update.whole);
    assert_eq!(update.document, None);
    let named: Vec<&str> = update.upstreams.iter().map(|(it, _)| it.as_str()).collect();
    assert_eq!(named, ["e2"]);
}

#[test]
fn what_is_gone_is_told_as_gone() {
    let mut board = Board::new(number::Term(3));
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let have = board.stamp();

    board.publish(rest(1), &BTreeMap::new(), &BTreeMap::new());

    let update = board.since(have, 1);
    assert_eq!(update.upstreams, [(name::Instance::from("e1"), None)]);
}

#[test]
fn a_follower_of_another_leader_gets_everything() {
    let mut board = Board::new(number::Term(3));
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let other = view::Stamp { term: number::Term(2), revision: 40 };

    let update = board.since(other, 0);

    assert!(update.whole);
    assert_eq!(update.upstreams.len(), 1);
    assert_eq!(update.document.map(|document| document.version), Some(1));
}

#[test]
fn a_heartbeat_that_says_nothing_new_is_no_publication() {
    let mut board = Board::new(number::Term(3));
    board.publish(rest(1), &BTreeMap::from([upstream("e1")]), &BTreeMap::new());
    let (instance, mut again) = upstream("e1");
    again.announcement.sequence = 9;

    let changed = board.publish(rest(1), &BTreeMap::from([(instance, again)]), &BTreeMap::new());

    assert!(!changed);
}
