//! Seeded random histories of agents and entries in a deterministic simulation.
//!
//! Messages are lost, duplicated, delayed and reordered; processes pause, crash, stop and restart
//! at the same addresses; back ends fail and return cold; links are partitioned; zones are taken
//! out and brought back; control moves groups for no reason. The guarantees are checked in true
//! time, which no process knows: clocks differ in origin and, up to the stated bound, in rate.

#[path = "history/clients.rs"]
mod clients;
#[path = "history/control.rs"]
mod control;
#[path = "history/events.rs"]
mod events;
#[path = "history/shell.rs"]
mod shell;
#[path = "history/simulation.rs"]
mod simulation;
#[path = "history/upstream.rs"]
mod upstream;

/// Histories of an ordinary run; `HYSSOPFORK_HISTORIES` sets another number.
const DEFAULT_HISTORIES: u64 = 120;

/// True time during which faults are injected.
const FAULT_PHASE_MICROS: u64 = 12_000 * simulation::MILLIS;

/// True time without faults after it, in which every request must end.
const RECOVERY_PHASE_MICROS: u64 = 20_000 * simulation::MILLIS;

fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs one history; returns the number of requests answered in full and of all requests.
fn run_history(seed: u64) -> (usize, usize) {
    let mut simulation = simulation::Simulation::new(seed);
    simulation.run(FAULT_PHASE_MICROS);
    simulation.end_faults();
    simulation.run(RECOVERY_PHASE_MICROS / 2);
    let last: Vec<u64> = (0..simulation::ENTRIES)
        .flat_map(|entry| ["/write", "/once", "/lodge"].map(|route| (entry, route)))
        .map(|(entry, route)| simulation.send_request(entry, route, None))
        .collect();
    simulation.run(RECOVERY_PHASE_MICROS / 2);
    simulation.clients.check_guarantees();
    for (request, client) in &simulation.clients.all {
        assert!(client.outcome.is_some(), "request {request} got no final response: {client:?}");
    }
    for request in last {
        let outcome = &simulation.clients.all[&request].outcome;
        assert_eq!(
            *outcome,
            Some(clients::Outcome::Completed),
            "requests are served again after the faults"
        );
    }
    (simulation.clients.completed(), simulation.clients.all.len())
}

// A client gets a second certificate, a partial response taken for a complete one, "not run" for
// work that ran, or work of a group with a missing member. Any of the faults named above may cause
// it, alone or in combination; each seed is one sequence of them.
#[test]
fn random_histories_keep_the_promises() {
    let first = environment_number("HYSSOPFORK_SEED", 1);
    let count = environment_number("HYSSOPFORK_HISTORIES", DEFAULT_HISTORIES);
    let (mut answered, mut asked) = (0, 0);
    let mut failed = Vec::new();

    for seed in first..first + count {
        match std::panic::catch_unwind(|| run_history(seed)) {
            Ok((history_answered, history_asked)) => {
                answered += history_answered;
                asked += history_asked;
            }
            Err(_) => failed.push(seed),
        }
    }

    println!("{count} histories, {asked} requests, {answered} answered in full");
    assert_eq!(failed, Vec::<u64>::new(), "these seeds violate a guarantee");
    assert!(answered * 2 > asked, "most requests are answered despite the faults");
}

// Agents and an entry are asked to stop, two at a time, under load with long responses, and are
// restarted. No client may lose a part of its response by it or be told that its work may have run.
#[test]
fn graceful_stops_abort_no_responses() {
    for seed in 1..=20 {
        let mut simulation = simulation::Simulation::new(seed);
        simulation.end_faults();
        simulation.run(3_000 * simulation::MILLIS);
        let first = simulation.first_members();
        let stops = [
            [simulation::Node::Agent(first[0]), simulation::Node::Agent(simulation::ENGINES)],
            [simulation::Node::Agent(first[1]), simulation::Node::Entry(0)],
            [
                simulation::Node::Agent(simulation.other_member()),
                simulation::Node::Agent(simulation::ENGINES + 1),
            ],
        ];

        for pair in stops {
            simulation.run_with_requests(1_000 * simulation::MILLIS);
            pair.into_iter().for_each(|node| simulation.stop(node));
            simulation.run_with_requests(4_000 * simulation::MILLIS);
        }
        simulation.run(RECOVERY_PHASE_MICROS / 2);

        simulation.clients.check_guarantees();
        for (request, client) in &simulation.clients.all {
            let outcome = client.outcome.as_ref().expect("every request has ended");
            assert!(
                !clients::is_interrupted(outcome),
                "seed {seed}, request {request}: {client:?}"
            );
        }
        assert!(simulation.clients.completed() * 10 > simulation.clients.all.len() * 8);
    }
}
