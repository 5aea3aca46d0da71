//! Requests in flight when upstreams crash, and their quarantine.

use crate::fixture::{self, Entry, arrival, rejection, started};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_gateway::{action, arrival::Arrival, content, event};
use std::time::Duration;

fn connection_lost(number: u64) -> event::Event {
    event::Event::AttemptFailed(number, event::Fault::ConnectionLost, None)
}

#[test]
fn repetitions_of_a_request_have_the_same_fingerprint() {
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
fn an_upstream_is_probed_once_for_all_lost_connections() {
    let mut entry = Entry::with_view();
    let sent: Vec<u64> = (0..2 * fixture::SLOTS).map(|_| entry.send("stream").0).collect();

    for number in sent {
        entry.step(connection_lost(number));
    }

    let probed: Vec<&str> = entry.probes.iter().map(|process| process.instance.as_str()).collect();
    assert_eq!(probed.len(), 2, "{probed:?}");
}

/// Guards against taking a planned shutdown for a crash.
#[test]
fn a_leaving_upstream_is_not_probed() {
    let mut entry = Entry::with_view();
    let (number, instance) = entry.send("submit");
    let mut update = fixture::view();
    for (name, upstream) in &mut update.upstreams {
        if *name == instance {
            upstream.as_mut().expect("the upstream exists").status = view::Status::Leaving;
        }
    }
    entry.update_view(update);

    entry.step(connection_lost(number));

    assert!(entry.probes.is_empty());
}

/// Guards against giving requests with different queries the same fingerprint.
#[test]
fn the_query_is_part_of_the_fingerprint() {
    let plain: Arrival = arrival("status");
    let content = content::Content { query: "page=2".to_owned(), ..plain.content.clone() };

    assert_ne!(content.fingerprint(None), plain.content.fingerprint(None));
}

const QUARANTINED: quarantine::Verdict = quarantine::Verdict::Quarantined { round: 1 };

/// Fingerprint of the requests that [`arrival`] creates.
fn fingerprint(route: &str) -> quarantine::Fingerprint {
    arrival(route).content.fingerprint(Some(&hyssopfork_wire::name::Team::from("team")))
}

fn verdict_update(route: &str, verdict: Option<quarantine::Verdict>) -> view::Update {
    view::Update {
        is_full: false,
        upstreams: Vec::new(),
        groups: Vec::new(),
        quarantine: vec![(fingerprint(route), verdict)],
        ..fixture::view()
    }
}

fn with_other_body(route: &str) -> Arrival {
    let content = content::Content { body: "other".into(), ..arrival(route).content };
    Arrival { content, ..arrival(route) }
}

/// Reports that every probed upstream refused the connection.
fn confirm_crashes(entry: &mut Entry) {
    for process in std::mem::take(&mut entry.probes) {
        entry.step(event::Event::Probed(process, true));
    }
}

#[test]
fn requests_at_a_crash_are_reported_to_the_leader_at_once() {
    let mut entry = Entry::with_view();
    let (number, instance) = entry.send("stream");
    entry.step(connection_lost(number));
    let before = entry.reports.len();

    confirm_crashes(&mut entry);

    let reports = &entry.reports[before..];
    let crash = reports
        .last()
        .and_then(|evidence| evidence.crashes.first())
        .expect("the crash is reported");
    assert_eq!(crash.process.instance, instance);
    assert_eq!(crash.requests, [fingerprint("stream")]);
}

/// Guards against sending requests to an upstream that is known to have crashed, and against
/// replacing its group only after one of them has failed.
#[test]
fn a_crashed_upstream_receives_no_requests_and_is_reported_as_stalled() {
    let mut entry = Entry::with_view();
    let (number, instance) = entry.send("stream");
    entry.step(connection_lost(number));

    confirm_crashes(&mut entry);

    let next: Vec<_> = (0..3).map(|_| entry.send("stream").1).collect();
    assert!(!next.contains(&instance), "{next:?}");
    let stalled = entry.reports.last().map(|evidence| evidence.stalled.clone());
    assert_eq!(stalled, Some(vec![instance]));
}

/// Guards against taking a reset connection of a running upstream for a crash.
#[test]
fn an_upstream_that_accepts_connections_has_not_crashed() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("stream");
    entry.step(connection_lost(number));
    let process = entry.probes.pop().expect("the upstream is probed");

    entry.step(event::Event::Probed(process, false));
    entry.step(event::Event::Tick);

    assert!(entry.reports.iter().all(|evidence| evidence.crashes.is_empty()));
}

