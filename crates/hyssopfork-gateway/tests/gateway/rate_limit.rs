//! Rate limits that upstreams name, behind many entries.

use crate::fixture::{self, Entry, arrival, at, rejection};
use hyssopfork_fleet::{rate, view};
use hyssopfork_gateway::{action, event, rate_limit::Limiter};
use hyssopfork_wire::name;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn rate(per_second: f64) -> rate::Rate {
    rate::Rate::new(per_second).expect("the rate is valid")
}

/// Groups whose heads all name this rate.
fn limited_view(groups: u8, per_second: f64) -> view::Update {
    let mut update = fixture::view_of_groups(groups);
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("the upstream exists").rate = Some(rate(per_second));
    }
    update
}

/// Completes a request with a response that names this rate.
fn respond(entry: &mut Entry, number: u64, per_second: Option<f64>) {
    let head = event::Head { rate: per_second.map(rate), ..event::Head::new(200) };
    entry.step(event::Event::ResponseReceived(number, head));
}

/// Requests to each upstream, as the tenth of a second in which they were sent, of entries that
/// each receive twenty requests per second.
fn sends_by_tenth(entries: &mut [Entry], seconds: u64) -> BTreeMap<name::Instance, Vec<u64>> {
    let mut sent: BTreeMap<name::Instance, Vec<u64>> = BTreeMap::new();
    for tenth in 0..seconds * 10 {
        for entry in entries.iter_mut() {
            for _ in 0..2 {
                let (number, decision) = entry.arrive(arrival("stream"));
                if let action::Decision::Start(start) = decision {
                    sent.entry(start.instance.clone()).or_default().push(tenth);
                    entry.step(event::Event::ClientDisconnected(number));
                }
            }
            entry.advance(100);
        }
    }
    sent
}

