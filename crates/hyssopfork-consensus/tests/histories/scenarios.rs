//! Chosen failures of several nodes.

use crate::world;
use hyssopfork_consensus::{event, voters};
use hyssopfork_wire::{name, number};
use std::time::Duration;

fn propose(world: &mut world::World, slot: usize, ticket: u64) {
    world.step(slot, event::Event::Propose { ticket, command: vec![1; 100] });
    world.run(Duration::from_millis(300));
}

/// Proposes at the leader, and says whether it was committed.
fn goes_on(world: &mut world::World, ticket: u64) -> bool {
    let Some(leader) = world.leader() else {
        return false;
    };
    propose(world, leader, ticket);
    world.acknowledged.contains(&ticket)
}

fn follower(world: &world::World) -> usize {
    let leader = world.leader().expect("someone leads");
    (leader + 1) % 3
}

fn change_voters(world: &mut world::World, ticket: u64, change: voters::Change) {
    let leader = world.leader().expect("someone leads");
    world.step(leader, event::Event::ChangeVoters { ticket, change });
    world.run(Duration::from_secs(2));
}

/// Three processes start with empty folders, at somewhat different times and nobody at hand. They
/// form one log.
#[test]
fn blank_folders_form_a_log_unattended() {
    for seed in 0..20 {
        let mut world = world::World::new(seed, 3, 0);
        for slot in [2, 0, 1] {
            world.start(slot);
            world.run(Duration::from_millis(137 * seed));
        }

        world.run(Duration::from_secs(5));

        assert!(goes_on(&mut world, 1), "seed {seed}");
    }
}

/// One of three instances isn't up yet at the first start. The others can't know whether its disk
/// remembers a log, so they wait.
#[test]
fn no_log_is_formed_before_every_instance_has_answered() {
    let mut world = world::World::new(1, 3, 0);
    world.start(0);
    world.start(1);

    world.run(Duration::from_secs(20));
    let early = world.leader();
    world.start(2);
    world.run(Duration::from_secs(5));

    assert_eq!(early, None);
    assert!(goes_on(&mut world, 1));
}

/// The disk of one of three is lost, also that of the instance that formed the log, while its
/// settings still list the first voters. It must form no second log, and must not count as the
/// voter it was; it is caught up and takes its seat again, so that a second loss can be borne.
#[test]
fn a_lost_disk_is_replaced_without_an_operator() {
    for lost in 0..3 {
        let mut world = world::World::led(lost as u64, 3, 0);
        let old = world.identity(lost);

        world.lose_disk(lost);
        world.start(lost);
        world.run(Duration::from_secs(5));
        let seats = world.voters((lost + 1) % 3);
        let second = (lost + 1) % 3;
        world.crash(second);
        world.run(Duration::from_secs(5));

        assert!(!seats.contains(&old) && seats.contains(&world.identity(lost)), "{seats:?}");
        assert!(goes_on(&mut world, 1), "with one more instance down");
    }
}

/// Two of three disks are lost at once. The two blank folders must not form a log beside the one
/// that remembers, nor elect with it: what the lost disks had committed is unknown. Nothing is
/// accepted until an operator decides.
#[test]
fn two_lost_disks_of_three_accept_nothing() {
    let mut world = world::World::led(1, 3, 0);
    let committed = world.history.len();

    for lost in [0, 1] {
        world.lose_disk(lost);
    }
    for lost in [0, 1] {
        world.start(lost);
    }
    world.run(Duration::from_secs(20));

    assert_eq!(world.leader(), None);
    assert_eq!(world.history.len(), committed);
}

/// An instance is cut off for a long time and comes back. Without the question before the vote it
/// would come with a newer term and depose the leader: an interruption for each flap of a link.
#[test]
fn a_returning_voter_does_not_depose_the_leader() {
    let mut world = world::World::led(1, 3, 0);
    let (leader, cut) = (world.leader(), follower(&world));
    let term = world.node(cut).term();

    world.isolate(cut);
    world.run(Duration::from_secs(20));
    world.faults = world::Faults::default();
    world.run(Duration::from_secs(3));

    assert_eq!((world.leader(), world.node(cut).term()), (leader, term));
}

/// One voter can't reach the leader, but the third voter, which hears it. That one must give no vote
/// while the leader relies on it, or two leaders hold leases (the world checks that) and an entry acts
/// on what the other has replaced.
#[test]
fn a_voter_that_misses_only_the_leader_does_not_depose_it() {
    let mut world = world::World::led(1, 3, 0);
    let leader = world.leader().expect("someone leads");
    let cut = follower(&world);

    world.faults.blocked = [(leader, cut), (cut, leader)].into();
    world.run(Duration::from_secs(20));

    assert_eq!(world.leader(), Some(leader));
    assert!(goes_on(&mut world, 1));
}

