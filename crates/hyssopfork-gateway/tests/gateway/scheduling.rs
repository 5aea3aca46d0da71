//! Requests that compete for too little capacity.

use crate::fixture::{self, Entry, STALL_MS, arrival, at, rejection, started};
use crate::scarcity::{self, Outcome, Simulation, Work};
use hyssopfork_fleet::{declaration, view};
use hyssopfork_gateway::action::{Decision, Reason};
use hyssopfork_gateway::rank_reserve::{self, Reserve};
use hyssopfork_gateway::{arrival::Arrival, event};
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

fn ranked() -> Arc<declaration::Declaration> {
    Arc::new(scarcity::ranked_declaration())
}

fn ranked_entry() -> Entry {
    let mut entry = Entry::new();
    entry.step(event::Event::ViewUpdated(Box::new(fixture::view()), Some(ranked())));
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

/// Guards against a late request that was accepted and then waits behind all others at a busy upstream
/// until its client gives up.
#[test]
fn a_late_request_has_the_priority_of_its_rank() {
    let mut entry = ranked_entry();
    let late = Arrival { timeout: Some(Duration::from_secs(2)), ..of("urgent") };

    assert_eq!(priority_of(&mut entry, late), Some(3));
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

/// An entry whose groups are full and have begun to respond after 0.1 s; with the requests there.
fn full_entry() -> (Entry, Vec<u64>) {
    let mut entry = ranked_entry();
    let running: Vec<u64> = (0..2 * fixture::SLOTS).map(|_| entry.send("stream").0).collect();
    entry.advance(100);
    running[..4].iter().for_each(|number| entry.begin_stream(*number));
    (entry, running)
}

/// Lets a request of this team arrive that must be queued.
fn queue(entry: &mut Entry, team: &str) -> u64 {
    let (number, decision) = entry.arrive(of(team));
    assert!(matches!(decision, Decision::Queue(_)), "{decision:?}");
    number
}

/// Guards against rejecting a request for which a place becomes free in time, and against serving
/// it before a more urgent one.
#[test]
fn queued_requests_are_sent_in_order_of_rank_when_others_complete() {
    let (mut entry, running) = full_entry();
    let later = queue(&mut entry, "key");
    let urgent = queue(&mut entry, "urgent");

    let first = entry.started_by(event::Event::StreamCompleted(running[0]));
    let second = entry.started_by(event::Event::StreamCompleted(running[1]));

    assert_eq!((first, second), (vec![urgent], vec![later]));
    assert_eq!(entry.core.queued_requests(), 0);
}

/// Guards against requests that wait although they can't be on time, and take places from others:
/// a retry that is late already, and a request at one of 16 entries that queue as many each.
#[test]
fn a_request_that_gets_no_place_in_time_is_rejected_at_once() {
    let (mut entry, _) = full_entry();
    let late = Arrival { timeout: Some(Duration::from_secs(2)), ..of("urgent") };
    rejection(&entry.arrive(late).1);

    let (mut entry, _) = full_entry();
    let update = view::Update { entries: fixture::entries(16), ..fixture::view() };
    entry.step(event::Event::ViewUpdated(Box::new(update), Some(ranked())));
    let rejected = rejection(&entry.arrive(of("urgent")).1);

    assert_eq!(rejected.reason, Reason::Overloaded);
    assert!(rejected.retry_after.is_some());
}

/// Guards against a client that waits until its deadline, and a claim that its request may have run.
#[test]
fn a_queued_request_without_a_place_in_time_is_rejected() {
    let (mut entry, _) = full_entry();
    let (number, decision) = entry.arrive(of("key"));
    let Decision::Queue(timeout) = decision else { panic!("{decision:?}") };
    entry.now = entry.now + timeout;

    let decision = entry.step(event::Event::QueueTimeout(number)).expect("a decision follows");

    assert!(timeout < Duration::from_millis(300), "{timeout:?}");
    assert_eq!(rejection(&decision).reason, Reason::Overloaded);
    assert_eq!(entry.step(event::Event::QueueTimeout(number)), None, "it has ended");
}

/// Guards against a declaration without ranks or performance that is served differently.
#[test]
fn without_ranks_nothing_is_queued() {
    let (mut entry, _) = full_entry();
    entry.update_view(fixture::view());

    rejection(&entry.arrive(arrival("stream")).1);
}

/// Failure: a client disconnects while its request is queued. Guards against work for it.
#[test]
fn the_place_of_a_disconnected_client_goes_to_the_next_request() {
    let (mut entry, running) = full_entry();
    let gone = queue(&mut entry, "urgent");
    let next = queue(&mut entry, "key");
    entry.step(event::Event::ClientDisconnected(gone));

    assert_eq!(entry.started_by(event::Event::StreamCompleted(running[0])), [next]);
}

/// Failure: the groups are lost while requests are queued for them. Guards against a rejection as
/// overloaded, where requests that arrive now wait for a group, and against a request that is lost.
#[test]
fn a_queued_request_whose_groups_are_lost_waits_for_the_next_group() {
    let (mut entry, _) = full_entry();
    let number = queue(&mut entry, "key");
    let view_of = |groups| {
        let upstreams = vec![fixture::upstream("e3", "engines")];
        let update = view::Update { groups, upstreams, ..fixture::view() };
        event::Event::ViewUpdated(Box::new(update), Some(ranked()))
    };
    assert_eq!(entry.step(view_of(Vec::new())), None);

    let decision = entry.step(event::Event::QueueTimeout(number));
    assert!(matches!(decision, Some(Decision::Queue(_))), "{decision:?}");

    assert_eq!(entry.started_by(view_of(vec![fixture::group("g9", "e3", 9)])), [number]);
}

/// Failure: the process stops while requests are queued. Guards against clients without a response.
#[test]
fn queued_requests_of_a_stopping_process_are_served_or_rejected() {
    let (mut entry, running) = full_entry();
    let (urgent, other) = (queue(&mut entry, "urgent"), queue(&mut entry, "key"));
    entry.step(event::Event::Stop);

    let served = entry.started_by(event::Event::StreamCompleted(running[0]));
    let decision = entry.step(event::Event::QueueTimeout(other)).expect("a decision follows");

    assert_eq!(served, [urgent]);
    assert!(rejection(&decision).reason.is_not_run());
}

/// Sums up the outcomes of a team in simulations with ten seeds and one entry, in which requests
/// arrive at random: for each team its requests per second, and how long each runs on average.
fn simulate(loads: &[(&'static str, f64, u64)]) -> BTreeMap<&'static str, Outcome> {
    let mut outcomes: BTreeMap<&'static str, Outcome> = BTreeMap::new();
    for seed in 0..10 {
        let mut simulation = Simulation::new(1, seed, scarcity::ranked_declaration());
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        simulation.run_until(20_000, |_| {
            let arrives = |(team, rate, run_ms): &(&'static str, f64, u64)| {
                let run_ms = random.random_range(run_ms / 5..run_ms * 9 / 5).max(101);
                random.random_bool(rate / 1_000.0).then_some(Work { team, run_ms })
            };
            loads.iter().filter_map(arrives).collect()
        });
        for (team, outcome) in &simulation.outcomes {
            outcomes.entry(team).or_default().add(outcome);
        }
    }
    outcomes
}

/// Random arrivals at five sixths of the capacity, which exceed it for moments.
///
/// Guards against rejecting each request that finds all slots taken: without the queue, 485 of
/// 8,860 were rejected.
#[test]
fn short_peaks_below_the_capacity_cause_few_rejections() {
    let outcome = &simulate(&[("other", 45.0, 300)])["other"];
    assert!(outcome.lost * 50 < outcome.served(), "{outcome:?}");
    assert!(outcome.late * 100 < outcome.served(), "{outcome:?}");
}

/// Random arrivals at one and a half times the capacity for 20 s.
///
/// Guards against a queue in which all requests wait until they are late, and against clients that
/// wait for their rejection.
#[test]
fn under_overload_requests_are_served_on_time_or_rejected_at_once() {
    let outcome = &simulate(&[("other", 80.0, 300)])["other"];
    assert!(outcome.late * 30 < outcome.on_time, "{outcome:?}");
    assert!(outcome.max_rejection_ms < 200, "{outcome:?}");
}

/// One team sends ten times the requests of another, together a third more than the capacity.
///
/// Guards against rejecting both teams alike: without the queue, 381 of the other team's 1,303
/// requests were rejected.
#[test]
fn a_team_that_sends_ten_times_as_much_does_not_displace_another() {
    let outcomes = simulate(&[("other", 65.0, 300), ("key", 6.5, 300)]);
    assert!(outcomes["key"].ratio() > 0.93, "{outcomes:?}");
}

/// One team's requests run four times as long as another's, which sends as many.
///
/// Guards against long requests that take most of the capacity: without the queue, as many short
/// requests as long ones were rejected.
#[test]
fn short_requests_are_served_beside_long_ones() {
    let outcomes = simulate(&[("other", 30.0, 800), ("key", 30.0, 200)]);
    assert!(outcomes["key"].ratio() > 0.75, "{outcomes:?}");
}

/// Every eight seconds, the groups receive almost twice their capacity for two seconds, and half of
/// it otherwise. Rejected clients return once, and wait 12 s in all.
///
/// Guards against a `Retry-After` that ends during the peak, where clients are rejected for good
/// or take places from new requests: 337 were rejected for good and 1,762 served on time when they
/// returned after 1.5 s at most.
#[test]
fn rejected_clients_return_when_a_peak_is_over() {
    let mut outcome = Outcome::default();
    for seed in 0..6 {
        let mut declaration = scarcity::ranked_declaration();
        for route in &mut declaration.routes {
            route.timeout = Duration::from_secs(12);
        }
        let mut simulation = Simulation::new(1, seed, declaration);
        simulation.clients_return = true;
        simulation.client_timeout_ms = 12_000;
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        simulation.run_until(36_000, |now| {
            let rate = if now % 8_000 < 2_000 { 30.0 } else { 8.0 };
            let arrives = now < 32_000 && random.random_bool(rate / 1_000.0);
            let run_ms = random.random_range(200..1_800);
            arrives.then_some(Work { team: "other", run_ms }).into_iter().collect()
        });
        outcome.add(&simulation.outcome("other"));
    }

    assert!(outcome.lost < 250, "{outcome:?}");
    assert!(outcome.on_time > 1_780, "{outcome:?}");
}

/// Guards against a client that has too little time left when it returns.
#[test]
fn a_rejected_client_returns_within_a_third_of_its_time() {
    let (mut entry, _) = full_entry();
    let rejected = (0..300).map(|_| {
        let late = Arrival { timeout: Some(Duration::from_millis(2_400)), ..of("key") };
        rejection(&entry.arrive(late).1).retry_after.expect("it may return")
    });
    let times: Vec<Duration> = rejected.collect();

    assert!(times.iter().all(|time| *time <= Duration::from_millis(800)), "{times:?}");
}

/// Requests of the most urgent rank alone exceed the capacity by a third for 20 s.
///
/// Guards against a less urgent rank that gets nothing: without the places for the oldest request,
/// 95 of its 3,987 requests were served.
#[test]
fn a_less_urgent_rank_is_not_starved() {
    let outcomes = simulate(&[("urgent", 70.0, 300), ("patient", 20.0, 300)]);

    let (urgent, patient) = (&outcomes["urgent"], &outcomes["patient"]);
    assert!(patient.served() > 150, "{outcomes:?}");
    assert!(urgent.ratio() > 0.7, "{outcomes:?}");
}
