//! Announcements that a follower relays to the leader.

use crate::fixture;
use hyssopfork_fleet::relays;

/// Relays with the announcements of the calls 1 to `count`.
fn queued(count: u64) -> relays::Relays {
    let mut relays = relays::Relays::default();
    for call in 1..=count {
        relays.push(fixture::at(0), call, fixture::announcement(&format!("e{call}")));
    }
    relays
}

/// Guards against a call to a busy leader for each announcement.
#[test]
fn announcements_wait_for_the_answer_to_the_batch_before() {
    let mut relays = queued(1);
    let first = relays.next_batch(fixture::at(0), fixture::address(1)).expect("a batch");
    for call in 2..=40 {
        relays.push(fixture::at(10), call, fixture::announcement(&format!("e{call}")));
        assert_eq!(relays.next_batch(fixture::at(10), fixture::address(1)), None);
    }

    assert_eq!(relays.take_answered(first.number), [1]);
    let second = relays.next_batch(fixture::at(20), fixture::address(1)).expect("a batch");

    assert_eq!(second.announcements.len(), 39);
}

/// Guards against an upstream that waits for an answer that does not come: it has given up and called
/// another process.
#[test]
fn calls_that_wait_too_long_are_given_up() {
    let mut relays = queued(1);
    let batch = relays.next_batch(fixture::at(0), fixture::address(1)).expect("a batch");
    relays.push(fixture::at(500), 2, fixture::announcement("e2"));

    assert_eq!(relays.take_expired(fixture::at(900)), [1]);
    assert_eq!(relays.take_expired(fixture::at(1_400)), [2]);

    assert!(relays.take_answered(batch.number).is_empty(), "a late answer confirms nothing");
}

/// Guards against calls that are never answered after the leader was lost.
#[test]
fn queued_calls_are_returned_when_there_is_no_leader() {
    let mut relays = queued(3);

    assert_eq!(relays.take_queued(), [1, 2, 3]);
    assert_eq!(relays.next_batch(fixture::at(0), fixture::address(1)), None);
}

/// Guards against announcements that wait for the answer of a leader that was lost, while the next one
/// leads.
#[test]
fn a_batch_to_an_earlier_leader_holds_up_nothing() {
    let mut relays = queued(1);
    relays.next_batch(fixture::at(0), fixture::address(1)).expect("a batch");
    relays.push(fixture::at(100), 2, fixture::announcement("e2"));

    assert_eq!(relays.take_superseded(fixture::address(2)), [1]);
    let batch = relays.next_batch(fixture::at(100), fixture::address(2)).expect("a batch");

    assert_eq!(batch.announcements, [fixture::announcement("e2")]);
}

#[test]
fn an_abandoned_call_is_not_relayed() {
    let mut relays = queued(2);

    relays.abandon(1);

    let batch = relays.next_batch(fixture::at(0), fixture::address(1)).expect("a batch");
    assert_eq!(batch.announcements, [fixture::announcement("e2")]);
}
