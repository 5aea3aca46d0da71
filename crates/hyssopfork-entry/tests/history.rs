//! Seeded random histories of agents and entries, joined by a small delivery loop.
//!
//! Messages are lost, doubled, delayed and reordered; processes pause, crash, stop and start again
//! at the same addresses; back ends die and come back cold; links are cut; zones go out and come
//! back; control moves groups for no reason. The promises are judged in true time, which no
//! process knows: clocks differ in origin, and in rate by up to the stated bound.

#[path = "history/callers.rs"]
mod callers;
#[path = "history/carry.rs"]
mod carry;
#[path = "history/control.rs"]
mod control;
#[path = "history/shell.rs"]
mod shell;
#[path = "history/upstream.rs"]
mod upstream;
#[path = "history/world.rs"]
mod world;

/// Histories of an ordinary run; the environment may ask for more.
const HISTORIES: u64 = 120;

/// True time of each history, in microseconds.
const SPAN: u64 = 12_000 * world::MILLI;

/// Quiet after it, in which everything must come to an end.
const QUIET: u64 = 20_000 * world::MILLI;

fn environment(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays one history; returns the callers that were answered, and all.
fn play(seed: u64) -> (usize, usize) {
    let mut world = world::World::new(seed);
    world.run(SPAN);
    world.calm();
    world.run(QUIET / 2);
    let last: Vec<u64> = (0..world::ENTRIES)
        .flat_map(|entry| ["/write", "/once", "/lodge"].map(|route| (entry, route)))
        .map(|(entry, route)| world.ask(entry, route, None))
        .collect();
    world.run(QUIET / 2);
    world.callers.check();
    for (request, caller) in &world.callers.all {
        assert!(caller.end.is_some(), "request {request} never got an answer: {caller:?}");
    }
    for request in last {
        let end = &world.callers.all[&request].end;
        assert_eq!(*end, Some(callers::Final::Answered), "service is back after the faults");
    }
    (world.callers.answered(), world.callers.all.len())
}

// A caller sees a second certificate, a half answer, "not run" for work that ran, or work taken by
// a group with a member missing. Any of the faults named above may stand before it, alone or
// together; each seed is one order of them.
#[test]
fn random_histories_keep_the_promises() {
    let first = environment("HYSSOPFORK_SEED", 1);
    let count = environment("HYSSOPFORK_HISTORIES", HISTORIES);
    let (mut answered, mut asked) = (0, 0);
    let mut broken = Vec::new();

    for seed in first..first + count {
        match std::panic::catch_unwind(|| play(seed)) {
            Ok((more, all)) => {
                answered += more;
                asked += all;
            }
            Err(_) => broken.push(seed),
        }
    }

    println!("{count} histories, {asked} requests, {answered} answered in full");
    assert_eq!(broken, Vec::<u64>::new(), "these seeds break a promise");
    assert!(answered * 2 > asked, "most requests are answered even so");
}

// Agents and an entry are asked to stop, two at a time, under load with long answers, and come back.
// No caller loses a part of its answer by it, and none is told that its work may have run.
#[test]
fn graceful_stops_cut_nothing_off() {
    for seed in 1..=20 {
        let mut world = world::World::new(seed);
        world.calm();
        world.run(3_000 * world::MILLI);
        let first = world.first_members();
        let stops = [
            [world::Node::Agent(first[0]), world::Node::Agent(world::ENGINES)],
            [world::Node::Agent(first[1]), world::Node::Entry(0)],
            [world::Node::Agent(world.other_member()), world::Node::Agent(world::ENGINES + 1)],
        ];

        for pair in stops {
            world.serve(1_000 * world::MILLI);
            pair.into_iter().for_each(|node| world.stop(node));
            world.serve(4_000 * world::MILLI);
        }
        world.run(QUIET / 2);

        world.callers.check();
        for (request, caller) in &world.callers.all {
            let ended = caller.end.as_ref().expect("every request has its end");
            assert!(!callers::is_cut(ended), "seed {seed}, request {request}: {caller:?}");
        }
        assert!(world.callers.answered() * 10 > world.callers.all.len() * 8);
    }
}
