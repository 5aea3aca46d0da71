//! Which upstream is taken.

use crate::fixture::{self, Entry, arrival, refused, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, event};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn work_spreads_over_the_groups_of_a_model() {
    let mut entry = Entry::ready();
    let mut counts = BTreeMap::new();

    for _ in 0..10 {
        let (_, instance) = entry.sent("stream");
        *counts.entry(instance).or_insert(0) += 1;
    }

    assert!(counts.values().all(|count| (4..=6).contains(count)), "{counts:?}");
}

/// After a zone's return its upstreams are cold and empty, and everybody would send there first.
#[test]
fn a_cold_upstream_gets_no_more_than_it_bears() {
    let mut entry = Entry::ready();
    let mut update = fixture::view();
    for (_, upstream) in update.upstreams.iter_mut().take(2) {
        upstream.as_mut().expect("it is there").announcement.cold = Duration::from_secs(3);
    }
    update.entries = fixture::entries(2);
    entry.see(update);

    let sent = (0..12).filter(|_| {
        let (_, decision) = entry.arrive(arrival("stream"));
        matches!(decision, action::Decision::Start(_))
    });

    // Six a second each, of which this process may send half, to two upstreams.
    assert_eq!(sent.count(), 6);
}

#[test]
fn an_upstream_that_cannot_be_reached_is_left_alone_for_a_while() {
    let mut entry = Entry::ready();
    let (number, first) = entry.sent("status");
    entry.step(event::Event::Failed(number, event::Fault::Unreachable, None));

    for _ in 0..4 {
        let (_, instance) = entry.sent("status");
        assert_ne!(instance, first);
    }
}

/// Guards against a head that looks empty because its group was formed anew while its streams go on.
#[test]
fn streams_count_at_a_head_whose_group_was_formed_anew() {
    let mut entry = Entry::ready();
    let (_, first) = entry.sent("stream");
    let update = view::Update {
        is_full: false,
        upstreams: Vec::new(),
        groups: vec![fixture::group("g1", "e1", 3), fixture::group("g2", "e2", 4)],
        entries: Vec::new(),
        ..fixture::view()
    };
    entry.see(update);

    let (_, second) = entry.sent("stream");

    assert_ne!(first, second);
}

/// An upstream fails half of what it gets at once; it is always the emptiest.
#[test]
fn an_upstream_that_fails_much_is_used_last() {
    let mut entry = Entry::ready();
    for _ in 0..4 {
        let (number, instance) = entry.sent("submit");
        let status = if instance == fixture::instance("p1") { 500 } else { 200 };
        entry.step(event::Event::Answered(number, event::Head { status, load: None, rate: None }));
    }

    for _ in 0..4 {
        let (_, instance) = entry.sent("submit");
        assert_eq!(instance, fixture::instance("p2"));
    }
}

#[test]
fn a_full_model_is_refused_at_once_with_a_time_to_come_back() {
    let mut entry = Entry::ready();
    let decision = (0..40).map(|_| entry.arrive(arrival("stream")).1).last().expect("forty came");

    let refusal = refused(&decision);

    assert_eq!(refusal.reason, action::Reason::Overloaded);
    assert!(refusal.retry_after.is_some_and(|time| time >= Duration::from_millis(150)));
}

#[test]
fn one_of_the_own_zone_goes_first_among_equals() {
    let mut entry = Entry::ready();

    let (_, decision) = entry.arrive(arrival("stream"));

    // `e1` ends in an odd number and stands in zone z1, as the entry does.
    assert_eq!(started(&decision).instance, fixture::instance("e1"));
}
