//! Requests that compete for too little capacity.

use crate::fixture::{self, Entry, STALL_MS, arrival, at, started};
use crate::scarcity::{self, Outcome, Simulation, Work};
use hyssopfork_gateway::rank_reserve::{self, Reserve};
use hyssopfork_gateway::{arrival::Arrival, event};
use std::sync::Arc;
use std::time::Duration;

fn ranked_entry() -> Entry {
    let mut entry = Entry::new();
    let declaration = Some(Arc::new(scarcity::ranked_declaration()));
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

/// A team's requests in the millisecond `now`, one every `interval`; each runs for a second.
fn every(interval: u64, now: u64, team: &'static str) -> Option<Work> {
    now.is_multiple_of(interval).then_some(Work { team, run_ms: 1_000 })
}

/// 25 requests of the least urgent rank arrive per second, where the groups serve 16; for three
/// seconds, eight of the most urgent rank per second come beside them. Ten seeds distribute them
/// over the entries.
///
/// Guards against rejecting both kinds alike, so that half of the urgent requests are lost while
/// the other kind takes the places.
#[test]
fn a_burst_of_urgent_requests_takes_places_of_a_steady_less_urgent_load() {
    // Four entries learn of each other's load, and of the urgent requests that are rejected, only
    // from their own responses.
    for (entries, min_ratio) in [(1, 0.9), (4, 0.6)] {
        let (mut urgent, mut patient) = (Outcome::default(), Outcome::default());
        for seed in 0..10 {
            let mut simulation = Simulation::new(entries, seed, scarcity::ranked_declaration());
            simulation.run_until(10_000, |now| {
                let is_burst = (5_000..8_000).contains(&now);
                let urgent = every(125, now, "urgent").filter(|_| is_burst);
                every(40, now, "patient").into_iter().chain(urgent).collect()
            });
            urgent.add(&simulation.outcome("urgent"));
            patient.add(&simulation.outcome("patient"));
        }

        assert!(urgent.ratio() > min_ratio, "{entries} entries: {urgent:?}, {patient:?}");
        // The rest of the capacity is used.
        assert!(urgent.served() + patient.served() > 1_350, "{urgent:?}, {patient:?}");
    }
}

/// Guards against a reserve that outlasts the burst.
#[test]
fn a_reserve_ends_soon_after_the_urgent_requests_that_caused_it() {
    let mut reserve = Reserve::default();
    reserve.on_sent(at(0));
    reserve.on_missed(at(0), 1);

    assert_eq!(reserve.ratio(at(0), 1), 0.0, "of the rank itself");
    assert_eq!(reserve.ratio(at(0), 2), rank_reserve::MAX_RESERVE);
    assert!(reserve.ratio(at(6_000), 2) < 0.1);
}
