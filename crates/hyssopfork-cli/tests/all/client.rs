//! Failover between control instances, and handling of lost responses.

use crate::support::{Control, run, status};
use hyssopfork_cli::error;
use hyssopfork_test_support::relay;
use hyssopfork_wire::{control, number, patch};
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::net::TcpSocket;

fn respond(request: &control::Request) -> control::Response {
    match request {
        control::Request::Status => control::Response::Status(Box::new(status())),
        control::Request::Submit(_) => {
            control::Response::Submitted(patch::Outcome::Accepted(number::Configuration(2)))
        }
        _ => control::Response::Unavailable,
    }
}

/// A port that refuses connections. It stays bound, so that no other test can listen on it.
struct ClosedPort(TcpSocket);

impl ClosedPort {
    fn new() -> ClosedPort {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        ClosedPort(socket)
    }
}

impl fmt::Display for ClosedPort {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0.local_addr().expect("it is bound"))
    }
}

fn identifiers(control: &Control) -> Vec<String> {
    let identifier = |request: control::Request| match request {
        control::Request::Submit(patch) => Some(patch.identifier.0),
        _ => None,
    };
    control.requests().into_iter().filter_map(identifier).collect()
}

#[actix_rt::test]
async fn unreachable_instance_is_skipped() {
    let (leader, _) = Control::start(respond).await;

    let closed = ClosedPort::new();
    let report = run(&format!("group list --control {closed},{leader}")).await;

    assert!(report.expect("answered").text.contains("summaries-1"));
}

#[actix_rt::test]
async fn client_follows_a_redirect_to_the_leader() {
    let (leader, _) = Control::start(respond).await;
    let (follower, _) = Control::start(move |_| control::Response::NotLeader(Some(leader))).await;

    let report = run(&format!("group list --control {follower}")).await;

    assert!(report.expect("answered").text.contains("summaries-1"));
}

// The leader applies a patch and the connection breaks before its response. The client must neither
// give up nor submit a new patch: the same identifier is applied at most once.
#[actix_rt::test]
async fn patch_is_resent_with_the_same_identifier_after_a_lost_response() {
    let relay: Arc<Mutex<Option<relay::Relay>>> = Arc::default();
    let cut = relay.clone();
    let calls = AtomicU32::new(0);
    let (leader, control) = Control::start(move |request| {
        if calls.fetch_add(1, Ordering::SeqCst) == 0 {
            cut.lock().expect("no panic").as_ref().expect("started").close_connections();
        }
        respond(request)
    })
    .await;
    let started = relay::Relay::start(leader).expect("the relay starts");
    let address = started.address();
    *relay.lock().expect("no panic") = Some(started);

    let report = run(&format!("zone out lekki --base 1 --control {address}")).await;

    assert!(report.expect("answered in the end").text.contains("configuration 2"));
    let sent = identifiers(&control);
    assert_eq!(sent.len(), 2);
    assert_eq!(sent[0], sent[1]);
}

#[actix_rt::test]
async fn patch_without_an_outcome_reports_its_identifier() {
    let (leader, _) = Control::start(|_| control::Response::Unknown).await;
    let arguments =
        format!("zone out lekki --base 1 --identifier p-1 --timeout-ms 300 --control {leader}");

    let error = run(&arguments).await.expect_err("no outcome came");

    assert_eq!(error.exit_code(), 6);
    assert!(error.to_string().contains("--identifier p-1"), "{error}");
}

#[actix_rt::test]
async fn patch_that_reached_no_instance_is_not_reported_as_unknown() {
    let closed = ClosedPort::new();
    let arguments = format!("zone out lekki --base 1 --timeout-ms 300 --control {closed}");

    let error = run(&arguments).await.expect_err("nobody is there");

    assert_eq!(error.exit_code(), 5);
    assert!(error.to_string().contains("check --control"), "{error}");
}

#[actix_rt::test]
async fn other_protocol_version_fails_without_retry() {
    let (leader, _) = Control::start(|_| control::Response::Protocol { version: 9 }).await;

    let error = run(&format!("status --control {leader}")).await.expect_err("it differs");

    assert!(matches!(error, error::Error::Protocol(9)), "{error}");
}

#[actix_rt::test]
async fn command_without_control_instances_fails_and_names_the_option() {
    let error = run("status").await.expect_err("none is named");

    assert_eq!(error.exit_code(), 2);
    assert!(error.to_string().contains("--control"), "{error}");
}
