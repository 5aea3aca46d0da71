//! Upstreams that state in their responses that they leave.

use crate::fixture::{self, Entry, arrival, started};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_gateway::{action, event};
use hyssopfork_wire::name;

/// Head of a response in which the upstream states that it leaves.
fn leaving(status: u16) -> event::Head {
    event::Head { leaving: true, ..event::Head::new(status) }
}

/// Whether one of several concurrent requests is sent to the upstream.
fn receives_requests(entry: &mut Entry, route: &str, upstream: &name::Instance) -> bool {
    let sent: Vec<_> = (0..4).map(|_| entry.send(route)).collect();
    for (number, _) in &sent {
        entry.step(event::Event::ClientDisconnected(*number));
    }
    sent.iter().any(|(_, instance)| instance == upstream)
}

/// Processes that the newest evidence reports as leaving.
fn reported(entry: &mut Entry) -> Vec<name::Instance> {
    entry.step(event::Event::Tick);
    let evidence = entry.reports.last().expect("a tick sends evidence");
    evidence.leaving.iter().map(|process| process.instance.clone()).collect()
}

/// The fixture's view with this status of one upstream.
fn view_with_status(instance: &name::Instance, status: view::Status) -> view::Update {
    let mut update = fixture::view();
    for (name, upstream) in &mut update.upstreams {
        if name == instance {
            upstream.as_mut().expect("the upstream exists").status = status;
        }
    }
    update
}

/// Guards against sending requests to an upstream that leaves but still announces itself as ready.
#[test]
fn an_upstream_that_states_that_it_leaves_receives_no_requests() {
    type Respond = fn(&mut Entry, u64) -> Option<action::Decision>;
    let responses: [(&str, Respond); 4] = [
        ("status", |entry, it| entry.step(event::Event::ResponseReceived(it, leaving(200)))),
        ("submit", |entry, it| entry.step(event::Event::ResponseReceived(it, leaving(500)))),
        ("stream", |entry, it| entry.step(event::Event::HeadReceived(it, leaving(200)))),
        ("stream", |entry, it| {
            let head = Some(leaving(503));
            entry.step(event::Event::AttemptFailed(it, event::Fault::NotRun, head))
        }),
    ];
    for (index, (route, respond)) in responses.into_iter().enumerate() {
        let mut entry = Entry::with_view();
        let (number, upstream) = entry.send(route);

        respond(&mut entry, number);

        assert!(!receives_requests(&mut entry, route, &upstream), "response {index}");
        entry.update_view(view_with_status(&upstream, view::Status::Present));
        assert!(!receives_requests(&mut entry, route, &upstream), "response {index}, a new view");
    }
}

/// Guards against a group that stays in service with a head that no entry uses: only the entry that
/// sent the request sees the response.
#[test]
fn the_leader_is_told_until_it_publishes_the_upstream_as_leaving() {
    let mut entry = Entry::with_view();
    let (number, upstream) = entry.send("stream");

    entry.step(event::Event::HeadReceived(number, leaving(200)));

    assert!(entry.reports.last().is_some_and(|evidence| evidence.is_urgent()), "at once");
    entry.advance(10_000);
    assert_eq!(reported(&mut entry), std::slice::from_ref(&upstream));
    entry.update_view(view_with_status(&upstream, view::Status::Leaving));
    assert_eq!(reported(&mut entry), []);
}

#[test]
fn a_stream_that_has_begun_continues_at_an_upstream_that_leaves() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("stream");

    let decision = entry.step(event::Event::HeadReceived(number, leaving(200)));
    entry.step(event::Event::EventsReceived(number, Some(1)));
    entry.step(event::Event::StreamCompleted(number));

    assert_eq!(decision, Some(action::Decision::ForwardStream));
    assert_eq!(entry.core.open_requests(), 0);
}

/// Guards against excluding the next process of the same name.
#[test]
fn a_new_process_is_not_leaving() {
    let mut entry = Entry::with_view();
    let (number, upstream) = entry.send("status");
    entry.step(event::Event::ResponseReceived(number, leaving(200)));
    let mut update = fixture::view();
    for (_, upstream) in &mut update.upstreams {
        upstream.as_mut().expect("the upstream exists").announcement.start_time_ms = 2;
    }

    entry.update_view(update);

    assert!(receives_requests(&mut entry, "status", &upstream));
    assert_eq!(reported(&mut entry), []);
}

/// Guards against attributing to an upstream what another one at its address states.
#[test]
fn a_statement_of_another_upstream_at_the_address_is_ignored() {
    let mut entry = Entry::with_view();
    let (number, upstream) = entry.send("status");
    let wrong = event::Fault::WrongInstance;
    let decision = entry.step(event::Event::AttemptFailed(number, wrong, Some(leaving(421))));
    started(&decision.expect("a decision follows"));

    entry.advance(400);

    assert!(receives_requests(&mut entry, "status", &upstream));
}

/// Guards against taking the end of an upstream on request for a crash that its requests caused.
#[test]
fn connections_lost_at_an_upstream_that_leaves_are_no_crash() {
    let mut entry = Entry::with_view();
    let sent: Vec<_> = (0..4).map(|_| entry.send("status")).collect();
    let upstream = sent[0].1.clone();
    entry.step(event::Event::ResponseReceived(sent[0].0, leaving(200)));

    for (number, _) in sent.iter().skip(1).filter(|(_, instance)| *instance == upstream) {
        let lost = event::Fault::ConnectionLost;
        entry.step(event::Event::AttemptFailed(*number, lost, None));
    }

    let process = quarantine::Process { instance: upstream, start_time_ms: 1 };
    assert!(!entry.probes.contains(&process));
}

/// Guards against rejecting requests while the groups whose heads leave are replaced.
#[test]
fn requests_are_queued_while_all_upstreams_leave() {
    let mut entry = Entry::with_view();
    let sent: Vec<_> = (0..2).map(|_| entry.send("stream")).collect();
    for (number, _) in &sent {
        entry.step(event::Event::HeadReceived(*number, leaving(200)));
    }

    let (_, decision) = entry.arrive(arrival("stream"));

    assert!(matches!(decision, action::Decision::Queue(_)), "until another group serves");
}
