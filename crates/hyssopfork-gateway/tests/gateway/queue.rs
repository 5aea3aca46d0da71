//! Requests that arrive while no upstream is available.

use crate::fixture::{self, Entry, arrival, rejection, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, arrival::Arrival, event};
use std::sync::Arc;
use std::time::Duration;

/// The fixture's view without its groups.
fn without_groups() -> view::Update {
    view::Update { groups: Vec::new(), ..fixture::view() }
}

fn groups_serving() -> event::Event {
    view_updated(fixture::view())
}

fn view_updated(update: view::Update) -> event::Event {
    event::Event::ViewUpdated(Box::new(update), Some(Arc::new(fixture::declaration())))
}

/// A retry with two seconds left.
fn retry() -> Arrival {
    Arrival { timeout: Some(Duration::from_secs(2)), ..arrival("stream") }
}

fn queue_timeout(decision: &action::Decision) -> Duration {
    match decision {
        action::Decision::Queue(time) => *time,
        other => panic!("expected a queued request, got {other:?}"),
    }
}

/// Guards against rejecting retries at a process that receives the fleet's view half a second
/// later.
#[test]
fn queued_requests_are_sent_once_a_starting_process_knows_the_fleet() {
    let mut entry = Entry::new();
    let (_, decision) = entry.arrive(retry());
    queue_timeout(&decision);

    entry.advance(500);
    let decision = entry.step(groups_serving()).expect("a decision follows");

    let left = started(&decision).deadline.since(entry.now);
    assert_eq!(left, Duration::from_millis(1_500));
}

/// Guards against rejecting requests during the second that the repair of a group takes.
#[test]
fn requests_are_queued_until_a_group_serves() {
    let mut entry = Entry::new();
    entry.update_view(without_groups());
    let (_, decision) = entry.arrive(retry());
    assert!(queue_timeout(&decision) <= Duration::from_millis(500), "a part of the remaining time");

    entry.advance(300);
    let decision = entry.step(groups_serving()).expect("a decision follows");

    started(&decision);
}

/// Guards against rejecting all requests beyond the capacity of the first group while the next ones
/// open.
#[test]
fn requests_are_queued_until_a_group_has_capacity() {
    let mut entry = Entry::new();
    entry.update_view(without_groups());
    let queued: Vec<u64> =
        (0..fixture::SLOTS + 2).map(|_| entry.arrive(arrival("stream")).0).collect();
    let one = view::Update { groups: vec![fixture::group("g1", "e1", 1)], ..fixture::view() };

    let first = entry.started_by(view_updated(one));
    let second = entry.started_by(groups_serving());

    assert_eq!(first, queued[..fixture::SLOTS as usize]);
    assert_eq!(second, queued[fixture::SLOTS as usize..]);
}

/// Guards against a second decision to wait, after which the decision to send would be missed.
#[test]
fn a_queued_request_receives_one_decision() {
    let mut entry = Entry::new();
    entry.arrive(retry());

    let declared = event::Event::ViewUpdated(
        Box::new(without_groups()),
        Some(Arc::new(fixture::declaration())),
    );
    assert_eq!(entry.step(declared), None);
    let decision = entry.step(groups_serving()).expect("a decision follows");

    started(&decision);
}

/// Guards against a rejection that claims that the request may have run, or that has no
/// `Retry-After`.
#[test]
fn a_queue_timeout_rejects_the_request() {
    let mut entry = Entry::new();
    entry.update_view(without_groups());
    let (number, _) = entry.arrive(retry());

    let decision = entry.step(event::Event::QueueTimeout(number)).expect("a decision follows");

    let rejected = rejection(&decision);
    assert_eq!(rejected.reason, action::Reason::NoUpstream);
    assert!(rejected.retry_after.is_some());
}

/// Guards against work for a client that has disconnected.
#[test]
fn a_queued_request_of_a_disconnected_client_is_not_sent() {
    let mut entry = Entry::new();
    let (number, _) = entry.arrive(retry());

    entry.step(event::Event::ClientDisconnected(number));

    assert_eq!(entry.step(groups_serving()), None);
    assert_eq!(entry.core.open_requests(), 0);
}

/// Guards against an unbounded queue.
#[test]
fn the_queue_is_bounded() {
    let mut entry = Entry::new();

    let decisions: Vec<_> = (0..1_000).map(|_| entry.arrive(retry()).1).collect();

    let queued = decisions.iter().filter(|it| matches!(it, action::Decision::Queue(_))).count();
    assert!(queued < 200, "{queued}");
    rejection(decisions.last().expect("requests arrived"));
}

/// An arrival on a route that the fixture's declaration lacks.
fn unrouted() -> Arrival {
    arrival("added")
}

/// Guards against a 404 for a route whose declaration has been accepted but not yet received.
#[test]
fn a_request_for_a_route_of_a_newer_declaration_is_queued() {
    let mut entry = Entry::new();
    entry.update_view(view::Update {
        declared_version: fixture::declaration().version + 1,
        ..fixture::view()
    });

    let (number, decision) = entry.arrive(unrouted());

    queue_timeout(&decision);
    let decision = entry.step(event::Event::QueueTimeout(number)).expect("a decision follows");
    assert_eq!(rejection(&decision).reason, action::Reason::NotReady);
    assert!(rejection(&decision).retry_after.is_some());
}

/// Guards against a 404 from an entry that can't reach any leader and holds an old declaration.
#[test]
fn an_entry_with_a_stale_view_rejects_no_unknown_route() {
    let mut entry = Entry::new();
    entry.update_view(fixture::view());
    let (_, decision) = entry.arrive(unrouted());
    assert_eq!(rejection(&decision).reason, action::Reason::NoRoute);

    entry.advance(2_000);
    let (_, decision) = entry.arrive(unrouted());

    queue_timeout(&decision);
}

/// Guards against a 404 after an acknowledgement when the leader's answers arrive late: the entry's
/// knowledge is as old as its watch, not as the answer.
#[test]
fn a_late_view_does_not_make_a_declaration_the_newest() {
    let mut entry = Entry::new();
    entry.update_view(fixture::view());
    entry.advance(3_000);
    let newest_version = fixture::declaration().version;
    let confirmed_at = entry.now - Duration::from_millis(1_600);
    entry.step(event::Event::VersionConfirmed { confirmed_at, newest_version });
    entry.step(event::Event::ViewUpdated(Box::new(fixture::view()), None));

    let (_, decision) = entry.arrive(unrouted());

    queue_timeout(&decision);
}

/// Guards against a 404 for a route of a declaration that was acknowledged after the leader's last
/// publication.
#[test]
fn a_newer_version_is_known_before_its_view_arrives() {
    let mut entry = Entry::new();
    entry.update_view(fixture::view());
    let (confirmed_at, newest_version) = (entry.now, fixture::declaration().version + 1);
    entry.step(event::Event::VersionConfirmed { confirmed_at, newest_version });

    let (_, decision) = entry.arrive(unrouted());

    queue_timeout(&decision);
}

#[test]
fn a_queued_arrival_is_rejected_once_the_newest_declaration_lacks_its_route() {
    let mut entry = Entry::new();
    let version = fixture::declaration().version;
    entry.update_view(view::Update { declared_version: version, ..fixture::view() });
    entry.advance(2_000);
    entry.arrive(unrouted());

    let confirmed_at = entry.now;
    let confirmed = event::Event::VersionConfirmed { confirmed_at, newest_version: version };
    let decision = entry.step(confirmed).expect("a decision follows");

    assert_eq!(rejection(&decision).reason, action::Reason::NoRoute);
}
