//! Pauses that upstreams ask for in their responses.

use crate::fixture::{self, Entry, arrival, instance, rejection, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, event, response};
use hyssopfork_wire::name;
use std::collections::BTreeMap;
use std::time::Duration;

const PAUSE: Duration = Duration::from_secs(3);

/// Head of a rejection that asks for a pause of this length.
fn pausing(duration: Duration) -> event::Head {
    event::Head { pause: response::Pause::Requested(duration), ..event::Head::new(503) }
}

/// Rejects the request with a pause of this length; returns the decision that follows.
fn reject_for(entry: &mut Entry, number: u64, duration: Duration) -> action::Decision {
    let head = Some(pausing(duration));
    let rejected = event::Event::AttemptFailed(number, event::Fault::NotRun, head);
    entry.step(rejected).expect("a decision follows")
}

fn reject(entry: &mut Entry, number: u64) -> action::Decision {
    reject_for(entry, number, PAUSE)
}

/// Completes the request.
fn complete(entry: &mut Entry, number: u64) {
    entry.step(event::Event::ResponseReceived(number, event::Head::new(200)));
}

/// Sends this many concurrent requests, completes them, and counts them by upstream.
fn send_many(entry: &mut Entry, route: &str, count: usize) -> BTreeMap<name::Instance, usize> {
    let sent: Vec<_> = (0..count).map(|_| entry.send(route)).collect();
    let mut counts = BTreeMap::new();
    for (number, instance) in sent {
        *counts.entry(instance).or_default() += 1;
        complete(entry, number);
    }
    counts
}

/// Lets one of the two upstreams of the route ask for a pause; returns it.
fn pause_one(entry: &mut Entry, route: &str) -> name::Instance {
    let (number, paused) = entry.send(route);
    let decision = reject(entry, number);
    assert_ne!(started(&decision).instance, paused);
    complete(entry, number);
    paused
}

/// Sends requests until one upstream has two; returns it and the two.
fn send_two_to_one(entry: &mut Entry) -> (name::Instance, [u64; 2]) {
    let sent: Vec<_> = (0..4).map(|_| entry.send("status")).collect();
    let upstream = sent[0].1.clone();
    let mut at_upstream = sent.iter().filter(|(_, instance)| *instance == upstream);
    let requests = [(); 2].map(|()| at_upstream.next().expect("two requests at each").0);
    (upstream, requests)
}

/// Lets both upstreams of the route ask for pauses of these lengths; returns the last decision.
fn pause_both(entry: &mut Entry, route: &str, durations: [Duration; 2]) -> action::Decision {
    let (number, _) = entry.send(route);
    started(&reject_for(entry, number, durations[0]));
    reject_for(entry, number, durations[1])
}

/// Guards against sending requests to an upstream that has asked this entry for a pause: it always
/// has the fewest requests, and rejects them all.
#[test]
fn a_paused_upstream_receives_no_requests_until_the_pause_ends() {
    for route in ["status", "stream", "submit"] {
        let mut entry = Entry::with_view();
        let paused = pause_one(&mut entry, route);

        let during: usize = (0..29)
            .map(|_| {
                entry.advance(100);
                send_many(&mut entry, route, 4).get(&paused).copied().unwrap_or(0)
            })
            .sum();
        entry.advance(100);
        let after = send_many(&mut entry, route, 4);

        assert_eq!(during, 0, "{route}");
        assert!(after.contains_key(&paused), "{route}: {after:?}");
    }
}

/// Guards against forgetting the pause when the head's group is formed again or is unknown for a
/// time.
#[test]
fn a_pause_outlasts_changes_of_the_view() {
    let mut entry = Entry::with_view();
    let paused = pause_one(&mut entry, "stream");
    let regrouped = view::Update {
        groups: vec![fixture::group("g3", "e1", 7), fixture::group("g4", "e2", 8)],
        ..fixture::view()
    };

    entry.update_view(view::Update {
        upstreams: Vec::new(),
        groups: Vec::new(),
        ..fixture::view()
    });
    entry.advance(300);
    entry.update_view(regrouped);

    let counts = send_many(&mut entry, "stream", 4);
    assert_eq!(counts.get(&paused), None);
}

