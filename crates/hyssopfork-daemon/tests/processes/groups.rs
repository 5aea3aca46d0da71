//! Serving groups whose members are killed or freeze.

use crate::support::{client, fleet, operator};
use hyssopfork_test_support::engine;
use hyssopfork_wire::{control, number, patch};

async fn start_fleet() -> (fleet::Fleet, operator::Operator) {
    let fleet = fleet::Fleet::start(fleet::Plan::default());
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("everybody present", |status| operator::all_hold_current_view(status, 7))
        .await;
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    (fleet, operator)
}

fn group_fence(status: &control::Status) -> number::Fence {
    status.view.placements[&"group-1".into()].fence
}

fn member_name(status: &control::Status, place: usize) -> String {
    status.view.placements[&"group-1".into()].members[place].to_string()
}

fn find_engine<'a>(
    fleet: &'a mut fleet::Fleet,
    name: &str,
) -> &'a mut fleet::Upstream<engine::Engine> {
    fleet.engines.iter_mut().find(|upstream| upstream.name == name).unwrap()
}

// The caller sees answers again soon after a member's instance dies. The second member's agent and
// engine are killed; the first loses its grant and stops serving; control misses the member's
// renewals and mends the group with the domain's spare under a new fencing number.
#[actix_rt::test]
async fn a_group_is_repaired_with_the_spare_when_a_member_dies() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let lost = member_name(&before, 1);

    let upstream = find_engine(&mut fleet, &lost);
    upstream.agent.kill();
    upstream.server = None;
    let after = operator
        .wait_for("a mended group", |status| {
            group_fence(status) > group_fence(&before) && operator::is_serving(status, "group-1")
        })
        .await;
    let answer = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;

    assert!((0..2).all(|place| member_name(&after, place) != lost));
    assert!(answer.is_complete_success(), "{answer:?}");
}

// The caller never gets an answer from a group whose member is frozen. The second member's process
// freezes past its grant; requests are refused with the truth that they did not run, or answered
// by the mended group; the frozen member, thawed, is not in the group any more.
#[actix_rt::test]
async fn a_frozen_member_takes_its_group_out_of_service() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let frozen = member_name(&before, 1);
    let first = member_name(&before, 0);

    find_engine(&mut fleet, &frozen).agent.pause();
    actix_rt::time::sleep(hyssopfork_wire::timing::GROUP_GRANT * 2).await;
    let completed = find_engine(&mut fleet, &first).fake.counts().completed;
    let refused = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;
    let ran = find_engine(&mut fleet, &first).fake.counts().completed - completed;
    let after = operator
        .wait_for("a mended group", |status| group_fence(status) > group_fence(&before))
        .await;
    find_engine(&mut fleet, &frozen).agent.resume();

    assert!(refused.is_complete_success() || refused.says_not_run(), "{refused:?}");
    assert!(ran == 0 || refused.is_complete_success(), "{ran} ran, yet {refused:?}");
    assert!((0..2).all(|place| member_name(&after, place) != frozen));
}

// The caller's stream is cut when a second member of the group dies right after a repair, with no
// spare left; requests after that are refused at once as not run, none hangs.
#[actix_rt::test]
async fn requests_after_a_second_loss_are_rejected_as_not_run() {
    let (mut fleet, operator) = start_fleet().await;
    let before = operator.status().await;
    let lost = member_name(&before, 1);
    find_engine(&mut fleet, &lost).agent.kill();
    let mended = operator
        .wait_for("a mended group", |status| group_fence(status) > group_fence(&before))
        .await;

    let second = member_name(&mended, 1);
    find_engine(&mut fleet, &second).agent.kill();
    operator.wait_for("no serving group", |status| !operator::is_serving(status, "group-1")).await;
    actix_rt::time::sleep(hyssopfork_wire::timing::PRESENCE_TIMEOUT).await;
    let refused = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(4),
    )
    .await;

    assert!(!refused.is_complete_success(), "{refused:?}");
    assert!(refused.says_not_run(), "{refused:?}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
}
