//! Control instances that are partitioned, lose their disks, or are down for a long time.

use crate::support::{client, fleet, operator, relays};
use hyssopfork_wire::{number, patch, timing};
use std::fs;
use std::time::Duration;

/// Time within which a change must be in force after the majority could elect a leader, with a
/// margin for a busy test machine.
const IN_FORCE_WAIT: Duration = Duration::from_secs(4);

/// Number of changes made while a control instance is down.
const CHANGE_COUNT: u64 = 300;

/// Operations in each of these changes.
const OPERATIONS_PER_CHANGE: usize = 3_000;

/// Log message of a change of the voters.
const VOTERS_MESSAGE: &str = "voters from index";

/// Log message of a snapshot.
const SNAPSHOT_MESSAGE: &str = "took a snapshot of";

async fn start_fleet(relayed: bool) -> (fleet::Fleet, operator::Operator) {
    let plan = fleet::Plan { engines: 0, relayed, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 4))
        .await;
    (fleet, operator)
}

fn set_zone_out(out: bool) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut("zone-b".into(), out)]
}

/// A change so large that a few hundred of them make a snapshot due.
fn large_change(number: u64) -> Vec<patch::Operation> {
    vec![patch::Operation::SetZoneOut("zone-b".into(), number % 2 == 1); OPERATIONS_PER_CHANGE]
}

fn accepted(number: u64) -> patch::Outcome {
    patch::Outcome::Accepted(number::Configuration(number))
}

/// Whether a leader has logged a vacant seat and, after it, that no seat is vacant.
fn is_replacement_admitted(fleet: &fleet::Fleet) -> bool {
    fleet.controls.iter().any(|control| {
        let log = control.read_log();
        let voters = log.lines().filter(|line| line.contains(VOTERS_MESSAGE));
        let vacant: Vec<bool> = voters.map(|line| line.contains("(vacant)")).collect();
        vacant.contains(&true) && vacant.last() == Some(&false)
    })
}

/// Index of the leading control instance.
async fn leader_index(operator: &operator::Operator) -> usize {
    let name = operator.status().await.leader.to_string();
    (0..3).find(|index| name == format!("control-{}", index + 1)).unwrap()
}

// The leader is cut off from the other voters without any connection being closed, and still
// receives calls from entries and agents. The majority takes a zone out; no entry may send requests
// there because of a stale response that the old leader gives after its quorum lease.
#[actix_rt::test]
async fn a_partitioned_leader_does_not_keep_a_zone_in() {
    let (fleet, operator) = start_fleet(true).await;
    let partitioned = leader_index(&operator).await;
    let others = (0..3).filter(|index| *index != partitioned);
    let others = others.map(|index| fleet.control_addresses[index]).collect();
    let majority = operator::Operator::new(others);

    fleet.relays.silence_link(relays::Link::Voter, &format!("control-{}", partitioned + 1));
    let outcome = majority.submit("out", 1, set_zone_out(true)).await;
    actix_rt::time::sleep(IN_FORCE_WAIT).await;
    let before: u64 = fleet.services[1].fake.runs_by_reference().values().sum();
    let mut served = 0;
    for number in 0..20 {
        let body = format!("{{\"reference\":\"work-{number}\"}}");
        let entry = fleet.entry_addresses[number % 2];
        served += u32::from(client::post(entry, "/lodge", None, &body).await.is_complete_success());
    }

    assert!(timing::IN_FORCE_BOUND < IN_FORCE_WAIT);
    assert_eq!(outcome, accepted(2));
    assert_eq!(fleet.services[1].fake.runs_by_reference().values().sum::<u64>(), before);
    assert_eq!(served, 20);
}

// A control instance returns with an empty disk under its old addresses. Before it votes or counts
// towards a quorum, it must receive all accepted changes, because then another instance dies and
// the remaining two continue alone.
#[actix_rt::test]
async fn no_accepted_change_is_lost_with_a_disk_and_then_an_instance() {
    let (mut fleet, operator) = start_fleet(false).await;
    for number in 1..=10 {
        operator.submit(&format!("change-{number}"), number, set_zone_out(number % 2 == 1)).await;
    }
    let last = leader_index(&operator).await;
    let wiped = (last + 1) % 3;

    fleet.controls[wiped].kill();
    let folder = fleet.layout.folder.join(format!("control-{}", wiped + 1));
    fs::remove_dir_all(&folder).unwrap();
    let meanwhile = operator.submit("change-11", 11, set_zone_out(true)).await;
    fleet.controls[wiped].restart();
    let view =
        operator.wait_for("the new folder admitted", |_| is_replacement_admitted(&fleet)).await;
    fleet.controls[last].kill();
    let resent = operator.submit("change-11", 11, set_zone_out(true)).await;
    let first = operator.submit("change-1", 1, set_zone_out(true)).await;
    let next = operator.submit("change-12", 12, set_zone_out(false)).await;
    let status = operator.status().await;

    assert_eq!(meanwhile, accepted(12));
    assert_eq!(resent, meanwhile);
    assert_eq!(first, accepted(2));
    assert_eq!(next, accepted(13));
    assert!(status.view.version > view.view.version, "{:?}", status.view.version);
}

// An operator who lost the response to a change resends it hundreds of changes later and gets its
// first outcome; the change is not applied again. One control instance was down during those
// changes, and then each one is restarted in turn, so that both a snapshot and the journal after it
// must contain the outcome.
#[actix_rt::test]
async fn a_change_resent_hundreds_of_changes_later_has_its_first_outcome() {
    let (mut fleet, operator) = start_fleet(false).await;
    let early = operator.submit("early", 1, set_zone_out(true)).await;
    let stopped = (leader_index(&operator).await + 1) % 3;

    fleet.controls[stopped].kill();
    for number in 2..2 + CHANGE_COUNT {
        let outcome = operator.submit(&format!("c-{number}"), number, large_change(number)).await;
        assert_eq!(outcome, accepted(number + 1));
    }
    let snapshots = fleet.read_logs().iter().filter(|log| log.contains(SNAPSHOT_MESSAGE)).count();
    fleet.controls[stopped].restart();
    let after_one = operator.submit("early", 1, set_zone_out(true)).await;
    for index in 0..3 {
        actix_rt::time::sleep(timing::ELECTION_TIMEOUT * 2).await;
        fleet.controls[index].kill();
        fleet.controls[index].restart();
    }
    let after_all = operator.submit("early", 1, set_zone_out(true)).await;
    let next = operator.submit("next", CHANGE_COUNT + 2, set_zone_out(true)).await;

    assert!(snapshots >= 2, "{snapshots} control instances took a snapshot");
    assert_eq!(early, accepted(2));
    assert_eq!(after_one, early);
    assert_eq!(after_all, early);
    assert_eq!(next, accepted(CHANGE_COUNT + 3));
}
