//! Scenarios with specific failures of several nodes.

use crate::cluster;
use hyssopfork_consensus::{event, voters};
use hyssopfork_wire::{name, number};
use std::time::Duration;

fn propose(cluster: &mut cluster::Cluster, slot: usize, ticket: u64) {
    cluster.step(slot, event::Event::Propose { ticket, command: vec![1; 100] });
    cluster.run(Duration::from_millis(300));
}

/// Proposes a command to the leader and returns whether it was committed.
fn commits_proposal(cluster: &mut cluster::Cluster, ticket: u64) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    propose(cluster, leader, ticket);
    cluster.acknowledged.contains(&ticket)
}

fn follower(cluster: &cluster::Cluster) -> usize {
    let leader = cluster.leader().expect("someone leads");
    (leader + 1) % 3
}

fn change_voters(cluster: &mut cluster::Cluster, ticket: u64, change: voters::Change) {
    let leader = cluster.leader().expect("someone leads");
    cluster.step(leader, event::Event::ChangeVoters { ticket, change });
    cluster.run(Duration::from_secs(2));
}

/// Three processes start with blank folders, at slightly different times, and form one log without
/// an operator.
#[test]
fn blank_folders_form_a_log_unattended() {
    for seed in 0..20 {
        let mut cluster = cluster::Cluster::new(seed, 3, 0);
        for slot in [2, 0, 1] {
            cluster.start(slot);
            cluster.run(Duration::from_millis(137 * seed));
        }

        cluster.run(Duration::from_secs(5));

        assert!(commits_proposal(&mut cluster, 1), "seed {seed}");
    }
}

/// One of three instances is not running yet at the first start. The others cannot know whether its
/// disk holds a log, so they wait.
#[test]
fn no_log_is_formed_before_every_instance_has_answered() {
    let mut cluster = cluster::Cluster::new(1, 3, 0);
    cluster.start(0);
    cluster.start(1);

    cluster.run(Duration::from_secs(20));
    let early = cluster.leader();
    cluster.start(2);
    cluster.run(Duration::from_secs(5));

    assert_eq!(early, None);
    assert!(commits_proposal(&mut cluster, 1));
}

/// One of three instances loses its disk, also the one that formed the log, while its settings
/// still list the initial voters. It must neither form a second log nor count as its former
/// identity. It is caught up and becomes voter again, so that a second failure is tolerated.
#[test]
fn a_lost_disk_is_replaced_without_an_operator() {
    for lost in 0..3 {
        let mut cluster = cluster::Cluster::with_leader(lost as u64, 3, 0);
        let old = cluster.identity(lost);

        cluster.lose_disk(lost);
        cluster.start(lost);
        cluster.run(Duration::from_secs(5));
        let seats = cluster.voters((lost + 1) % 3);
        let second = (lost + 1) % 3;
        cluster.crash(second);
        cluster.run(Duration::from_secs(5));

        assert!(!seats.contains(&old) && seats.contains(&cluster.identity(lost)), "{seats:?}");
        assert!(commits_proposal(&mut cluster, 1), "with one more instance down");
    }
}

/// Two of three disks are lost at once. The two blank folders must neither form a log beside the
/// remaining one nor elect a leader with it, since what the lost disks had committed is unknown.
/// Nothing is committed until an operator decides.
#[test]
fn two_lost_disks_of_three_accept_nothing() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let committed = cluster.history.len();

    for lost in [0, 1] {
        cluster.lose_disk(lost);
    }
    for lost in [0, 1] {
        cluster.start(lost);
    }
    cluster.run(Duration::from_secs(20));

    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.history.len(), committed);
}

/// An instance returns after a long partition. Without the pre-vote it would return with a higher
/// term and depose the leader; each flap of a link would interrupt service.
#[test]
fn a_returning_voter_does_not_depose_the_leader() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let (leader, isolated) = (cluster.leader(), follower(&cluster));
    let term = cluster.node(isolated).term();

    cluster.isolate(isolated);
    cluster.run(Duration::from_secs(20));
    cluster.faults = cluster::Faults::default();
    cluster.run(Duration::from_secs(3));

    assert_eq!((cluster.leader(), cluster.node(isolated).term()), (leader, term));
}

/// One voter cannot reach the leader, but can reach the third voter, which hears the leader. The
/// third must grant no vote while the leader relies on it: otherwise two leaders hold quorum leases
/// (checked in each step), and an entry process acts on a configuration that the other leader has
/// replaced.
#[test]
fn a_voter_that_misses_only_the_leader_does_not_depose_it() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let leader = cluster.leader().expect("someone leads");
    let isolated = follower(&cluster);

    cluster.faults.blocked_links = [(leader, isolated), (isolated, leader)].into();
    cluster.run(Duration::from_secs(20));

    assert_eq!(cluster.leader(), Some(leader));
    assert!(commits_proposal(&mut cluster, 1));
}

