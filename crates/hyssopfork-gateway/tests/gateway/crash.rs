//! Requests in flight when upstreams crash, and their quarantine.

use crate::fixture::{self, Entry, arrival, rejection, started};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_gateway::{action, arrival::Arrival, content, event, prompt};
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
        quarantine: vec![(quarantine::Cause::Request(fingerprint(route)), verdict)],
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
    let fingerprints: Vec<_> = crash.requests.iter().map(|it| it.fingerprint).collect();
    assert_eq!(fingerprints, [fingerprint("stream")]);
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
    let causes: Vec<_> = completions.into_iter().flatten().map(|it| it.cause).collect();
    assert_eq!(causes, [quarantine::Cause::Request(fingerprint("status"))]);
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
        quarantine: vec![(quarantine::Cause::Request(fingerprint("status")), Some(QUARANTINED))],
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

const CRASHING_PART: quarantine::Part = quarantine::Part(0xdead);

/// A request with another body and other parts each time, but for the first.
fn with_parts(route: &str, parts: &[u64]) -> Arrival {
    let content = content::Content { body: format!("{parts:?}").into(), ..arrival(route).content };
    let prompt = parts.iter().copied().map(quarantine::Part).collect();
    Arrival { content, prompt, ..arrival(route) }
}

fn part_update(verdict: Option<quarantine::Verdict>) -> view::Update {
    let quarantine = vec![(quarantine::Cause::Part(CRASHING_PART), verdict)];
    view::Update { quarantine, ..verdict_update("stream", None) }
}

/// Guards against losing the parts of a request between its arrival and the report of a crash.
#[test]
fn a_crash_is_reported_with_the_parts_of_its_requests() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.arrive(with_parts("stream", &[1, CRASHING_PART.0]));
    entry.step(connection_lost(number));

    confirm_crashes(&mut entry);

    let crashes = entry.reports.last().map(|evidence| evidence.crashes.clone());
    let requests = crashes.into_iter().flatten().flat_map(|crash| crash.requests);
    let parts: Vec<_> = requests.map(|request| request.parts).collect();
    assert_eq!(parts, [[quarantine::Part(1), CRASHING_PART]]);
}

/// Guards against one crash for each new request with the part, and against rejecting others with
/// the same first part.
#[test]
fn requests_with_a_quarantined_part_are_rejected_whatever_else_they_hold() {
    let mut entry = Entry::with_view();
    entry.update_view(part_update(Some(QUARANTINED)));

    let (_, stream) = entry.arrive(with_parts("stream", &[1, CRASHING_PART.0, 2]));
    let (_, status) = entry.arrive(with_parts("status", &[CRASHING_PART.0]));
    let (_, harmless) = entry.arrive(with_parts("stream", &[1, 3, 2]));

    for decision in [stream, status] {
        let rejected = rejection(&decision);
        assert_eq!(rejected.reason, action::Reason::Quarantined);
        assert!(rejected.retry_after.is_some_and(|after| after >= Duration::from_secs(14)));
    }
    started(&harmless);
}

/// Guards against a stream that crashes the next upstream when it resumes there.
#[test]
fn a_stream_with_a_quarantined_part_is_not_resumed() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.arrive(with_parts("stream", &[1, CRASHING_PART.0]));
    entry.update_view(part_update(Some(QUARANTINED)));

    let decision = entry.step(connection_lost(number)).expect("a decision follows");

    assert_eq!(rejection(&decision).reason, action::Reason::Failed);
}

/// Guards against freeing a part because the runner responded with an error, for which it may not have
/// read the prompt.
#[test]
fn an_error_response_does_not_clear_a_part() {
    let completed = |status: u16| {
        let mut entry = Entry::with_view();
        entry.update_view(part_update(Some(quarantine::Verdict::Suspect)));
        let (number, _) = entry.arrive(with_parts("status", &[CRASHING_PART.0]));
        entry.step(event::Event::ResponseReceived(number, event::Head::new(status)));
        entry.step(event::Event::Tick);
        let completions = entry.reports.last().map(|evidence| evidence.completions.clone());
        completions.into_iter().flatten().map(|it| it.cause).collect::<Vec<_>>()
    };

    assert_eq!(completed(504), []);
    assert_eq!(completed(400), []);
    assert_eq!(completed(200), [quarantine::Cause::Part(CRASHING_PART)]);
}

/// Guards against clearing a suspected part only once: it stays suspected when it crashed other
/// upstreams meanwhile.
#[test]
fn completions_of_a_suspected_part_are_reported_again() {
    let mut entry = Entry::with_view();
    entry.update_view(part_update(Some(quarantine::Verdict::Suspect)));
    let mut ages = Vec::new();

    for _ in 0..3 {
        let (number, _) = entry.arrive(with_parts("status", &[CRASHING_PART.0]));
        entry.step(event::Event::ResponseReceived(number, event::Head::new(200)));
        let completions = entry.reports.last().map(|evidence| evidence.completions.clone());
        ages.extend(completions.into_iter().flatten().map(|it| it.age));
        entry.advance(500);
    }

    assert_eq!(ages, [Duration::ZERO; 3]);
}

/// Guards against trials of other entries while one is in flight: each would crash an upstream.
#[test]
fn a_trial_is_reported_when_it_is_sent() {
    let mut entry = Entry::with_view();
    entry.update_view(part_update(Some(QUARANTINED)));
    entry.advance(15_000);

    let (_, trial) = entry.arrive(with_parts("status", &[1, CRASHING_PART.0]));
    let (_, other) = entry.arrive(with_parts("status", &[2, CRASHING_PART.0]));

    started(&trial);
    assert_eq!(rejection(&other).reason, action::Reason::Quarantined);
    let trials = entry.reports.last().map(|evidence| evidence.trials.clone());
    let cause = quarantine::Cause::Part(CRASHING_PART);
    assert_eq!(trials, Some(vec![quarantine::Trial { cause, round: 1, age: Duration::ZERO }]));
}

/// Guards against recalling a trial because the leader begins the next round with it.
#[test]
fn a_trial_outlasts_the_round_that_it_begins() {
    let mut entry = Entry::with_view();
    entry.update_view(part_update(Some(QUARANTINED)));
    entry.advance(15_000);
    let (number, trial) = entry.arrive(with_parts("status", &[1, CRASHING_PART.0]));
    started(&trial);

    entry.update_view(part_update(Some(quarantine::Verdict::Quarantined { round: 2 })));
    let decision = entry.step(event::Event::IdleTimeout(number)).expect("a decision follows");
    let (_, next) = entry.arrive(with_parts("status", &[2, CRASHING_PART.0]));

    assert!(!matches!(decision, action::Decision::Reject(_)), "{decision:?}");
    assert!(rejection(&next).retry_after.is_some_and(|after| after >= Duration::from_secs(59)));
}

/// Guards against memory that grows with the parts that a client names.
#[test]
fn a_long_prompt_is_reported_with_its_first_parts() {
    let mut entry = Entry::with_view();
    let parts: Vec<u64> = (0..1_000).collect();
    let (number, _) = entry.arrive(with_parts("stream", &parts));
    entry.step(connection_lost(number));

    confirm_crashes(&mut entry);

    let crashes = entry.reports.last().map(|evidence| evidence.crashes.clone());
    let requests = crashes.into_iter().flatten().flat_map(|crash| crash.requests);
    let counts: Vec<_> = requests.map(|request| request.parts.len()).collect();
    assert_eq!(counts, [prompt::MAX_PARTS]);
}