/// The same, while the third voter restarts again and again. It has forgotten each time that the
/// leader relies on it, so it must give no vote for as long as it might be bound.
#[test]
fn a_voter_that_restarts_often_does_not_depose_the_leader() {
    let mut world = world::World::led(1, 3, 0);
    let leader = world.leader().expect("someone leads");
    let (cut, restarts) = (follower(&world), (leader + 2) % 3);
    world.faults.blocked = [(leader, cut), (cut, leader)].into();

    for _ in 0..400 {
        world.crash(restarts);
        world.start(restarts);
        world.run(Duration::from_millis(37));
    }

    assert_eq!(world.leader(), Some(leader));
    assert!(goes_on(&mut world, 1));
}

/// A leader is cut off: it stops leading by itself and the others go on.
#[test]
fn a_leader_that_is_cut_off_steps_down() {
    let mut world = world::World::led(1, 3, 0);
    let old = world.leader().expect("someone leads");

    world.isolate(old);
    world.run(Duration::from_secs(4));

    assert!(!world.node(old).is_leader());
    assert!(goes_on(&mut world, 1));
}

/// A leader is stopped gracefully. Callers shouldn't wait for an election timeout: another leads
/// within a few round trips.
#[test]
fn a_leader_that_resigns_hands_over_at_once() {
    let mut world = world::World::led(1, 3, 0);
    let old = world.leader().expect("someone leads");

    world.step(old, event::Event::Resign);
    world.run(Duration::from_millis(50));

    assert!(world.leader().is_some_and(|leader| leader != old));
    assert!(goes_on(&mut world, 1));
}

/// An operator adds an instance that isn't listed, and then removes one that is stopped. The new one
/// is caught up from a snapshot of several parts before it counts.
#[test]
fn voters_are_added_and_removed_one_at_a_time() {
    let mut world = world::World::led(1, 3, 1);
    world.ballast = 200_000;
    (10..60).for_each(|ticket| propose(&mut world, 0, ticket));
    (0..3).for_each(|slot| world.snapshot(slot));

    change_voters(&mut world, 1, voters::Change::Add(name::Instance::from("c3")));
    let added = world.is_seated(3);
    let gone = follower(&world);
    let instance = world.slots[gone].name.clone();
    world.crash(gone);
    change_voters(&mut world, 2, voters::Change::Remove(instance));

    assert!(added && !world.is_seated(gone));
    assert!([1, 2].iter().all(|ticket| world.acknowledged.contains(ticket)));
    assert_eq!(world.slots[3].applied, world.node(3).committed());
    assert!(world.slots[3].applied > number::Index(50));
}

/// A list of one instance grows to three, by settings alone: a deployment grows, or comes back from
/// the recovery of a lost quorum. The instances join one after the other, nobody at hand.
#[test]
fn listed_instances_join_by_themselves() {
    let mut world = world::World::led(1, 1, 2);
    let names = world.slots.iter().map(|slot| slot.name.clone()).collect();
    world.settings.voters = names;

    for slot in 0..3 {
        world.crash(slot);
        world.start(slot);
    }
    world.run(Duration::from_secs(5));
    world.crash(0);
    world.run(Duration::from_secs(4));

    assert!((0..3).all(|slot| world.is_seated(slot)), "{:?}", world.voters(1));
    assert!(goes_on(&mut world, 1), "without the first");
}

/// Two of five disks were lost and an operator removes a voter that lives. The rest would be two
/// of four: no quorum, for good. The leader refuses.
#[test]
fn a_removal_that_leaves_no_quorum_is_refused() {
    let mut world = world::World::led(1, 5, 0);
    let leader = world.leader().expect("someone leads");
    let others: Vec<usize> = (0..5).filter(|slot| *slot != leader).collect();
    world.crash(others[0]);
    world.crash(others[1]);
    world.run(Duration::from_secs(1));

    let instance = world.slots[others[2]].name.clone();
    change_voters(&mut world, 1, voters::Change::Remove(instance));

    assert_eq!(world.rejected, [1]);
    assert!(goes_on(&mut world, 2));
}

/// A follower comes back after so long that the others dropped the entries it lacks, over a network
/// that loses, doubles and reorders: it is caught up by a snapshot in parts.
#[test]
fn a_snapshot_arrives_over_a_bad_network() {
    let mut world = world::World::led(1, 3, 0);
    let late = follower(&world);
    world.ballast = 300_000;
    world.crash(late);
    let leader = world.leader().expect("someone leads");
    (10..60).for_each(|ticket| propose(&mut world, leader, ticket));
    (0..3).for_each(|slot| world.snapshot(slot));

    world.faults = world::Faults { lost: 150, doubled: 150, late: 30, ..Default::default() };
    world.start(late);
    world.run(Duration::from_secs(20));
    world.faults = world::Faults::default();
    world.run(Duration::from_secs(2));

    assert!(world.slots[late].applied > number::Index(50));
}
