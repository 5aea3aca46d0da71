//! Formation of the log by one designated folder.

use hyssopfork_consensus::{action, event, node, write};
use hyssopfork_wire::{clock, consensus, name, number};

fn settings(formation: node::Formation) -> node::Settings {
    let voters = ["a", "b"].map(name::Instance::from).to_vec();
    node::Settings { voters, formation, ..node::Settings::default() }
}

fn node(formation: node::Formation, durable: node::Durable) -> node::Node {
    let identity = consensus::Voter { instance: name::Instance::from("a"), folder: 7 };
    node::Node::new(identity, durable, settings(formation), 1, clock::Instant::from_millis(0))
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

#[test]
fn a_folder_that_is_not_designated_forms_no_log() {
    let mut node = node(node::Formation::Designated, node::Durable::default());

    for millis in (0..5_000).step_by(20) {
        node.step(at(millis), event::Event::Tick);
    }

    assert!(node.is_blank() && node.voters().is_empty());
}

#[test]
fn a_designated_folder_forms_the_log_and_leads_at_once() {
    let mut node = node(node::Formation::Designated, node::Durable::default());

    let mut actions = node.step(at(0), event::Event::Form);
    actions.extend(node.step(at(20), event::Event::Tick));
    for _ in 0..4 {
        let numbers: Vec<u64> = actions
            .iter()
            .filter_map(|action| match action {
                action::Action::Persist(write) => Some(write.number),
                _ => None,
            })
            .collect();
        actions.clear();
        for number in numbers {
            actions.extend(node.step(at(40), event::Event::Persisted(number)));
        }
    }

    assert!(node.is_leader());
    assert_eq!(node.voters().len(), 1);
}

/// A folder that has voted before is designated by mistake. A second log would lack the entries
/// that the first one acknowledged.
#[test]
fn a_used_folder_forms_no_log() {
    let ballot = write::Ballot { term: number::Term(3), vote: None };
    let durable = node::Durable { ballot, ..node::Durable::default() };
    let mut node = node(node::Formation::Designated, durable);

    node.step(at(0), event::Event::Form);

    assert!(node.voters().is_empty());
}
