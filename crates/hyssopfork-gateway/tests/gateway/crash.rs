//! Requests under which upstreams end.

use crate::fixture::{self, Entry, arrival, refused, started};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_gateway::{action, arrival::Arrival, content, event};
use std::time::Duration;

fn broken(number: u64) -> event::Event {
    event::Event::Failed(number, event::Fault::Broken, None)
}

#[test]
fn repeats_of_a_request_have_one_fingerprint() {
    let first = arrival("stream").content;
    let repeat = content::Content { host: "HOST".to_owned(), ..first.clone() };
    let other = content::Content { body: "other".into(), ..first.clone() };
    let team = hyssopfork_wire::name::Team::from("team");

    let fingerprint = first.fingerprint(Some(&team));

    assert_eq!(repeat.fingerprint(Some(&team)), fingerprint);
    assert_ne!(other.fingerprint(Some(&team)), fingerprint);
    assert_ne!(first.fingerprint(None), fingerprint);
}

#[test]
fn an_upstream_is_probed_once_for_all_that_break_off() {
    let mut entry = Entry::ready();
    let sent: Vec<u64> = (0..2 * fixture::SLOTS).map(|_| entry.sent("stream").0).collect();

    for number in sent {
        entry.step(broken(number));
    }

    let probed: Vec<&str> = entry.probes.iter().map(|process| process.instance.as_str()).collect();
    assert_eq!(probed.len(), 2, "{probed:?}");
}

/// Guards against taking a planned end for a crash.
#[test]
fn an_upstream_that_leaves_is_not_probed() {
    let mut entry = Entry::ready();
    let (number, instance) = entry.sent("submit");
    let mut update = fixture::view();
    for (name, upstream) in &mut update.upstreams {
        if *name == instance {
            upstream.as_mut().expect("it is there").status = view::Status::Leaving;
        }
    }
    entry.see(update);

    entry.step(broken(number));

    assert!(entry.probes.is_empty());
}

/// Guards against hiding what a client repeats behind a query.
#[test]
fn a_query_tells_requests_apart() {
    let plain: Arrival = arrival("status");
    let content = content::Content { query: "page=2".to_owned(), ..plain.content.clone() };

    assert_ne!(content.fingerprint(None), plain.content.fingerprint(None));
}

const ROUND: quarantine::Verdict = quarantine::Verdict::Quarantined { round: 1 };

/// Fingerprint of the requests that [`arrival`] makes.
fn fingerprint(route: &str) -> quarantine::Fingerprint {
    arrival(route).content.fingerprint(Some(&hyssopfork_wire::name::Team::from("team")))
}

fn told(route: &str, verdict: Option<quarantine::Verdict>) -> view::Update {
    view::Update {
        is_full: false,
        upstreams: Vec::new(),
        groups: Vec::new(),
        quarantine: vec![(fingerprint(route), verdict)],
        ..fixture::view()
    }
}

fn other(route: &str) -> Arrival {
    let content = content::Content { body: "other".into(), ..arrival(route).content };
    Arrival { content, ..arrival(route) }
}

/// Reports the end of every upstream that was probed.
fn confirm(entry: &mut Entry) {
    for process in std::mem::take(&mut entry.probes) {
        entry.step(event::Event::Probed(process, true));
    }
}

#[test]
fn the_leader_is_told_of_requests_at_a_crash_at_once() {
    let mut entry = Entry::ready();
    let (number, instance) = entry.sent("stream");
    entry.step(broken(number));
    let before = entry.told.len();

    confirm(&mut entry);

    let told = &entry.told[before..];
    let crash = told.last().and_then(|evidence| evidence.crashes.first()).expect("it is told");
    assert_eq!(crash.process.instance, instance);
    assert_eq!(crash.requests, [fingerprint("stream")]);
}

/// Guards against requests that are sent to an upstream whose end is known, and against a group that is
/// replaced only once one of them has failed.
#[test]
fn an_upstream_that_ended_gets_no_requests_and_the_leader_asks_after_it() {
    let mut entry = Entry::ready();
    let (number, instance) = entry.sent("stream");
    entry.step(broken(number));

    confirm(&mut entry);

    let next: Vec<_> = (0..3).map(|_| entry.sent("stream").1).collect();
    assert!(!next.contains(&instance), "{next:?}");
    let told = entry.told.last().map(|evidence| evidence.stalled.clone());
    assert_eq!(told, Some(vec![instance]));
}

/// Guards against taking a reset connection of an upstream that lives for a crash.
#[test]
fn an_upstream_that_takes_connections_has_not_crashed() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");
    entry.step(broken(number));
    let process = entry.probes.pop().expect("it is probed");

    entry.step(event::Event::Probed(process, false));
    entry.step(event::Event::Tick);

    assert!(entry.told.iter().all(|evidence| evidence.crashes.is_empty()));
}

