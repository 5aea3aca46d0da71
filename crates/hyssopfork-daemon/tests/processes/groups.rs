//! Serving groups whose members are killed or paused.

use crate::support::{client, fleet, operator};
use hyssopfork_test_support::engine;
use hyssopfork_wire::{control, number, patch};

async fn start_fleet() -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(fleet::Plan::default());
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 7))
        .await;
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    (fleet, operator)
}

fn group_fence(status: &control::Status) -> number::Fence {
    status.view.placements[&"group-1".into()].fence
}

fn member_name(status: &control::Status, index: usize) -> String {
    status.view.placements[&"group-1".into()].members[index].to_string()
}

fn find_engine<'a>(
    fleet: &'a mut fleet::Fleet,
    name: &str,
) -> &'a mut fleet::Upstream<engine::Engine> {
    fleet.engines.iter_mut().find(|upstream| upstream.name == name).unwrap()
}

// The second member's agent and engine are killed. The first member loses its grant and stops
// serving; control misses the second member's renewals and repairs the group with the spare of its
// domain under a new fencing number. Clients get responses again.
#[actix_rt::test]
async fn a_group_is_repaired_with_the_spare_when_a_member_dies() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let lost = member_name(&before, 1);

    let upstream = find_engine(&mut fleet, &lost);
    upstream.agent.kill();
    upstream.server = None;
    let after = operator
        .wait_for("a repaired group", |status| {
            group_fence(status) > group_fence(&before) && operator::is_serving(status, "group-1")
        })
        .await;
    let response = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;

    assert!((0..2).all(|index| member_name(&after, index) != lost));
    assert!(response.is_complete_success(), "{response:?}");
}

// The second member's process is paused for longer than its grant. Requests are rejected as not run
// or served by the repaired group, never by the group with the paused member; after it resumes,
// that member is no longer in the group.
#[actix_rt::test]
async fn a_frozen_member_takes_its_group_out_of_service() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let paused = member_name(&before, 1);
    let first = member_name(&before, 0);

    find_engine(&mut fleet, &paused).agent.pause();
    actix_rt::time::sleep(hyssopfork_wire::timing::GROUP_GRANT * 2).await;
    let completed = find_engine(&mut fleet, &first).fake.counts().completed;
    let response = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;
    let ran = find_engine(&mut fleet, &first).fake.counts().completed - completed;
    let after = operator
        .wait_for("a repaired group", |status| group_fence(status) > group_fence(&before))
        .await;
    find_engine(&mut fleet, &paused).agent.resume();

    assert!(response.is_complete_success() || response.says_not_run(), "{response:?}");
    assert!(ran == 0 || response.is_complete_success(), "{ran} ran, yet {response:?}");
    assert!((0..2).all(|index| member_name(&after, index) != paused));
}

// A second member of the group dies right after a repair, with no spare left. Further requests are
// rejected immediately as not run, and none hangs.
#[actix_rt::test]
async fn requests_after_a_second_loss_are_rejected_as_not_run() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let lost = member_name(&before, 1);
    find_engine(&mut fleet, &lost).agent.kill();
    let repaired = operator
        .wait_for("a repaired group", |status| group_fence(status) > group_fence(&before))
        .await;

    let second = member_name(&repaired, 1);
    find_engine(&mut fleet, &second).agent.kill();
    operator.wait_for("no serving group", |status| !operator::is_serving(status, "group-1")).await;
    actix_rt::time::sleep(hyssopfork_wire::timing::PRESENCE_TIMEOUT).await;
    let response = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;

    assert!(!response.is_complete_success(), "{response:?}");
    assert!(response.says_not_run(), "{response:?}");
    assert!(response.retry_after.is_some(), "{response:?}");
}
