//! Rules of placements.

use crate::fixture;
use hyssopfork_state::{command, machine, placements};
use hyssopfork_wire::{configuration, number, patch};

fn placed(fence: u64) -> machine::Reply {
    machine::Reply::Placed(number::Fence(fence))
}

fn rejected(obstacle: placements::Violation) -> machine::Reply {
    machine::Reply::Unplaceable(obstacle)
}

fn with_second_group() -> fixture::Log {
    let mut log = fixture::declared();
    log.submit("g2", vec![patch::Operation::PutGroup("g2".into(), fixture::group(2))]);
    log
}

#[test]
fn fencing_numbers_go_up_over_all_groups() {
    let mut log = with_second_group();

    let first = log.place("g1", &["e1", "e2"], None);
    let second = log.place("g2", &["e3", "e4"], None);
    let repaired = log.place("g1", &["e2", "e1"], Some(1));

    assert_eq!(first, placed(1));
    assert_eq!(second, placed(2));
    assert_eq!(repaired, placed(3));
}

#[test]
fn no_instance_is_in_two_placements() {
    let mut log = with_second_group();
    log.place("g1", &["e1", "e2"], None);

    let overlapping = log.place("g2", &["e2", "e3"], None);

    assert_eq!(overlapping, rejected(placements::Violation::Taken));
}

// Two leaders in turn propose a placement for the same lost member. The second decided on a state
// without the first placement; if it were accepted, it would end a placement that is loading.
#[test]
fn a_placement_decided_on_an_older_one_has_no_effect() {
    let mut log = fixture::declared();
    log.place("g1", &["e1", "e2"], None);
    log.place("g1", &["e1", "e3"], Some(1));

    let late = log.place("g1", &["e1", "e4"], Some(1));
    let unplaced =
        log.apply(&command::Command::Unplace { group: "g1".into(), fence: number::Fence(1) });

    assert_eq!(late, rejected(placements::Violation::Moved));
    assert!(unplaced.changes.is_empty());
    assert_eq!(log.view().placements[&"g1".into()].fence, number::Fence(2));
}

#[test]
fn a_placement_that_violates_a_rule_is_rejected() {
    let mut log = fixture::declared();
    log.apply(&command::Command::Absent { instance: "e4".into(), boot: 1 });

    let cases = [
        ("g9", vec!["e1", "e2"], placements::Violation::Undeclared),
        ("g1", vec!["e1"], placements::Violation::Size),
        ("g1", vec!["e1", "e1"], placements::Violation::Size),
        ("g1", vec!["e1", "e4"], placements::Violation::Ineligible),
        ("g1", vec!["e1", "s1"], placements::Violation::Ineligible),
        ("g1", vec!["e1", "e9"], placements::Violation::Ineligible),
        ("g1", vec!["e1", "e5"], placements::Violation::Domains),
    ];

    for (group, members, obstacle) in cases {
        assert_eq!(log.place(group, &members, None), rejected(obstacle), "{group} {members:?}");
    }
}

#[test]
fn no_group_is_placed_in_a_zone_that_is_out_and_placed_ones_stay() {
    let mut log = with_second_group();
    log.place("g1", &["e1", "e2"], None);

    log.submit("out", vec![patch::Operation::SetZoneOut("zone-a".into(), true)]);
    let new = log.place("g2", &["e3", "e4"], None);

    assert_eq!(new, rejected(placements::Violation::Ineligible));
    assert!(log.view().placements.contains_key(&"g1".into()));
}

#[test]
fn a_placement_ends_when_its_group_is_removed_or_resized() {
    let mut log = with_second_group();
    log.place("g1", &["e1", "e2"], None);
    log.place("g2", &["e3", "e4"], None);
    let raised = configuration::Group { priority: 9, ..fixture::group(2) };

    log.submit("raise", vec![patch::Operation::PutGroup("g1".into(), raised)]);
    let kept = log.view().placements.len();
    log.submit("remove", vec![patch::Operation::RemoveGroup("g2".into())]);
    log.submit("grow", vec![patch::Operation::PutGroup("g1".into(), fixture::group(3))]);

    assert_eq!(kept, 2);
    assert!(log.view().placements.is_empty());
}

#[test]
fn a_placement_ends_when_a_member_moves_to_another_domain() {
    let mut log = fixture::declared();
    log.place("g1", &["e1", "e2"], None);

    log.announce(fixture::engine("e2", "b1", 2));

    assert!(log.view().placements.is_empty());
}
