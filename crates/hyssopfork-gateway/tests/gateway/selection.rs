//! Load balancing.

use crate::fixture::{self, Entry, arrival, rejection, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, event, load};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn requests_are_balanced_over_the_groups_of_a_model() {
    let mut entry = Entry::with_view();
    let mut counts = BTreeMap::new();

    for _ in 0..10 {
        let (_, instance) = entry.send("stream");
        *counts.entry(instance).or_insert(0) += 1;
    }

    assert!(counts.values().all(|count| (4..=6).contains(count)), "{counts:?}");
}

/// Guards against an overload when a zone returns: its upstreams are cold and empty, and every
/// entry would prefer them.
#[test]
fn a_cold_upstream_receives_no_more_than_its_rate() {
    let mut entry = Entry::with_view();
    let mut update = fixture::view();
    for (_, upstream) in update.upstreams.iter_mut().take(2) {
        upstream.as_mut().expect("the upstream exists").announcement.cold = Duration::from_secs(3);
    }
    update.entries = fixture::entries(2);
    entry.update_view(update);

    let sent = (0..12).filter(|_| {
        let (_, decision) = entry.arrive(arrival("stream"));
        matches!(decision, action::Decision::Start(_))
    });

    // Two upstreams take six per second each, of which this entry may send half.
    assert_eq!(sent.count(), 6);
}

/// Guards against attributing the load of another upstream at the same address.
#[test]
fn the_load_of_another_upstream_at_the_address_is_ignored() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("status");
    let load = Some(load::Report { running: 1_000, waiting: 0, slots: fixture::SLOTS });
    for _ in 0..2 {
        let head = Some(event::Head { load, ..event::Head::new(421) });
        entry.step(event::Event::AttemptFailed(number, event::Fault::WrongInstance, head));
    }

    entry.advance(400);

    assert!(entry.is_sent("status"));
}

#[test]
fn an_unreachable_upstream_is_not_used_during_its_backoff() {
    let mut entry = Entry::with_view();
    let (number, first) = entry.send("status");
    entry.step(event::Event::AttemptFailed(number, event::Fault::Unreachable, None));

    for _ in 0..4 {
        let (_, instance) = entry.send("status");
        assert_ne!(instance, first);
    }
}

/// Guards against a head that seems empty because its group was formed again while its streams
/// continue.
#[test]
fn streams_in_flight_count_after_a_group_is_formed_again() {
    let mut entry = Entry::with_view();
    let (_, first) = entry.send("stream");
    let update = view::Update {
        is_full: false,
        upstreams: Vec::new(),
        groups: vec![fixture::group("g1", "e1", 3), fixture::group("g2", "e2", 4)],
        entries: Vec::new(),
        ..fixture::view()
    };
    entry.update_view(update);

    let (_, second) = entry.send("stream");

    assert_ne!(first, second);
}

/// Guards against preferring an upstream that fails half of its requests at once, and therefore
/// always has the fewest.
#[test]
fn an_outlier_is_used_last() {
    let mut entry = Entry::with_view();
    for _ in 0..4 {
        let (number, instance) = entry.send("submit");
        let status = if instance == fixture::instance("p1") { 500 } else { 200 };
        entry.step(event::Event::ResponseReceived(number, event::Head::new(status)));
    }

    for _ in 0..4 {
        let (_, instance) = entry.send("submit");
        assert_eq!(instance, fixture::instance("p2"));
    }
}

#[test]
fn a_request_for_a_full_model_is_rejected_with_retry_after() {
    let mut entry = Entry::with_view();
    let decision =
        (0..40).map(|_| entry.arrive(arrival("stream")).1).last().expect("forty requests arrived");

    let rejected = rejection(&decision);

    assert_eq!(rejected.reason, action::Reason::Overloaded);
    assert!(rejected.retry_after.is_some_and(|time| time >= Duration::from_millis(150)));
}

#[test]
fn the_own_zone_is_preferred_among_equals() {
    let mut entry = Entry::with_view();

    let (_, decision) = entry.arrive(arrival("stream"));

    // `e1` ends in an odd number and stands in zone z1, as the entry does.
    assert_eq!(started(&decision).instance, fixture::instance("e1"));
}