/// Most of these requests within any four seconds.
fn max_sends(sent: &[u64]) -> usize {
    let within = |first: &u64| sent.iter().filter(|at| (*first..first + 40).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Guards against exceeding a limit by the number of entries, and against rounding it down to
/// nothing where there are more entries than requests per second.
#[test]
fn all_entries_together_respect_a_named_rate() {
    for (count, per_second) in [(1, 3.7), (5, 2.0), (7, 3.7), (20, 2.0), (40, 3.7), (40, 0.5)] {
        let mut entries = Entry::many_with_view(count, &limited_view(4, per_second));

        let sent = sends_by_tenth(&mut entries, 24);

        let allowed = (per_second * 4.0) as usize;
        for (instance, sent) in &sent {
            let most = max_sends(sent);
            assert!(most <= allowed, "{instance} got {most} of {allowed} from {count} entries");
            let used = sent.len() as f64 / (per_second * 24.0);
            assert!(used > 0.7, "{instance} got {used} of {per_second} from {count} entries");
        }
        assert_eq!(sent.len(), 4, "{count} entries, {per_second} a second");
    }
}

/// Guards against a process that restarts and spends its share of a named rate again.
#[test]
fn an_entry_that_restarts_does_not_spend_a_named_rate_again() {
    let mut sent = 0;
    for restart in 0..4 {
        let mut entry = Entry::started_at(0, at(1_000 + 1_000 * restart));
        entry.update_view(limited_view(1, 2.0));
        for _ in 0..10 {
            sent += entry.send_all("stream").len();
            entry.advance(99);
        }
    }

    assert!((4..=8).contains(&sent), "{sent} requests in four seconds at a rate of 2");
}

/// Guards against an upstream that never receives a request again, so that the end of its limit
/// goes unnoticed.
#[test]
fn an_upstream_with_rate_zero_is_tried_occasionally() {
    let mut entries = Entry::many_with_view(5, &limited_view(1, 0.0));

    let sent: usize = sends_by_tenth(&mut entries, 60).values().map(Vec::len).sum();

    assert_eq!(sent, 2);
}

/// Guards against entries that never learn of a limit: only the entry that sent the request sees
/// the response.
#[test]
fn a_named_rate_is_reported_to_the_leader_at_once() {
    let mut entry = Entry::with_view();
    let (number, instance) = entry.send("status");
    let before = entry.reports.len();

    respond(&mut entry, number, Some(3.7));

    let changes = entry.reports[before..].iter().flat_map(|evidence| &evidence.rates);
    let named: Vec<_> =
        changes.map(|change| (change.process.instance.clone(), change.rate)).collect();
    assert_eq!(named, [(instance, Some(rate(3.7)))]);
}

#[test]
fn an_entry_applies_a_rate_before_the_leader_knows_it() {
    let mut entry = Entry::with_view();
    let numbers: Vec<u64> = (0..2).map(|_| entry.send("status").0).collect();
    for number in numbers {
        respond(&mut entry, number, Some(0.5));
    }

    let sent = (0..10).filter(|_| entry.is_sent("status")).count();

    assert_eq!(sent, 4, "two requests in four seconds at each of two upstreams");
}

/// Guards against an upstream that names its limit only when it rejects requests beyond it.
#[test]
fn a_rejection_names_a_rate_but_lifts_none() {
    let mut entry = Entry::with_view();
    let reject_both = |entry: &mut Entry, rate| {
        let numbers: Vec<u64> = (0..2).map(|_| entry.send("status").0).collect();
        for number in numbers {
            let head = event::Head { rate, ..event::Head::new(503) };
            entry.step(event::Event::AttemptFailed(number, event::Fault::NotRun, Some(head)));
            entry.step(event::Event::ClientDisconnected(number));
        }
    };
    reject_both(&mut entry, Some(rate(0.5)));
    entry.advance(5_000);

    reject_both(&mut entry, None);
    entry.advance(5_000);

    let sent = (0..10).filter(|_| entry.is_sent("status")).count();
    assert_eq!(sent, 4, "two requests in four seconds at each of two upstreams");
}

/// Guards against a limit that remains after responses no longer name it.
#[test]
fn a_response_without_a_rate_removes_the_limit() {
    let mut entry = Entry::with_view();
    entry.update_view(limited_plain(1.0));
    entry.advance(1_000);
    let (number, instance) = entry.send("status");

    respond(&mut entry, number, None);

    let change = entry.reports.last().and_then(|evidence| evidence.rates.first().cloned());
    assert_eq!(change.map(|it| (it.process.instance, it.rate)), Some((instance, None)));
    assert_eq!((0..8).filter(|_| entry.is_sent("status")).count(), 8);
}

/// Guards against a report for each response of an upstream that names a different rate each time.
#[test]
fn a_rate_that_changes_with_each_response_is_reported_a_few_times_per_second() {
    let mut entry = Entry::with_view();
    let mut report_count = 0;
    for count in 0..100_u32 {
        let (number, _) = entry.send("status");
        let before = entry.reports.len();
        respond(&mut entry, number, (count % 2 == 0).then_some(1_000.0));
        report_count += entry.reports.len() - before;
        entry.advance(10);
    }

    assert!(report_count <= 10, "{report_count} reports per second");
}

/// Guards against clients that retry at once at an entry whose upstreams don't accept requests yet.
#[test]
fn a_request_beyond_the_rate_is_rejected_with_the_delay() {
    let mut entry = Entry::many_with_view(1, &limited_view(2, 0.5)).remove(0);
    (0..4).for_each(|_| drop(entry.send("stream")));

    let (_, decision) = entry.arrive(arrival("stream"));

    let after = rejection(&decision).retry_after.expect("the rejection has a retry time");
    assert!(after >= Duration::from_secs(1), "{after:?}");
}

/// The fixture's view with this rate at the plain upstreams.
fn limited_plain(per_second: f64) -> view::Update {
    let mut update = fixture::view();
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("the upstream exists").rate = Some(rate(per_second));
    }
    update
}

proptest! {
    /// Guards against panics and excess at rates that no upstream would name.
    #[test]
    fn shares_of_any_rate_add_up_to_it(per_second in 0.0..1e9_f64, entries in 1..400_usize) {
        let limits = (0..entries).map(|rank| Limiter::new(rate(per_second), rank, entries));

        let sent: usize = limits.map(|mut limiter| {
            (0..100).take_while(|_| {
                let room = limiter.delay(at(1_000)).is_zero();
                limiter.record(at(1_000));
                room
            }).count()
        }).sum();

        prop_assert!(sent as f64 <= (per_second * 4.0).max(1.0));
        prop_assert!(sent >= 1);
    }

    #[test]
    fn invalid_rates_are_rejected(per_second in prop_oneof![Just(f64::NAN), -1e300..-1e-300]) {
        prop_assert_eq!(rate::Rate::new(per_second), None);
    }
}

/// Guards against applying only one of the two limits to a cold upstream that names a rate.
#[test]
fn the_lower_of_a_named_rate_and_slow_start_applies() {
    for (per_second, in_the_first_second) in [(0.5, 2), (100.0, 6)] {
        let mut update = limited_view(1, per_second);
        for (_, upstream) in &mut update.upstreams {
            let upstream = upstream.as_mut().expect("the upstream exists");
            upstream.announcement.cold = Duration::from_secs(3);
        }
        let mut entries = Entry::many_with_view(4, &update);

        let sent: usize = sends_by_tenth(&mut entries, 1).values().map(Vec::len).sum();

        assert_eq!(sent, in_the_first_second, "{per_second} a second");
    }
}

/// Guards against resuming all streams of a lost upstream at one that names a rate limit.
#[test]
fn resumed_streams_count_against_the_rate() {
    let mut entry = Entry::many_with_view(1, &limited_view(2, 0.5)).remove(0);
    let numbers: Vec<u64> = (0..2).map(|_| entry.send("stream").0).collect();
    entry.send("stream");
    entry.send("stream");

    let resumed = numbers.into_iter().filter(|number| {
        let lost = event::Event::AttemptFailed(*number, event::Fault::ConnectionLost, None);
        matches!(entry.step(lost), Some(action::Decision::Start(_)))
    });

    assert_eq!(resumed.count(), 0);
}
