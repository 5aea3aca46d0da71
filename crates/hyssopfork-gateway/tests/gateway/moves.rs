//! Requests that leave an upstream on suspicion.

use crate::fixture::{self, Entry};
use hyssopfork_gateway::{action, event, moves};

/// Streams that were sent before any event of them came.
fn waiting(entry: &mut Entry, count: usize) -> Vec<u64> {
    (0..count).map(|_| entry.sent("stream").0).collect()
}

fn moved(entry: &mut Entry, numbers: &[u64]) -> usize {
    let decide = |number: &u64| entry.step(event::Event::IdleTimeout(*number));
    let decisions: Vec<_> = numbers.iter().map(decide).collect();
    decisions.iter().filter(|it| matches!(it, Some(action::Decision::Start(_)))).count()
}

#[test]
fn moves_are_earned_by_answers() {
    let mut allowance = moves::Bucket::default();
    while allowance.has_token() {
        allowance.take_token();
    }

    (0..9).for_each(|_| allowance.add_for_response());
    let early = allowance.has_token();
    (0..2).for_each(|_| allowance.add_for_response());

    assert!(!early);
    assert!(allowance.has_token());
}

/// Guards against an overload that keeps itself going: every request leaves its place in one queue for
/// the end of another, and its prompt is read again.
#[test]
fn overloaded_upstreams_keep_most_of_their_requests() {
    let mut entry = Entry::all_before(1, &fixture::view_of_groups(6)).remove(0);
    let numbers = waiting(&mut entry, 24);
    entry.pass(1_000);

    let first = moved(&mut entry, &numbers);
    entry.pass(1_000);
    let second = moved(&mut entry, &numbers);

    assert_eq!((first, second), (4, 0));
}

#[test]
fn requests_of_a_lost_group_leave_without_an_allowance() {
    let mut update = fixture::view_of_groups(6);
    let mut entry = Entry::all_before(1, &update).remove(0);
    let numbers = waiting(&mut entry, 24);
    for (_, group) in update.groups.iter_mut().take(3) {
        group.as_mut().expect("it is there").lost = true;
    }
    entry.see(update);
    entry.pass(200);

    let left = moved(&mut entry, &numbers);

    assert_eq!(left, 12);
}