/// As above, while the third voter restarts repeatedly. It does not know after a restart that the
/// leader relies on it, so it must withhold its vote for as long as that may be so.
#[test]
fn a_voter_that_restarts_often_does_not_depose_the_leader() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let leader = cluster.leader().expect("someone leads");
    let (isolated, restarted) = (follower(&cluster), (leader + 2) % 3);
    cluster.faults.blocked_links = [(leader, isolated), (isolated, leader)].into();

    for _ in 0..400 {
        cluster.crash(restarted);
        cluster.start(restarted);
        cluster.run(Duration::from_millis(37));
    }

    assert_eq!(cluster.leader(), Some(leader));
    assert!(commits_proposal(&mut cluster, 1));
}

/// A partitioned leader steps down by itself, and the others continue.
#[test]
fn a_leader_that_is_cut_off_steps_down() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let old = cluster.leader().expect("someone leads");

    cluster.isolate(old);
    cluster.run(Duration::from_secs(4));

    assert!(!cluster.node(old).is_leader());
    assert!(commits_proposal(&mut cluster, 1));
}

/// A leader is stopped gracefully. Another takes over within a few round trips, so that clients do
/// not wait for an election timeout.
#[test]
fn a_leader_that_resigns_hands_over_at_once() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let old = cluster.leader().expect("someone leads");

    cluster.step(old, event::Event::Resign);
    cluster.run(Duration::from_millis(50));

    assert!(cluster.leader().is_some_and(|leader| leader != old));
    assert!(commits_proposal(&mut cluster, 1));
}

/// An operator adds an instance that is not listed, then removes one that is stopped. The new one
/// is caught up from a snapshot of several parts before it becomes voter.
#[test]
fn voters_are_added_and_removed_one_at_a_time() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 1);
    cluster.snapshot_padding_bytes = 200_000;
    (10..60).for_each(|ticket| propose(&mut cluster, 0, ticket));
    (0..3).for_each(|slot| cluster.snapshot(slot));

    change_voters(&mut cluster, 1, voters::Change::Add(name::Instance::from("c3")));
    let added = cluster.is_voter(3);
    let stopped = follower(&cluster);
    let instance = cluster.slots[stopped].name.clone();
    cluster.crash(stopped);
    change_voters(&mut cluster, 2, voters::Change::Remove(instance));

    assert!(added && !cluster.is_voter(stopped));
    assert!([1, 2].iter().all(|ticket| cluster.acknowledged.contains(ticket)));
    assert_eq!(cluster.slots[3].applied, cluster.node(3).committed());
    assert!(cluster.slots[3].applied > number::Index(50));
}

/// The list in the settings grows from one instance to three, as when a deployment grows or after
/// the recovery from a lost quorum. The instances join one after the other without an operator.
#[test]
fn listed_instances_join_automatically() {
    let mut cluster = cluster::Cluster::with_leader(1, 1, 2);
    let names = cluster.slots.iter().map(|slot| slot.name.clone()).collect();
    cluster.settings.voters = names;

    for slot in 0..3 {
        cluster.crash(slot);
        cluster.start(slot);
    }
    cluster.run(Duration::from_secs(5));
    cluster.crash(0);
    cluster.run(Duration::from_secs(4));

    assert!((0..3).all(|slot| cluster.is_voter(slot)), "{:?}", cluster.voters(1));
    assert!(commits_proposal(&mut cluster, 1), "without the first");
}

/// Two of five disks are lost, and an operator removes a live voter. Two live voters of four would
/// remain, which are never a quorum. The leader rejects the removal.
#[test]
fn a_removal_that_leaves_no_quorum_is_rejected() {
    let mut cluster = cluster::Cluster::with_leader(1, 5, 0);
    let leader = cluster.leader().expect("someone leads");
    let others: Vec<usize> = (0..5).filter(|slot| *slot != leader).collect();
    cluster.crash(others[0]);
    cluster.crash(others[1]);
    cluster.run(Duration::from_secs(1));

    let instance = cluster.slots[others[2]].name.clone();
    change_voters(&mut cluster, 1, voters::Change::Remove(instance));

    assert_eq!(cluster.rejected, [1]);
    assert!(commits_proposal(&mut cluster, 2));
}

/// A follower returns after the others have compacted the entries it lacks, over a network that
/// loses, duplicates and reorders messages. It is caught up with a snapshot in parts.
#[test]
fn a_snapshot_arrives_over_a_bad_network() {
    let mut cluster = cluster::Cluster::with_leader(1, 3, 0);
    let lagging = follower(&cluster);
    cluster.snapshot_padding_bytes = 300_000;
    cluster.crash(lagging);
    let leader = cluster.leader().expect("someone leads");
    (10..60).for_each(|ticket| propose(&mut cluster, leader, ticket));
    (0..3).for_each(|slot| cluster.snapshot(slot));

    cluster.faults = cluster::Faults {
        loss_per_mille: 150,
        duplication_per_mille: 150,
        delay_per_mille: 30,
        ..Default::default()
    };
    cluster.start(lagging);
    cluster.run(Duration::from_secs(20));
    cluster.faults = cluster::Faults::default();
    cluster.run(Duration::from_secs(2));

    assert!(cluster.slots[lagging].applied > number::Index(50));
}
