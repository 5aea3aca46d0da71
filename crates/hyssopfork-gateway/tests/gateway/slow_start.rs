//! Slow start of an upstream behind many entries.

use crate::fixture::{self, Entry, arrival, at};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, rendezvous, slow_start};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn an_entry_sends_its_share_in_any_second() {
    let mut recent = slow_start::Sends::default();
    for millis in [5_000, 5_100, 5_200] {
        assert!(recent.has_room(at(millis), 3, at(0)));
        recent.record(at(millis));
    }

    assert!(!recent.has_room(at(5_900), 3, at(0)));
    assert!(recent.has_room(at(6_000), 3, at(0)));
}

#[test]
fn shares_add_up_to_the_rate() {
    for entries in [1, 4, 7, 15, 16, 39, 380] {
        let shares = (0..entries).map(|rank| slow_start::entry_share(15.7, rank, entries));

        assert_eq!(shares.sum::<usize>(), 15, "{entries} entries");
    }
}

/// Guards against one request of each entry, which together exceed the rate of the upstream.
#[test]
fn many_entries_together_respect_the_rate_of_a_cold_upstream() {
    let mut update = fixture::view_of_groups(20);
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("the upstream exists").announcement.cold = Duration::from_secs(3);
    }
    let mut entries = Entry::many_with_view(40, &update);

    let mut sent = BTreeMap::new();
    for entry in &mut entries {
        for _ in 0..6 {
            if let action::Decision::Start(start) = entry.arrive(arrival("stream")).1 {
                *sent.entry(start.instance.clone()).or_insert(0) += 1;
            }
        }
    }

    assert_eq!(sent.len(), 20);
    assert!(sent.values().all(|count| *count <= 6), "{sent:?}");
    assert!(sent.values().sum::<u32>() >= 80, "{sent:?}");
}

/// Two groups whose heads are cold.
fn cold_view() -> view::Update {
    let mut update = fixture::view();
    for (_, upstream) in update.upstreams.iter_mut().take(2) {
        upstream.as_mut().expect("the upstream exists").announcement.cold = Duration::from_secs(3);
    }
    update
}

/// Requests that a cold upstream bears in a second, with the tolerance of the platform.
const MAX_COLD_REQUESTS: usize = 6 * 3 / 2 + 5;

/// Guards against a process that restarts and spends its share of the second again.
#[test]
fn an_entry_that_restarts_does_not_send_its_share_again() {
    let mut sent = Vec::new();
    for restart in 0..5 {
        let mut entry = Entry::started_at(0, at(1_000 + 200 * restart));
        entry.update_view(cold_view());
        for _ in 0..10 {
            sent.extend(entry.send_all("stream"));
            entry.advance(19);
        }
    }

    for head in ["e1", "e2"].map(fixture::instance) {
        let count = sent.iter().filter(|it| **it == head).count();
        assert!(
            (1..=MAX_COLD_REQUESTS).contains(&count),
            "{head} got {count} requests in a second"
        );
    }
}

/// Guards against entries that start together and divide the rate among the few that each of them
/// knows.
#[test]
fn entries_that_start_together_respect_the_rate_of_a_cold_upstream() {
    let entries = (0..8).map(|number| {
        let mut entry = Entry::started_at(number, at(1_000));
        let own = (fixture::entry_address(number), Some(()));
        entry.update_view(view::Update { entries: vec![own], ..cold_view() });
        entry
    });
    let mut entries: Vec<Entry> = entries.collect();

    let mut sent = Vec::new();
    for step in 0..10 {
        for entry in &mut entries {
            if step == 3 {
                entry.update_view(view::Update { entries: fixture::entries(8), ..cold_view() });
            }
            sent.extend(entry.send_all("stream"));
            entry.advance(99);
        }
    }

    for head in ["e1", "e2"].map(fixture::instance) {
        let count = sent.iter().filter(|it| **it == head).count();
        assert!(
            (1..=MAX_COLD_REQUESTS).contains(&count),
            "{head} got {count} requests in a second"
        );
    }
}

/// Guards against full load on an upstream that became cold again: only the leader knows of it.
#[test]
fn an_upstream_stays_cold_until_the_leader_says_otherwise() {
    let mut update = fixture::view();
    for (_, upstream) in update.upstreams.iter_mut().take(2) {
        upstream.as_mut().expect("the upstream exists").announcement.cold =
            Duration::from_millis(100);
    }
    let mut entry = Entry::many_with_view(1, &update).remove(0);
    entry.advance(3_000);

    let cold = (0..16).filter(|_| entry.is_sent("stream")).count();
    entry.update_view(fixture::view());
    let warm = (0..16).filter(|_| entry.is_sent("stream")).count();

    assert_eq!(cold, 12);
    assert!(warm > 0);
}

#[test]
fn an_additional_entry_changes_few_ranks() {
    let before: Vec<_> = (0..39).map(fixture::entry_address).collect();
    let after: Vec<_> = (0..40).map(fixture::entry_address).collect();
    for engine in ["e1", "e2", "e3"].map(fixture::instance) {
        let allowed = |entries: &[std::net::SocketAddr]| -> Vec<std::net::SocketAddr> {
            let first = |it: &&std::net::SocketAddr| {
                rendezvous::rank(**it, entries, engine.as_str().as_bytes()) < 15
            };
            entries.iter().filter(first).copied().collect()
        };

        let (old, new) = (allowed(&before), allowed(&after));

        assert_eq!((old.len(), new.len()), (15, 15));
        assert!(new.iter().filter(|entry| !old.contains(entry)).count() <= 1);
    }
}
