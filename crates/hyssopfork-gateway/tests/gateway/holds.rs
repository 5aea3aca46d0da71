//! Requests that arrive while no upstream is available.

use crate::fixture::{self, Entry, arrival, refused, started};
use hyssopfork_fleet::view;
use hyssopfork_gateway::{action, arrival::Arrival, event};
use std::sync::Arc;
use std::time::Duration;

/// The view of the fixture without its groups.
fn without_groups() -> view::Update {
    view::Update { groups: Vec::new(), ..fixture::view() }
}

fn groups_serve() -> event::Event {
    groups(fixture::view())
}

fn groups(update: view::Update) -> event::Event {
    event::Event::Viewed(Box::new(update), Some(Arc::new(fixture::declaration())))
}

/// A retry with two seconds left.
fn returning() -> Arrival {
    Arrival { patience: Some(Duration::from_secs(2)), ..arrival("stream") }
}

fn held_for(decision: &action::Decision) -> Duration {
    match decision {
        action::Decision::Hold(time) => *time,
        other => panic!("not held: {other:?}"),
    }
}

/// Guards against rejecting retries at a process that knows the fleet half a second later.
#[test]
fn callers_of_a_process_that_starts_are_served_once_it_knows_the_fleet() {
    let mut entry = Entry::blank();
    let (_, decision) = entry.arrive(returning());
    held_for(&decision);

    entry.pass(500);
    let decision = entry.step(groups_serve()).expect("it is decided");

    let left = started(&decision).limit.since(entry.now);
    assert_eq!(left, Duration::from_millis(1_500));
}

/// Guards against rejecting requests during the second that the repair of a group takes.
#[test]
fn callers_are_held_until_a_group_serves() {
    let mut entry = Entry::blank();
    entry.see(without_groups());
    let (_, decision) = entry.arrive(returning());
    assert!(held_for(&decision) <= Duration::from_millis(500), "a part of what is left");

    entry.pass(300);
    let decision = entry.step(groups_serve()).expect("it is decided");

    started(&decision);
}

/// Guards against rejecting all that the first group has no room for, while the next ones open.
#[test]
fn requests_are_held_until_a_group_has_room() {
    let mut entry = Entry::blank();
    entry.see(without_groups());
    let held: Vec<u64> =
        (0..fixture::SLOTS + 2).map(|_| entry.arrive(arrival("stream")).0).collect();
    let one = view::Update { groups: vec![fixture::group("g1", "e1", 1)], ..fixture::view() };

    let first = entry.decided(groups(one));
    let second = entry.decided(groups_serve());

    assert_eq!(first, held[..fixture::SLOTS as usize]);
    assert_eq!(second, held[fixture::SLOTS as usize..]);
}

/// Guards against a second decision to wait, which makes the first decision to send go unheard.
#[test]
fn a_caller_that_is_held_gets_one_decision() {
    let mut entry = Entry::blank();
    entry.arrive(returning());

    let declared =
        event::Event::Viewed(Box::new(without_groups()), Some(Arc::new(fixture::declaration())));
    assert_eq!(entry.step(declared), None);
    let decision = entry.step(groups_serve()).expect("it is decided");

    started(&decision);
}

/// Guards against a rejection that claims the request may have run or names no time to retry.
#[test]
fn a_caller_for_whom_nobody_came_is_refused() {
    let mut entry = Entry::blank();
    entry.see(without_groups());
    let (number, _) = entry.arrive(returning());

    let decision = entry.step(event::Event::Waited(number)).expect("it is decided");

    let refusal = refused(&decision);
    assert_eq!(refusal.reason, action::Reason::NoUpstream);
    assert!(refusal.retry_after.is_some());
}

/// Guards against work for a client that has disconnected.
#[test]
fn a_caller_that_left_is_not_started() {
    let mut entry = Entry::blank();
    let (number, _) = entry.arrive(returning());

    entry.step(event::Event::Gone(number));

    assert_eq!(entry.step(groups_serve()), None);
    assert_eq!(entry.core.open(), 0);
}

/// Guards against a queue without bound.
#[test]
fn the_number_of_held_callers_is_bounded() {
    let mut entry = Entry::blank();

    let decisions: Vec<_> = (0..1_000).map(|_| entry.arrive(returning()).1).collect();

    let held = decisions.iter().filter(|it| matches!(it, action::Decision::Hold(_))).count();
    assert!(held < 200, "{held}");
    refused(decisions.last().expect("there are some"));
}

/// An arrival on a route that the fixture's declaration lacks.
fn unrouted() -> Arrival {
    arrival("added")
}

/// Guards against a 404 for a route whose declaration has been accepted and is on its way here.
#[test]
fn a_route_of_a_newer_declaration_is_waited_for() {
    let mut entry = Entry::blank();
    entry.see(view::Update {
        declared_version: fixture::declaration().version + 1,
        ..fixture::view()
    });

    let (number, decision) = entry.arrive(unrouted());

    held_for(&decision);
    let decision = entry.step(event::Event::Waited(number)).expect("it is decided");
    assert_eq!(refused(&decision).reason, action::Reason::NotReady);
    assert!(refused(&decision).retry_after.is_some());
}

/// Guards against a 404 of an entry that is cut off from every leader and holds an old declaration.
#[test]
fn an_entry_without_a_recent_view_denies_no_route() {
    let mut entry = Entry::blank();
    entry.see(fixture::view());
    let (_, decision) = entry.arrive(unrouted());
    assert_eq!(refused(&decision).reason, action::Reason::NoRoute);

    entry.pass(2_000);
    let (_, decision) = entry.arrive(unrouted());

    held_for(&decision);
}

#[test]
fn a_held_arrival_is_denied_once_the_newest_declaration_lacks_its_route() {
    let mut entry = Entry::blank();
    let version = fixture::declaration().version;
    entry.see(view::Update { declared_version: version, ..fixture::view() });
    entry.pass(2_000);
    entry.arrive(unrouted());

    let update = view::Update { declared_version: version, ..fixture::view() };
    let seen = event::Event::Viewed(Box::new(update), None);
    let decision = entry.step(seen).expect("it is decided");

    assert_eq!(refused(&decision).reason, action::Reason::NoRoute);
}
