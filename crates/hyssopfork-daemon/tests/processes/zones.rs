//! Availability zones that operators take out, also while control instances are lost.

use crate::support::{client, fleet, operator};
use hyssopfork_wire::{number, patch, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which an accepted change must be in force, with a margin for a busy test machine.
const IN_FORCE_WAIT: Duration = Duration::from_secs(4);

async fn start_fleet() -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(fleet::Plan { engines: 0, ..fleet::Plan::default() });
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 4))
        .await;
    (fleet, operator)
}

fn run_count(fleet: &fleet::Fleet, index: usize) -> u64 {
    fleet.services[index].fake.runs_by_reference().values().sum()
}

async fn lodge(fleet: &fleet::Fleet, entry: usize, number: usize) -> client::Response {
    let body = format!("{{\"reference\":\"{entry}-{number}\"}}");
    client::post(fleet.entry_addresses[entry], "/lodge", None, &body).await
}

// Zone-b is taken out; after `IN_FORCE_WAIT` no request reaches its upstream through any entry, and
// the other zones serve all requests.
#[actix_rt::test]
async fn a_zone_taken_out_gets_no_new_work() {
    let (fleet, operator) = start_fleet().await;
    assert!(timing::IN_FORCE_BOUND < IN_FORCE_WAIT);

    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let outcome = operator.submit("out", 1, vec![out]).await;
    actix_rt::time::sleep(IN_FORCE_WAIT).await;
    let before = run_count(&fleet, 1);
    let mut served = 0;
    for number in 0..20 {
        served += u32::from(lodge(&fleet, number % 2, number).await.is_complete_success());
    }

    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
    assert_eq!(run_count(&fleet, 1), before);
    assert_eq!(served, 20);
}

// The leader is killed just after it accepted a change. Requests are served through the election,
// the change is in force, and the configuration number continues.
#[actix_rt::test]
async fn an_accepted_change_outlives_its_leader() {
    let (mut fleet, operator) = start_fleet().await;
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let accepted = operator.submit("out", 1, vec![out.clone()]).await;
    let leader = operator.status().await.leader;

    let names: BTreeMap<String, usize> =
        (0..3).map(|index| (format!("control-{}", index + 1), index)).collect();
    fleet.controls[names[leader.as_str()]].kill();
    let response = lodge(&fleet, 0, 0).await;
    let resent = operator.submit("out", 1, vec![out]).await;
    let back = patch::Operation::SetZoneOut("zone-b".into(), false);
    let stale = operator.submit("late", 1, vec![back]).await;
    actix_rt::time::sleep(IN_FORCE_WAIT).await;
    let before = run_count(&fleet, 1);
    for number in 1..10 {
        lodge(&fleet, number % 2, number).await;
    }

    assert!(response.is_complete_success(), "{response:?}");
    assert_eq!(accepted, patch::Outcome::Accepted(number::Configuration(2)));
    assert_eq!(resent, accepted);
    assert!(matches!(stale, patch::Outcome::Stale { .. }), "{stale:?}");
    assert_eq!(run_count(&fleet, 1), before);
}

// All three control processes are paused. No instance can confirm a recent configuration, and a
// zone could be out unnoticed, so requests are rejected as not run once the leases have expired.
#[actix_rt::test]
async fn nothing_is_served_on_a_view_that_may_be_stale() {
    let (fleet, operator) = start_fleet().await;
    operator.status().await;

    fleet.controls.iter().for_each(|control| control.pause());
    actix_rt::time::sleep(IN_FORCE_WAIT).await;
    let rejected = lodge(&fleet, 0, 0).await;
    fleet.controls.iter().for_each(|control| control.resume());
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 4))
        .await;
    actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await;
    let response = lodge(&fleet, 0, 1).await;

    assert!(rejected.says_not_run(), "{rejected:?}");
    assert!(response.is_complete_success(), "{response:?}");
}
