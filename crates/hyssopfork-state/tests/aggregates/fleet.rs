//! Records of instances and of their agents' processes.

use crate::fixture;
use hyssopfork_state::{command, machine};
use hyssopfork_wire::{name, number};

fn announced(incarnation: u64) -> machine::Reply {
    machine::Reply::Announced(number::Incarnation(incarnation))
}

#[test]
fn each_new_boot_gets_the_next_incarnation() {
    let mut log = fixture::declared();

    let same = log.announce(fixture::engine("e1", "a1", 1));
    let restarted = log.announce(fixture::engine("e1", "a1", 2));

    assert_eq!(same, announced(1));
    assert_eq!(restarted, announced(2));
}

#[test]
fn an_unchanged_announcement_changes_no_version() {
    let mut log = fixture::declared();
    let version = log.view().version;

    log.announce(fixture::engine("e1", "a1", 1));

    assert_eq!(log.view().version, version);
}

// A replacement was started while the old process under the same name still runs. Both renew; if
// each announcement were accepted as new, they would replace each other twice a second and their
// group would never be complete.
#[test]
fn a_replaced_process_cannot_take_its_name_back() {
    let mut log = fixture::declared();
    log.announce(fixture::engine("e1", "a1", 2));

    let old = log.announce(fixture::engine("e1", "a1", 1));

    assert_eq!(old, machine::Reply::Superseded);
    assert_eq!(log.view().members[&"e1".into()].announcement.boot, 2);
}

#[test]
fn an_absent_instance_is_present_again_when_it_announces_but_leaving_lasts() {
    let mut log = fixture::declared();
    let instance = name::Instance::from("e1");
    log.apply(&command::Command::Leaving { instance: instance.clone(), boot: 1 });
    log.apply(&command::Command::Absent { instance: instance.clone(), boot: 1 });
    let absent = log.view().members[&instance].clone();

    log.announce(fixture::engine("e1", "a1", 1));
    let back = log.view().members[&instance].clone();
    log.announce(fixture::engine("e1", "a1", 2));
    let restarted = log.view().members[&instance].clone();

    assert!(!absent.present);
    assert!(back.present && back.leaving);
    assert!(restarted.present && !restarted.leaving);
}

#[test]
fn presence_changes_of_an_older_boot_do_not_affect_the_newer() {
    let mut log = fixture::declared();
    log.announce(fixture::engine("e1", "a1", 2));

    log.apply(&command::Command::Absent { instance: "e1".into(), boot: 1 });
    log.apply(&command::Command::Leaving { instance: "e1".into(), boot: 1 });

    let member = &log.view().members[&"e1".into()];
    assert!(member.present && !member.leaving);
}

#[test]
fn a_removed_instance_returns_under_a_higher_incarnation() {
    let mut log = fixture::declared();
    log.announce(fixture::engine("e1", "a1", 2));
    log.apply(&command::Command::Forget("e1".into()));
    let kept = log.view().members.contains_key(&"e1".into());
    log.apply(&command::Command::Absent { instance: "e1".into(), boot: 2 });

    log.apply(&command::Command::Forget("e1".into()));
    let forgotten = !log.view().members.contains_key(&"e1".into());
    let back = log.announce(fixture::engine("e1", "a1", 3));

    assert!(kept, "a present instance is not forgotten");
    assert!(forgotten);
    assert_eq!(back, announced(3));
}
