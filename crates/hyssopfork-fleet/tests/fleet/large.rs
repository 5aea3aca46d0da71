//! Declarations of megabytes on links of megabits.
//!
//! Clients got 404 for a route seconds after the version that holds it had been acknowledged, and an
//! acknowledgement took 13 s. A document went to each voter and each entry in one message: heartbeats
//! queued behind the copies past the quorum lease, watches timed out before their answer was there, and
//! each retry and each new leader sent the document again. Links alone are limited here, which is enough.

use crate::{fixture, world};
use hyssopfork_fleet::{action, event};
use std::time::Duration;

/// Routes of a document of about 0.9 MB.
const ROUTES: u64 = 4_200;

/// Longest time from an operator's call to its acknowledgement.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(5);

/// Milliseconds from an acknowledgement until the change must be in force at every process.
const IN_FORCE_MILLIS: u64 = 2_500;

/// Six voters with links of 100 Mbit/s and ten entries with links of 40 Mbit/s.
fn fleet() -> world::World {
    let mut world = world::World::declared(6, 10);
    for process in world.processes.values_mut() {
        let megabits = if process.has_folder { 100 } else { 40 };
        process.bandwidth = Some(world::Bandwidth(megabits * 1_000_000 / 8));
    }
    world
}

/// Declares as an operator does, who asks again after a second; whether it was acknowledged.
fn declare(world: &mut world::World, version: u64, routes: u64) -> bool {
    let document = fixture::large_document(version, routes);
    let declaration = Box::new(fixture::declaration(version));
    let request = event::Request::Declare(declaration, document);
    let begun = world.now;
    let mut calls = Vec::new();
    while world.now.since(begun) < ACKNOWLEDGE_LIMIT {
        if let Some(leader) = world.leader() {
            calls.push(world.call(leader, request.clone()));
        }
        for _ in 0..100 {
            world.run(10);
            let done = |call: &u64| matches!(world.replies.get(call), Some(action::Reply::Done));
            if calls.iter().any(done) {
                return true;
            }
        }
    }
    false
}

fn versions(world: &world::World) -> Vec<Option<u64>> {
    let version = |process: &world::Process| process.view.as_ref().map(|view| view.document);
    world.processes.values().map(version).collect()
}

#[test]
fn a_large_declaration_is_in_force_everywhere_soon_after_its_acknowledgement() {
    let mut world = fleet();

    for version in [18, 22, 25] {
        assert!(declare(&mut world, version, ROUTES), "version {version} is acknowledged in time");
        world.run(IN_FORCE_MILLIS);

        assert_eq!(versions(&world), vec![Some(version); 16]);
    }
}

/// Guards against a limit on the length of one log entry that is one on declarations as well.
#[test]
fn a_declaration_longer_than_a_log_entry_may_be_is_accepted() {
    let mut world = fleet();

    assert!(declare(&mut world, 18, 6_000));
    world.run(IN_FORCE_MILLIS);

    assert_eq!(versions(&world), vec![Some(18); 16]);
}

#[test]
fn a_large_declaration_leaves_the_leader_its_quorum() {
    let mut world = fleet();
    let leader = world.leader();

    for version in [18, 22] {
        declare(&mut world, version, ROUTES);
        world.run(IN_FORCE_MILLIS);

        assert_eq!(world.leader(), leader, "the leader of before leads after version {version}");
    }
}