/// Guards against holding a new process to the pause of the previous one of the same name.
#[test]
fn a_new_process_starts_without_a_pause() {
    let mut entry = Entry::with_view();
    let paused = pause_one(&mut entry, "status");
    let mut update = fixture::view();
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("the upstream exists").announcement.start_time_ms = 2;
    }

    entry.update_view(update);

    assert!(send_many(&mut entry, "status", 4).contains_key(&paused));
}

/// Guards against shortening a pause by the response to a request that was sent before it.
#[test]
fn the_pause_that_ends_last_counts() {
    let mut entry = Entry::with_view();
    let (paused, [first, second]) = send_two_to_one(&mut entry);
    reject(&mut entry, first);
    reject_for(&mut entry, second, Duration::from_millis(100));

    entry.advance(200);

    assert_eq!(send_many(&mut entry, "status", 4).get(&paused), None);
}

/// Guards against ending a pause with the response to a request that was sent before it.
#[test]
fn an_earlier_request_that_completes_does_not_end_the_pause() {
    let mut entry = Entry::with_view();
    let (paused, [first, second]) = send_two_to_one(&mut entry);
    reject(&mut entry, first);
    complete(&mut entry, second);

    entry.advance(100);

    assert_eq!(send_many(&mut entry, "status", 4).get(&paused), None);
}

/// Guards against retrying until the deadline, and against a `Retry-After` at which the upstreams
/// still pause.
#[test]
fn a_request_is_rejected_with_the_end_of_the_first_pause_if_all_upstreams_pause() {
    for route in ["status", "stream", "submit"] {
        let mut entry = Entry::with_view();
        let first = pause_both(&mut entry, route, [PAUSE, PAUSE * 2]);

        entry.advance(500);
        let rejections: Vec<_> =
            (0..20).map(|_| rejection(&entry.arrive(arrival(route)).1)).collect();

        assert_eq!(rejection(&first).reason, action::Reason::Paused, "{route}");
        for rejection in &rejections {
            assert_eq!(rejection.reason, action::Reason::Paused, "{route}");
            let wait = rejection.retry_after.expect("the rejection has a retry time");
            assert!(wait >= Duration::from_millis(2_500), "{route}: {wait:?}");
            assert!(wait <= Duration::from_millis(4_100), "{route}: {wait:?}");
        }
        let mut times: Vec<_> = rejections.iter().map(|it| it.retry_after).collect();
        times.dedup();
        assert!(times.len() > 5, "{route}: the clients return one after the other, {times:?}");
    }
}

/// Guards against counting a pause as a failure too: the upstream would be ejected after the pause,
/// and reported to the leader as stalled.
#[test]
fn a_pause_is_no_failure_of_the_upstream() {
    let mut entry = Entry::with_view();
    for _ in 0..4 {
        let sent: Vec<_> = (0..2).map(|_| entry.send("submit").0).collect();
        for number in sent {
            let rejected = pausing(Duration::from_millis(10));
            entry.step(event::Event::ResponseReceived(number, rejected));
        }
        entry.advance(20);
    }
    entry.step(event::Event::Tick);

    let counts = send_many(&mut entry, "submit", 8);

    assert_eq!(entry.reports.last().map(|it| it.stalled.len()), Some(0));
    assert_eq!(counts.len(), 2, "both are used: {counts:?}");
}

