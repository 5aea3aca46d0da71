//! Limit on moves of stalled requests.

use crate::fixture::{self, Entry};
use hyssopfork_gateway::{action, event, moves};

/// Sends streams that receive no event.
fn send_streams(entry: &mut Entry, count: usize) -> Vec<u64> {
    (0..count).map(|_| entry.send("stream").0).collect()
}

fn count_moves(entry: &mut Entry, numbers: &[u64]) -> usize {
    let decide = |number: &u64| entry.step(event::Event::IdleTimeout(*number));
    let decisions: Vec<_> = numbers.iter().map(decide).collect();
    decisions.iter().filter(|it| matches!(it, Some(action::Decision::Start(_)))).count()
}

#[test]
fn responses_add_tokens_for_moves() {
    let mut bucket = moves::Bucket::default();
    while bucket.has_token() {
        bucket.take_token();
    }

    (0..9).for_each(|_| bucket.add_for_response());
    let early = bucket.has_token();
    (0..2).for_each(|_| bucket.add_for_response());

    assert!(!early);
    assert!(bucket.has_token());
}

/// Guards against an overload that sustains itself: each request that moves gives up its place for
/// the end of another queue, and its prompt is processed again.
#[test]
fn overloaded_upstreams_keep_most_of_their_requests() {
    let mut entry = Entry::many_with_view(1, &fixture::view_of_groups(6)).remove(0);
    let numbers = send_streams(&mut entry, 24);
    entry.advance(1_000);

    let first = count_moves(&mut entry, &numbers);
    entry.advance(1_000);
    let second = count_moves(&mut entry, &numbers);

    assert_eq!((first, second), (4, 0));
}

#[test]
fn requests_of_a_lost_group_move_without_tokens() {
    let mut update = fixture::view_of_groups(6);
    let mut entry = Entry::many_with_view(1, &update).remove(0);
    let numbers = send_streams(&mut entry, 24);
    for (_, group) in update.groups.iter_mut().take(3) {
        group.as_mut().expect("the group exists").lost = true;
    }
    entry.update_view(update);
    entry.advance(200);

    let left = count_moves(&mut entry, &numbers);

    assert_eq!(left, 12);
}
