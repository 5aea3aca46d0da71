//! Large declarations (about 0.9 MB) on slow links.
//!
//! Guards against sending a document to each voter and entry in one message. Heartbeats were queued
//! behind the copies for longer than the quorum lease, watches timed out before their answer
//! arrived, and each retry and each new leader sent the document again: clients got 404 for a route
//! seconds after its version had been acknowledged, and an acknowledgement took 13 s. Limiting the
//! links is enough to reproduce this.

use crate::{fixture, world};
use hyssopfork_fleet::{action, event};
use std::time::Duration;

/// Number of routes in a document of about 0.9 MB.
const ROUTES: u64 = 4_200;

/// Maximum time from an operator's call to its acknowledgement.
const MAX_ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(5);

/// Maximum milliseconds from an acknowledgement until the declaration is in force at every process.
const MAX_IN_FORCE_MILLIS: u64 = 2_500;

/// Six voters with links of 100 Mbit/s and ten entries with links of 40 Mbit/s.
fn limited_fleet() -> world::World {
    let mut world = world::World::declared(6, 10);
    for process in world.processes.values_mut() {
        let megabits = if process.has_folder { 100 } else { 40 };
        process.bandwidth = Some(world::Bandwidth(megabits * 1_000_000 / 8));
    }
    world
}

/// Declares like an operator that retries after a second; returns whether it was acknowledged in
/// time.
fn declare(world: &mut world::World, version: u64, routes: u64) -> bool {
    let document = fixture::large_document(version, routes);
    let declaration = Box::new(fixture::declaration(version));
    let request = event::Request::Declare(declaration, document);
    let started_at = world.now;
    let mut calls = Vec::new();
    while world.now.since(started_at) < MAX_ACKNOWLEDGEMENT_TIME {
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
    let mut world = limited_fleet();

    for version in [18, 22, 25] {
        assert!(declare(&mut world, version, ROUTES), "version {version} is acknowledged in time");
        world.run(MAX_IN_FORCE_MILLIS);

        assert_eq!(versions(&world), vec![Some(version); 16]);
    }
}

/// Guards against the size limit of a log entry limiting declarations.
#[test]
fn a_declaration_longer_than_the_log_entry_limit_is_accepted() {
    let mut world = limited_fleet();

    assert!(declare(&mut world, 18, 6_000));
    world.run(MAX_IN_FORCE_MILLIS);

    assert_eq!(versions(&world), vec![Some(18); 16]);
}

#[test]
fn a_large_declaration_does_not_cost_the_leader_its_quorum() {
    let mut world = limited_fleet();
    let leader = world.leader();

    for version in [18, 22] {
        declare(&mut world, version, ROUTES);
        world.run(MAX_IN_FORCE_MILLIS);

        assert_eq!(world.leader(), leader, "the leader did not change after version {version}");
    }
}
