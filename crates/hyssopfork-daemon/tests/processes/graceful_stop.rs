//! Graceful stops under load.

use crate::support::{client, daemon, fleet, operator};
use futures::future;
use hyssopfork_wire::patch;
use std::time::{Duration, Instant};

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

async fn wait_for_exit(daemon: &mut daemon::Daemon) -> i32 {
    let start = Instant::now();
    loop {
        if let Some(code) = daemon.exit_code() {
            return code;
        }
        assert!(
            start.elapsed() < operator::WAIT_TIMEOUT,
            "the process did not exit: {}",
            daemon.read_log()
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn run_streams(address: std::net::SocketAddr) -> Vec<client::Response> {
    let bodies: Vec<String> = (0..4).map(|_| client::completion_body(150)).collect();
    let sends = bodies.iter().map(|body| client::post(address, "/v1/completions", None, body));
    future::join_all(sends).await
}

// An entry is asked to stop while clients have long streams open: each stream completes, and only
// then does the process exit, with code 0.
#[actix_rt::test]
async fn a_stopping_entry_aborts_no_stream() {
    let (mut fleet, _) = start_fleet().await;
    let running = actix_rt::spawn(run_streams(fleet.entry_addresses[0]));

    actix_rt::time::sleep(Duration::from_millis(150)).await;
    fleet.entries[0].terminate();
    let responses = running.await.unwrap();
    let code = wait_for_exit(&mut fleet.entries[0]).await;

    assert!(responses.iter().all(client::Response::is_complete_success), "{responses:?}");
    assert_eq!(code, 0);
}

// The agent of a group's first member is asked to stop while clients have long streams open: each
// stream completes, the agent gets no new work, and the process exits with code 0.
#[actix_rt::test]
async fn a_stopping_agent_aborts_no_stream() {
    let (mut fleet, operator) = start_fleet().await;
    let first = operator.status().await.view.placements[&"group-1".into()].members[0].to_string();
    let running = actix_rt::spawn(run_streams(fleet.entry_addresses[0]));

    actix_rt::time::sleep(Duration::from_millis(150)).await;
    let upstream = fleet.engines.iter_mut().find(|upstream| upstream.name == first).unwrap();
    upstream.agent.terminate();
    let responses = running.await.unwrap();
    let code = wait_for_exit(&mut upstream.agent).await;

    assert!(responses.iter().all(client::Response::is_complete_success), "{responses:?}");
    assert_eq!(code, 0);
}

// The leading control instance is asked to stop: it hands over leadership, the leases stay valid,
// and clients notice nothing.
#[actix_rt::test]
async fn a_stopping_leader_hands_over() {
    let (mut fleet, operator) = start_fleet().await;
    let leader = operator.status().await.leader;
    let index = (0..3).find(|index| format!("control-{}", index + 1) == leader.as_str()).unwrap();

    fleet.controls[index].terminate();
    let code = wait_for_exit(&mut fleet.controls[index]).await;
    let status = operator.status().await;
    let responses = run_streams(fleet.entry_addresses[1]).await;

    assert_eq!(code, 0);
    assert_ne!(status.leader, leader);
    assert!(responses.iter().all(client::Response::is_complete_success), "{responses:?}");
}
