//! Replacement of a voter by a learner.

use crate::fixture;
use hyssopfork_consensus::{action, event, node, voters, write};
use hyssopfork_wire::{clock, consensus, name, number};

fn replacement() -> voters::Change {
    voters::Change::Replace { from: name::Instance::from("b"), to: name::Instance::from("d") }
}

/// The leader of three voters, which the learner `d` has asked to join.
fn leader_with_learner() -> fixture::Fixture {
    let mut fixture = fixture::Fixture::committed_leader();
    let names = |names: &[&str]| names.iter().map(|name| name::Instance::from(*name)).collect();
    fixture.step(event::Event::SetListedVoters(names(&["a", "b", "c", "d"])));
    fixture.step(event::Event::SetLearners(names(&["d"])));
    fixture.receive("d", consensus::Message::Join { relayed: false });
    fixture
}

/// Answers the newest message of the leader to `name` in `actions` with everything up to `matched`.
fn acknowledge(
    fixture: &mut fixture::Fixture,
    actions: &[action::Action],
    name: &str,
    matched: u64,
) -> Vec<action::Action> {
    let mut rounds = actions.iter().rev().filter_map(|action| match action {
        action::Action::Send(packet) if packet.to == name::Instance::from(name) => {
            match packet.message {
                consensus::Message::Append { round, .. } => Some(round),
                _ => None,
            }
        }
        _ => None,
    });
    let round = rounds.next().expect("the leader sends to it");
    fixture.receive(name, fixture::append_accepted(round, matched))
}

/// The leader, with the replacement of `b` by `d` at index 2 synced on its own disk, and its messages.
fn leader_with_replacement() -> (fixture::Fixture, Vec<action::Action>) {
    let mut fixture = leader_with_learner();
    fixture.now += 100;
    let heartbeats = fixture.step(event::Event::Tick);
    for name in ["b", "c", "d"] {
        acknowledge(&mut fixture, &heartbeats, name, 1);
    }
    let actions = fixture.change_voters(replacement());
    assert!(!fixture::rejects_proposal(&actions));
    fixture.persist();
    (fixture, actions)
}

/// Guards against a vote for a learner without the log, with which a quorum could commit nothing.
#[test]
fn a_learner_that_has_not_caught_up_takes_no_seat() {
    let mut fixture = leader_with_learner();

    let actions = fixture.change_voters(replacement());

    assert!(fixture::rejects_proposal(&actions));
}

/// Guards against two leaders: the old voters without the leader, and the new ones without `c`, are
/// quorums that share no voter.
#[test]
fn a_replacement_needs_a_quorum_of_the_voters_before_and_after_it() {
    for (name, commits) in [("b", false), ("c", true), ("d", false)] {
        let (mut fixture, actions) = leader_with_replacement();

        acknowledge(&mut fixture, &actions, name, 2);

        assert_eq!(fixture.node.committed() >= number::Index(2), commits, "{name}");
    }
}

/// Guards against a replaced instance that takes its seat back after a restart, or once it is sent a
/// snapshot.
#[test]
fn a_snapshot_lists_the_instances_that_were_replaced() {
    let (mut fixture, actions) = leader_with_replacement();
    acknowledge(&mut fixture, &actions, "c", 2);

    let index = number::Index(2);
    let actions = fixture.step(event::Event::Snapshotted { index, data: vec![1] });
    let snapshot = actions.into_iter().find_map(|action| match action {
        action::Action::Persist(write::Write { snapshot, .. }) => snapshot,
        _ => None,
    });
    let durable = node::Durable { snapshot, ..node::Durable::default() };
    let (settings, now) = (node::Settings::default(), clock::Instant::from_millis(0));
    let restarted = node::Node::new(fixture::voter("c"), durable, settings, 1, now);

    assert_eq!(restarted.superseded(), [name::Instance::from("b")]);
    assert_eq!(restarted.voters(), ["a", "c", "d"].map(fixture::voter));
}

/// Restarts `c` from the snapshot that the leader takes at its committed index.
fn restart_from_snapshot(fixture: &mut fixture::Fixture) -> node::Node {
    let index = fixture.node.committed();
    let actions = fixture.step(event::Event::Snapshotted { index, data: vec![1] });
    let snapshot = actions.into_iter().find_map(|action| match action {
        action::Action::Persist(write::Write { snapshot, .. }) => snapshot,
        _ => None,
    });
    let durable = node::Durable { snapshot, ..node::Durable::default() };
    let (settings, now) = (node::Settings::default(), clock::Instant::from_millis(0));
    node::Node::new(fixture::voter("c"), durable, settings, 1, now)
}

/// Lets `c` and `d` store everything that the leader has.
fn commit_all(fixture: &mut fixture::Fixture) {
    for _ in 0..4 {
        fixture.now += 100;
        let actions = fixture.step(event::Event::Tick);
        fixture.persist();
        let newest = fixture.node.committed().0 + 1;
        for name in ["c", "d"] {
            acknowledge(fixture, &actions, name, newest);
        }
    }
}

/// Guards against a leader that waits for an instance of which the leader before knew that it had ended.
#[test]
fn a_snapshot_lists_the_absent_instances() {
    let replaced = name::Instance::from("b");
    for absent in [vec![], vec![replaced.clone()]] {
        let (mut fixture, actions) = leader_with_replacement();
        acknowledge(&mut fixture, &actions, "c", 2);
        commit_all(&mut fixture);

        fixture.step(event::Event::SetAbsent(absent.clone()));
        commit_all(&mut fixture);
        let restarted = restart_from_snapshot(&mut fixture);

        assert_eq!(restarted.superseded(), std::slice::from_ref(&replaced), "{absent:?}");
        assert_eq!(restarted.is_absent(&replaced), !absent.is_empty(), "{absent:?}");
        assert_eq!(restarted.voters(), ["a", "c", "d"].map(fixture::voter), "{absent:?}");
    }
}