/// Guards against the crash of one more upstream by each repeat, at whichever entry it arrives.
#[test]
fn a_quarantined_request_is_rejected_with_a_time_to_return() {
    let mut entry = Entry::ready();
    entry.see(told("stream", Some(ROUND)));

    let (_, repeat) = entry.arrive(arrival("stream"));
    let (_, harmless) = entry.arrive(other("stream"));

    let refusal = refused(&repeat);
    assert_eq!(refusal.reason, action::Reason::Quarantined);
    assert!(refusal.reason.is_not_run());
    assert!(refusal.retry_after.is_some_and(|after| after >= Duration::from_secs(14)));
    started(&harmless);
}

/// Guards against a stream that takes the next upstream with it when it is resumed there.
#[test]
fn a_quarantined_stream_is_not_resumed() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");
    entry.see(told("stream", Some(ROUND)));

    let decision = entry.step(broken(number)).expect("it is decided");

    assert_eq!(refused(&decision).reason, action::Reason::Failed);
}

/// Guards against crashes by attempts that wait at upstreams when the request is quarantined.
#[test]
fn an_attempt_that_waits_is_recalled() {
    let mut entry = Entry::ready();
    let (number, _) = entry.sent("stream");
    entry.see(told("stream", Some(ROUND)));

    let decision = entry.step(event::Event::Quiet(number)).expect("it is decided");

    assert_eq!(refused(&decision).reason, action::Reason::Failed);
}

/// Guards against a request that is rejected for good because it ran beside others that crashed.
#[test]
fn a_request_that_completes_is_free_again() {
    let mut entry = Entry::ready();
    entry.see(told("status", Some(ROUND)));
    entry.pass(15_000);

    let (number, tried) = entry.arrive(arrival("status"));
    let (_, meanwhile) = entry.arrive(arrival("status"));
    entry.step(event::Event::Answered(number, event::Head { status: 200, load: None, rate: None }));
    let (_, after) = entry.arrive(arrival("status"));

    started(&tried);
    assert_eq!(refused(&meanwhile).reason, action::Reason::Quarantined);
    started(&after);
    let completions = entry.told.last().map(|evidence| evidence.completions.clone());
    let requests: Vec<_> = completions.into_iter().flatten().map(|it| it.request).collect();
    assert_eq!(requests, [fingerprint("status")]);
}

/// Guards against an attempt at each repeat once the first quarantine is over.
#[test]
fn an_attempt_that_crashes_begins_the_time_anew() {
    let mut entry = Entry::ready();
    entry.see(told("status", Some(ROUND)));
    entry.pass(15_000);
    let (number, tried) = entry.arrive(arrival("status"));

    let again = entry.step(broken(number)).expect("it is decided");
    confirm(&mut entry);
    let (_, next) = entry.arrive(arrival("status"));

    started(&tried);
    assert_eq!(refused(&again).reason, action::Reason::Failed);
    assert_eq!(refused(&next).reason, action::Reason::Quarantined);
}

/// Guards against attempts of all entries in the moment in which the quarantine ends.
#[test]
fn entries_try_one_after_the_other() {
    let mut entries = Entry::all_of(40);
    let mut tried = Vec::new();
    for entry in &mut entries {
        entry.see(view::Update { entries: Vec::new(), ..told("status", Some(ROUND)) });
        entry.pass(15_000);
    }

    for _ in 0..10 {
        let sent = entries.iter_mut().filter_map(|entry| entry.is_sent("status").then_some(()));
        tried.push(sent.count());
        entries.iter_mut().for_each(|entry| entry.pass(1_500));
    }

    assert_eq!(tried, [1; 10]);
}

#[test]
fn what_is_known_of_a_request_outlasts_a_change_of_leader() {
    let mut entry = Entry::ready();
    entry.see(told("status", Some(ROUND)));
    entry.pass(10_000);
    let next = view::Update { is_full: true, ..fixture::view() };
    entry.see(view::Update { quarantine: vec![(fingerprint("status"), Some(ROUND))], ..next });
    entry.pass(5_000);

    assert!(entry.is_sent("status"));
}

/// Guards against a request that is free for a moment each time the leader changes: a new leader publishes
/// before it has heard all entries.
#[test]
fn a_verdict_holds_until_a_new_leader_can_know_of_it() {
    let mut entry = Entry::ready();
    entry.see(told("status", Some(ROUND)));
    entry.see(fixture::view());

    let at_first = entry.is_sent("status");
    entry.pass(2_000);
    entry.step(event::Event::Tick);

    assert!(!at_first);
    assert!(entry.is_sent("status"));
}
