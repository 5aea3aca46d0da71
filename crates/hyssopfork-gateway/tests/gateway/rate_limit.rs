//! Rate limits that upstreams name, behind many entries.

use crate::fixture::{self, Entry, arrival, at, refused};
use hyssopfork_fleet::{rate, view};
use hyssopfork_gateway::{action, event, rate_limit::Limiter};
use hyssopfork_wire::name;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn rate(per_second: f64) -> rate::Rate {
    rate::Rate::new(per_second).expect("it is a rate")
}

/// Groups whose heads all name this rate.
fn limited_view(groups: u8, per_second: f64) -> view::Update {
    let mut update = fixture::view_of_groups(groups);
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("it is there").rate = Some(rate(per_second));
    }
    update
}

/// An answer that names a rate, to the whole of a request.
fn answer(entry: &mut Entry, number: u64, per_second: Option<f64>) {
    let head = event::Head { status: 200, load: None, rate: per_second.map(rate) };
    entry.step(event::Event::ResponseReceived(number, head));
}

/// Requests at each upstream by the tenth of a second in which they were sent, of entries that each get
/// twenty requests a second.
fn sent(entries: &mut [Entry], seconds: u64) -> BTreeMap<name::Instance, Vec<u64>> {
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
            entry.pass(100);
        }
    }
    sent
}

/// Most of these sends in any four seconds.
fn most(sent: &[u64]) -> usize {
    let within = |first: &u64| sent.iter().filter(|at| (*first..first + 40).contains(at)).count();
    sent.iter().map(within).max().unwrap_or(0)
}

/// Guards against a limit that is exceeded as many times as there are entries, and against one that is
/// rounded down to nothing where entries are more than the requests a second.
#[test]
fn all_entries_together_send_what_an_upstream_names() {
    for (count, per_second) in [(1, 3.7), (5, 2.0), (7, 3.7), (20, 2.0), (40, 3.7), (40, 0.5)] {
        let mut entries = Entry::all_before(count, &limited_view(4, per_second));

        let sent = sent(&mut entries, 24);

        let allowed = (per_second * 4.0) as usize;
        for (instance, sent) in &sent {
            let most = most(sent);
            assert!(most <= allowed, "{instance} got {most} of {allowed} from {count} entries");
            let used = sent.len() as f64 / (per_second * 24.0);
            assert!(used > 0.7, "{instance} got {used} of {per_second} from {count} entries");
        }
        assert_eq!(sent.len(), 4, "{count} entries, {per_second} a second");
    }
}

/// Guards against an upstream that is sent nothing for good, so that the end of its limit is never noticed.
#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let mut entries = Entry::all_before(5, &limited_view(1, 0.0));

    let sent: usize = sent(&mut entries, 60).values().map(Vec::len).sum();

    assert_eq!(sent, 2);
}

/// Guards against entries that never hear of a limit: an answer is heard by the entry that asked.
#[test]
fn the_leader_is_told_of_a_named_rate_at_once() {
    let mut entry = Entry::ready();
    let (number, instance) = entry.sent("status");
    let before = entry.told.len();

    answer(&mut entry, number, Some(3.7));

    let told = entry.told[before..].iter().flat_map(|evidence| &evidence.rates);
    let named: Vec<_> = told.map(|change| (change.process.instance.clone(), change.rate)).collect();
    assert_eq!(named, [(instance, Some(rate(3.7)))]);
}

#[test]
fn an_entry_obeys_a_rate_before_the_leader_knows_of_it() {
    let mut entry = Entry::ready();
    let numbers: Vec<u64> = (0..2).map(|_| entry.sent("status").0).collect();
    for number in numbers {
        answer(&mut entry, number, Some(0.5));
    }

    let sent = (0..10).filter(|_| entry.is_sent("status")).count();

    assert_eq!(sent, 4, "two requests in four seconds at each of two upstreams");
}

/// Guards against a limit that outlasts the answers that name it.
#[test]
fn an_answer_without_a_rate_lifts_the_limit() {
    let mut entry = Entry::ready();
    entry.see(limited_plain(1.0));
    entry.pass(1_000);
    let (number, instance) = entry.sent("status");

    answer(&mut entry, number, None);

    let told = entry.told.last().and_then(|evidence| evidence.rates.first().cloned());
    assert_eq!(told.map(|it| (it.process.instance, it.rate)), Some((instance, None)));
    assert_eq!((0..8).filter(|_| entry.is_sent("status")).count(), 8);
}

/// Guards against a report for each answer, of an upstream that names another rate each time.
#[test]
fn a_rate_that_changes_with_each_answer_is_told_a_few_times_a_second() {
    let mut entry = Entry::ready();
    let mut told = 0;
    for count in 0..100_u32 {
        let (number, _) = entry.sent("status");
        let before = entry.told.len();
        answer(&mut entry, number, (count % 2 == 0).then_some(1_000.0));
        told += entry.told.len() - before;
        entry.pass(10);
    }

    assert!(told <= 10, "{told} reports in a second");
}

/// Guards against a client that is sent back at once to an entry whose upstreams take nothing yet.
#[test]
fn a_request_beyond_the_rate_is_told_when_there_is_room() {
    let mut entry = Entry::all_before(1, &limited_view(2, 0.5)).remove(0);
    (0..4).for_each(|_| drop(entry.sent("stream")));

    let (_, decision) = entry.arrive(arrival("stream"));

    let after = refused(&decision).retry_after.expect("it says when");
    assert!(after >= Duration::from_secs(1), "{after:?}");
}

/// The plain upstreams name this rate.
fn limited_plain(per_second: f64) -> view::Update {
    let mut update = fixture::view();
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("it is there").rate = Some(rate(per_second));
    }
    update
}

proptest! {
    /// Guards against rates that no upstream names in earnest: they must neither fail nor add up to more.
    #[test]
    fn parts_of_any_rate_add_up_to_it(per_second in 0.0..1e9_f64, entries in 1..400_usize) {
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
    fn what_is_no_rate_is_none(per_second in prop_oneof![Just(f64::NAN), -1e300..-1e-300]) {
        prop_assert_eq!(rate::Rate::new(per_second), None);
    }
}

/// Guards against an upstream that returns cold in need, and gets what it bears by one of its limits alone.
#[test]
fn the_smaller_of_a_named_rate_and_a_slow_start_holds() {
    for (per_second, in_the_first_second) in [(0.5, 2), (100.0, 6)] {
        let mut update = limited_view(1, per_second);
        for (_, upstream) in &mut update.upstreams {
            let upstream = upstream.as_mut().expect("it is there");
            upstream.announcement.cold = Duration::from_secs(3);
        }
        let mut entries = Entry::all_before(4, &update);

        let sent: usize = sent(&mut entries, 1).values().map(Vec::len).sum();

        assert_eq!(sent, in_the_first_second, "{per_second} a second");
    }
}

/// Guards against streams of a lost upstream that all go on at one that is in need.
#[test]
fn resumed_streams_count_against_the_rate() {
    let mut entry = Entry::all_before(1, &limited_view(2, 0.5)).remove(0);
    let numbers: Vec<u64> = (0..2).map(|_| entry.sent("stream").0).collect();
    entry.sent("stream");
    entry.sent("stream");

    let resumed = numbers.into_iter().filter(|number| {
        let broken = event::Event::AttemptFailed(*number, event::Fault::ConnectionLost, None);
        matches!(entry.step(broken), Some(action::Decision::Start(_)))
    });

    assert_eq!(resumed.count(), 0);
}
