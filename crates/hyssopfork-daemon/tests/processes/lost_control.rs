//! Control instances that are cut off in silence, lose their disks, or are away for long.

use crate::support::{caller, fleet, operator, wires};
use hyssopfork_wire::{number, patch, timing};
use std::fs;
use std::time::Duration;

/// Bound on a change's being in force after the other side could elect, for a busy test machine.
const A_FEW_SECONDS: Duration = Duration::from_secs(4);

/// Changes made while a control instance is down.
const CHANGES: u64 = 300;

/// Operations of each of them.
const OPERATIONS: usize = 3_000;

/// What a process logs when the voters have changed.
const VOTERS: &str = "voters from index";

/// What a process logs when it has taken a snapshot.
const SNAPSHOT: &str = "took a snapshot of";

async fn served(relayed: bool) -> (fleet::Fleet, operator::Operator) {
    let plan = fleet::Plan { engines: 0, relayed, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait("everybody present", |status| operator::all_hold(status, 4)).await;
    (fleet, operator)
}

fn zone_out(out: bool) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut("zone-b".into(), out)]
}

/// A change so long that some hundreds of them make a snapshot due.
fn long_change(number: u64) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut("zone-b".into(), number % 2 == 1); OPERATIONS]
}

fn accepted(number: u64) -> patch::Outcome {
    patch::Outcome::Accepted(number::Configuration(number))
}

/// Whether a seat was vacant and no seat is any more, as a leader logs it.
fn is_admitted(fleet: &fleet::Fleet) -> bool {
    fleet.controls.iter().any(|control| {
        let log = control.log();
        let voters = log.lines().filter(|line| line.contains(VOTERS));
        let vacant: Vec<bool> = voters.map(|line| line.contains("(vacant)")).collect();
        vacant.contains(&true) && vacant.last() == Some(&false)
    })
}

/// Place of the control instance that leads.
async fn leader(operator: &operator::Operator) -> usize {
    let name = operator.status().await.leader.to_string();
    (0..3).find(|place| name == format!("control-{}", place + 1)).unwrap()
}

// Callers of every entry are kept out of a zone that was taken out through the side that can
// decide. The leader is cut off from the other voters in silence, with no connection closed, and
// still hears from entries and agents; what it answers after its quorum lease would be old.
#[actix_rt::test]
async fn a_leader_cut_off_in_silence_keeps_no_zone_in() {
    let (fleet, operator) = served(true).await;
    let cut = leader(&operator).await;
    let others = (0..3).filter(|place| *place != cut);
    let others = others.map(|place| fleet.control_addresses[place]).collect();
    let other_side = operator::Operator::new(others);

    fleet.wires.silence(wires::Link::Voter, &format!("control-{}", cut + 1));
    let outcome = other_side.submit("out", 1, zone_out(true)).await;
    actix_rt::time::sleep(A_FEW_SECONDS).await;
    let before: u64 = fleet.services[1].fake.runs_by_reference().values().sum();
    let mut answered = 0;
    for number in 0..20 {
        let body = format!("{{\"reference\":\"work-{number}\"}}");
        let entry = fleet.entry_addresses[number % 2];
        answered += u32::from(caller::post(entry, "/lodge", None, &body).await.is_answer());
    }

    assert!(timing::IN_FORCE_BOUND < A_FEW_SECONDS);
    assert_eq!(outcome, accepted(2));
    assert_eq!(fleet.services[1].fake.runs_by_reference().values().sum::<u64>(), before);
    assert_eq!(answered, 20);
}

// An operator's accepted changes are all there after two losses. One control instance comes back
// with an empty disk and its old addresses; before it votes or counts it must be given all that
// was accepted, for then another one dies and the two have to go on alone.
#[actix_rt::test]
async fn a_lost_disk_and_then_a_lost_instance_take_no_accepted_change_back() {
    let (mut fleet, operator) = served(false).await;
    for number in 1..=10 {
        operator.submit(&format!("change-{number}"), number, zone_out(number % 2 == 1)).await;
    }
    let last = leader(&operator).await;
    let emptied = (last + 1) % 3;

    fleet.controls[emptied].kill();
    let folder = fleet.layout.folder.join(format!("control-{}", emptied + 1));
    fs::remove_dir_all(&folder).unwrap();
    let meanwhile = operator.submit("change-11", 11, zone_out(true)).await;
    fleet.controls[emptied].restart();
    let view = operator.wait("the new folder admitted", |_| is_admitted(&fleet)).await;
    fleet.controls[last].kill();
    let resent = operator.submit("change-11", 11, zone_out(true)).await;
    let first = operator.submit("change-1", 1, zone_out(true)).await;
    let next = operator.submit("change-12", 12, zone_out(false)).await;
    let status = operator.status().await;

    assert_eq!(meanwhile, accepted(12));
    assert_eq!(resent, meanwhile);
    assert_eq!(first, accepted(2));
    assert_eq!(next, accepted(13));
    assert!(status.view.version > view.view.version, "{:?}", status.view.version);
}

// An operator who lost the answer to a change sends it again, hundreds of changes later, and gets
// its first outcome; it is not done again. One control instance was down for all of those, and
// then each is restarted in turn, so that a snapshot and the journal behind it must both know.
#[actix_rt::test]
async fn an_early_change_sent_again_hundreds_later_has_its_first_outcome() {
    let (mut fleet, operator) = served(false).await;
    let early = operator.submit("early", 1, zone_out(true)).await;
    let away = (leader(&operator).await + 1) % 3;

    fleet.controls[away].kill();
    for number in 2..2 + CHANGES {
        let outcome = operator.submit(&format!("c-{number}"), number, long_change(number)).await;
        assert_eq!(outcome, accepted(number + 1));
    }
    let snapshots = fleet.logs().iter().filter(|log| log.contains(SNAPSHOT)).count();
    fleet.controls[away].restart();
    let after_one = operator.submit("early", 1, zone_out(true)).await;
    for place in 0..3 {
        actix_rt::time::sleep(timing::ELECTION_TIMEOUT * 2).await;
        fleet.controls[place].kill();
        fleet.controls[place].restart();
    }
    let after_all = operator.submit("early", 1, zone_out(true)).await;
    let next = operator.submit("next", CHANGES + 2, zone_out(true)).await;

    assert!(snapshots >= 2, "{snapshots} control instances took a snapshot");
    assert_eq!(early, accepted(2));
    assert_eq!(after_one, early);
    assert_eq!(after_all, early);
    assert_eq!(next, accepted(CHANGES + 3));
}