/// Guards against one more crash with each repetition, whichever entry receives it.
#[test]
fn a_quarantined_request_is_rejected_with_retry_after() {
    let mut entry = Entry::with_view();
    entry.update_view(verdict_update("stream", Some(QUARANTINED)));

    let (_, repeat) = entry.arrive(arrival("stream"));
    let (_, other) = entry.arrive(with_other_body("stream"));

    let rejected = rejection(&repeat);
    assert_eq!(rejected.reason, action::Reason::Quarantined);
    assert!(rejected.reason.is_not_run());
    assert!(rejected.retry_after.is_some_and(|after| after >= Duration::from_secs(14)));
    started(&other);
}

/// Guards against a stream that crashes the next upstream when it resumes there.
#[test]
fn a_quarantined_stream_is_not_resumed() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("stream");
    entry.update_view(verdict_update("stream", Some(QUARANTINED)));

    let decision = entry.step(connection_lost(number)).expect("a decision follows");

    assert_eq!(rejection(&decision).reason, action::Reason::Failed);
}

/// Guards against crashes by attempts that wait at upstreams when the request is quarantined.
#[test]
fn a_waiting_attempt_is_recalled() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("stream");
    entry.update_view(verdict_update("stream", Some(QUARANTINED)));

    let decision = entry.step(event::Event::IdleTimeout(number)).expect("a decision follows");

    assert_eq!(rejection(&decision).reason, action::Reason::Failed);
}

/// Guards against rejecting a request for good because it was in flight beside others that crashed
/// their upstream.
#[test]
fn a_request_that_completes_leaves_quarantine() {
    let mut entry = Entry::with_view();
    entry.update_view(verdict_update("status", Some(QUARANTINED)));
    entry.advance(15_000);

    let (number, trial) = entry.arrive(arrival("status"));
    let (_, during_trial) = entry.arrive(arrival("status"));
    entry.step(event::Event::ResponseReceived(number, event::Head::new(200)));
    let (_, after) = entry.arrive(arrival("status"));

    started(&trial);
    assert_eq!(rejection(&during_trial).reason, action::Reason::Quarantined);
    started(&after);
    let completions = entry.reports.last().map(|evidence| evidence.completions.clone());
    let requests: Vec<_> = completions.into_iter().flatten().map(|it| it.request).collect();
    assert_eq!(requests, [fingerprint("status")]);
}

/// Guards against a trial with each repetition after the first quarantine period.
#[test]
fn a_trial_that_crashes_restarts_the_period() {
    let mut entry = Entry::with_view();
    entry.update_view(verdict_update("status", Some(QUARANTINED)));
    entry.advance(15_000);
    let (number, trial) = entry.arrive(arrival("status"));

    let again = entry.step(connection_lost(number)).expect("a decision follows");
    confirm_crashes(&mut entry);
    let (_, next) = entry.arrive(arrival("status"));

    started(&trial);
    assert_eq!(rejection(&again).reason, action::Reason::Failed);
    assert_eq!(rejection(&next).reason, action::Reason::Quarantined);
}

/// Guards against trials of all entries at the moment when the quarantine period ends.
#[test]
fn entries_stagger_their_trials() {
    let mut entries = Entry::many(40);
    let mut trial_counts = Vec::new();
    for entry in &mut entries {
        entry.update_view(view::Update {
            entries: Vec::new(),
            ..verdict_update("status", Some(QUARANTINED))
        });
        entry.advance(15_000);
    }

    for _ in 0..10 {
        let sent = entries.iter_mut().filter_map(|entry| entry.is_sent("status").then_some(()));
        trial_counts.push(sent.count());
        entries.iter_mut().for_each(|entry| entry.advance(1_500));
    }

    assert_eq!(trial_counts, [1; 10]);
}

#[test]
fn a_verdict_keeps_its_time_across_a_change_of_leader() {
    let mut entry = Entry::with_view();
    entry.update_view(verdict_update("status", Some(QUARANTINED)));
    entry.advance(10_000);
    let next = view::Update { is_full: true, ..fixture::view() };
    entry.update_view(view::Update {
        quarantine: vec![(fingerprint("status"), Some(QUARANTINED))],
        ..next
    });
    entry.advance(5_000);

    assert!(entry.is_sent("status"));
}

/// Guards against releasing a request for a moment at each change of leader: a new leader publishes
/// before it has received the reports of all entries.
#[test]
fn a_verdict_holds_until_a_new_leader_can_know_it() {
    let mut entry = Entry::with_view();
    entry.update_view(verdict_update("status", Some(QUARANTINED)));
    entry.update_view(fixture::view());

    let at_first = entry.is_sent("status");
    entry.advance(2_000);
    entry.step(event::Event::Tick);

    assert!(!at_first);
    assert!(entry.is_sent("status"));
}