/// Guards against sending all requests to an upstream at the end of its pause, when it has the
/// fewest, before it is known to accept any.
#[test]
fn one_request_tries_an_upstream_after_its_pause() {
    let mut entry = Entry::with_view();
    let paused = pause_one(&mut entry, "status");
    entry.advance(3_000);

    let sent: Vec<_> = (0..6).map(|_| entry.send("status")).collect();
    let trials: Vec<_> = sent.iter().filter(|(_, instance)| *instance == paused).collect();
    assert_eq!(trials.len(), 1);
    complete(&mut entry, trials[0].0);

    let (_, next) = entry.send("status");
    assert_eq!(next, paused, "it has the fewest requests and accepts them");
}

/// Guards against an upstream that gets no further trial because its trial ended without a
/// response.
#[test]
fn a_trial_without_a_response_is_followed_by_another() {
    let mut entry = Entry::with_view();
    let paused = pause_one(&mut entry, "status");
    entry.advance(3_000);
    let sent: Vec<_> = (0..2).map(|_| entry.send("status")).collect();
    let trial = sent.iter().find(|(_, instance)| *instance == paused).expect("a trial").0;

    entry.step(event::Event::ClientDisconnected(trial));

    assert!((0..2).any(|_| entry.send("status").1 == paused));
}

/// Guards against an upstream that asks for a pause in each response: it costs one request a pause.
#[test]
fn an_upstream_that_always_asks_for_a_pause_receives_one_request_per_pause() {
    let mut entry = Entry::with_view();
    let paused = pause_one(&mut entry, "status");
    let mut trials = 0;

    for _ in 0..300 {
        entry.advance(100);
        let (number, instance) = entry.send("status");
        if instance == paused {
            trials += 1;
            started(&reject(&mut entry, number));
        }
        complete(&mut entry, number);
    }

    assert!((9..=10).contains(&trials), "{trials} in 30 s");
}

/// Guards against resuming streams at an upstream that has asked for a pause.
#[test]
fn a_lost_stream_is_not_resumed_at_a_paused_upstream() {
    let mut entry = Entry::with_view();
    let sent: Vec<_> = (0..2).map(|_| entry.send("stream")).collect();
    entry.begin_stream(sent[1].0);
    assert_ne!(sent[0].1, sent[1].1);
    assert_eq!(started(&reject(&mut entry, sent[0].0)).instance, sent[1].1);

    let lost = event::Event::AttemptFailed(sent[1].0, event::Fault::ConnectionLost, None);
    let decision = entry.step(lost).expect("a decision follows");

    assert_eq!(decision, action::Decision::Abort);
}

/// Guards against a wrong header that excludes an upstream.
#[test]
fn a_pause_that_cannot_be_read_is_ignored() {
    let mut entry = Entry::with_view();
    let (number, rejecting) = entry.send("status");
    let head = event::Head { pause: response::Pause::Malformed, ..event::Head::new(503) };

    entry.step(event::Event::AttemptFailed(number, event::Fault::NotRun, Some(head)));
    complete(&mut entry, number);

    assert!(send_many(&mut entry, "status", 4).contains_key(&rejecting));
}

/// Guards against attributing to an upstream what another one at its address states.
#[test]
fn a_pause_of_another_upstream_at_the_address_is_ignored() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("status");
    let wrong = event::Fault::WrongInstance;
    let failed = event::Event::AttemptFailed(number, wrong, Some(pausing(PAUSE)));
    entry.step(failed);
    complete(&mut entry, number);

    entry.advance(400);

    let counts = send_many(&mut entry, "status", 4);
    assert!(counts.contains_key(&instance("p1")) && counts.contains_key(&instance("p2")));
}

/// Guards against an upstream that a mistaken value excludes for good.
#[test]
fn a_pause_ends_after_an_hour() {
    let mut entry = Entry::with_view();
    let (number, paused) = entry.send("status");
    reject_for(&mut entry, number, Duration::from_hours(24));
    complete(&mut entry, number);

    entry.advance(3_599_000);
    let during = send_many(&mut entry, "status", 4);
    entry.advance(1_000);
    let after = send_many(&mut entry, "status", 4);

    assert!(!during.contains_key(&paused) && after.contains_key(&paused));
}
