//! Requests that compete for too little capacity.

use crate::fixture::{self, Entry, STALL_MS, arrival, started};
use hyssopfork_fleet::declaration;
use hyssopfork_gateway::{arrival::Arrival, event};
use hyssopfork_wire::name;
use std::sync::Arc;
use std::time::Duration;

/// The fixture's declaration with three more teams: `urgent` of rank 0, `other` of rank 1 as the
/// fixture's, and `patient` of rank 6. Each has its name as key.
fn ranked_declaration() -> declaration::Declaration {
    let team = |name: &str, priority| declaration::Team {
        name: name::Team::from(name),
        keys: vec![name.to_owned()],
        priority,
    };
    let mut declaration = fixture::declaration();
    declaration.teams.extend([
        team("urgent", Some(0)),
        team("other", None),
        team("patient", Some(6)),
    ]);
    declaration
}

fn ranked_entry() -> Entry {
    let mut entry = Entry::new();
    let declaration = Some(Arc::new(ranked_declaration()));
    entry.step(event::Event::ViewUpdated(Box::new(fixture::view()), declaration));
    entry
}

/// A request of this team.
fn of(team: &str) -> Arrival {
    Arrival { key: Some(team.to_owned()), ..arrival("stream") }
}

/// Priority at the upstream of a request that must be sent.
fn priority_of(entry: &mut Entry, arrival: Arrival) -> Option<u8> {
    started(&entry.arrive(arrival).1).priority
}

/// Guards against an upstream that admits requests in order of arrival while urgent ones wait.
#[test]
fn upstreams_learn_the_rank_of_requests() {
    let mut entry = ranked_entry();

    assert_eq!(priority_of(&mut entry, of("urgent")), Some(3));
    assert_eq!(priority_of(&mut entry, of("key")), Some(4));
    assert_eq!(priority_of(&mut entry, of("patient")), Some(6));
}

/// Guards against retries of rejected requests, which are late already, that make others late.
#[test]
fn a_late_request_comes_last_at_its_upstream() {
    let mut entry = ranked_entry();
    let late = Arrival { timeout: Some(Duration::from_secs(2)), ..of("urgent") };

    assert_eq!(priority_of(&mut entry, late), Some(8));
}

/// Guards against a pause of a stream that lost its upstream while new requests are served.
#[test]
fn a_continued_stream_precedes_new_requests() {
    let mut entry = Entry::with_view();
    let (number, _) = entry.send("stream");
    entry.begin_stream(number);
    entry.advance(STALL_MS);

    let decision = entry.step(event::Event::IdleTimeout(number)).expect("a decision follows");

    assert_eq!(started(&decision).priority, Some(1));
}

/// Guards against a client that gets ahead of all others by stating that it resumes a stream.
#[test]
fn a_stream_that_a_client_resumes_precedes_no_more_than_an_urgent_request() {
    let mut entry = ranked_entry();
    let resumed = Arrival { last_event: Some(3), ..of("patient") };

    assert_eq!(priority_of(&mut entry, resumed), Some(3));
}

#[test]
fn a_plain_request_without_ranks_has_the_default_priority() {
    let mut entry = Entry::with_view();

    let (_, decision) = entry.arrive(arrival("status"));

    assert_eq!(started(&decision).priority, None);
}
