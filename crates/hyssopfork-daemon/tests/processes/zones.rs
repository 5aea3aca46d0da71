//! Availability zones that operators take out, and control instances that are lost meanwhile.

use crate::support::{caller, fleet, operator};
use hyssopfork_wire::{number, patch, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longer than the bound within which an accepted change is in force, for a busy test machine.
const A_FEW_SECONDS: Duration = Duration::from_secs(4);

async fn served() -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(fleet::Plan { engines: 0, ..fleet::Plan::default() });
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator.wait("everybody present", |status| operator::all_hold(status, 4)).await;
    (fleet, operator)
}

fn ran(fleet: &fleet::Fleet, place: usize) -> u64 {
    fleet.services[place].fake.runs_by_reference().values().sum()
}

async fn ask(fleet: &fleet::Fleet, entry: usize, number: usize) -> caller::Got {
    let body = format!("{{\"reference\":\"{entry}-{number}\"}}");
    caller::post(fleet.entry_addresses[entry], "/lodge", None, &body).await
}

// The caller is answered by the other zones. Zone-b is taken out; after a few seconds no request
// reaches its upstream any more, whichever entry it came through.
#[actix_rt::test]
async fn a_zone_taken_out_gets_no_new_work() {
    let (fleet, operator) = served().await;
    assert!(timing::IN_FORCE_BOUND < A_FEW_SECONDS);

    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let outcome = operator.submit("out", 1, vec![out]).await;
    actix_rt::time::sleep(A_FEW_SECONDS).await;
    let before = ran(&fleet, 1);
    let mut answered = 0;
    for number in 0..20 {
        answered += u32::from(ask(&fleet, number % 2, number).await.is_answer());
    }

    assert_eq!(outcome, patch::Outcome::Accepted(number::Configuration(2)));
    assert_eq!(ran(&fleet, 1), before);
    assert_eq!(answered, 20);
}

// The caller of an entry whose leader was killed is served through the election. The leader dies
// just after it accepted a change; the change is in force all the same, and the number goes on.
#[actix_rt::test]
async fn an_accepted_change_outlives_its_leader() {
    let (mut fleet, operator) = served().await;
    let out = patch::Operation::SetZoneOut("zone-b".into(), true);
    let accepted = operator.submit("out", 1, vec![out.clone()]).await;
    let leader = operator.status().await.leader;

    let names: BTreeMap<String, usize> =
        (0..3).map(|place| (format!("control-{}", place + 1), place)).collect();
    fleet.controls[names[leader.as_str()]].kill();
    let answer = ask(&fleet, 0, 0).await;
    let resent = operator.submit("out", 1, vec![out]).await;
    let back = patch::Operation::SetZoneOut("zone-b".into(), false);
    let stale = operator.submit("late", 1, vec![back]).await;
    actix_rt::time::sleep(A_FEW_SECONDS).await;
    let before = ran(&fleet, 1);
    for number in 1..10 {
        ask(&fleet, number % 2, number).await;
    }

    assert!(answer.is_answer(), "{answer:?}");
    assert_eq!(accepted, patch::Outcome::Accepted(number::Configuration(2)));
    assert_eq!(resent, accepted);
    assert!(matches!(stale, patch::Outcome::Stale { .. }), "{stale:?}");
    assert_eq!(ran(&fleet, 1), before);
}

// The caller of an entry that is cut off from every control instance is refused as not run once
// the leases have lapsed. All three control processes freeze; nobody can show a recent
// configuration, so a zone could be out without their knowing.
#[actix_rt::test]
async fn nobody_serves_on_a_view_that_may_be_old() {
    let (fleet, operator) = served().await;
    operator.status().await;

    fleet.controls.iter().for_each(|control| control.pause());
    actix_rt::time::sleep(A_FEW_SECONDS).await;
    let refused = ask(&fleet, 0, 0).await;
    fleet.controls.iter().for_each(|control| control.resume());
    operator.wait("everybody present", |status| operator::all_hold(status, 4)).await;
    actix_rt::time::sleep(timing::RENEWAL_INTERVAL).await;
    let answer = ask(&fleet, 0, 1).await;

    assert!(refused.says_not_run(), "{refused:?}");
    assert!(answer.is_answer(), "{answer:?}");
}
