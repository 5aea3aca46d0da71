//! Clients that disconnect, invalid requests, and a second stop signal.

use crate::support::{client, fleet, operator};
use bytes::Bytes;
use hyssopfork_exchange::connection;
use hyssopfork_wire::patch;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Tokens of a stream that outlasts every test of this file.
const LONG_STREAM_TOKENS: u32 = 5_000;

async fn start_fleet() -> fleet::Fleet {
    let plan = fleet::Plan { engines: 2, services: 1, entries: 1, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| operator::all_hold_current_view(status, 4))
        .await;
    operator.wait_for("a serving group", |status| operator::is_serving(status, "group-1")).await;
    fleet
}

/// Opens a long stream and reads its first part.
async fn start_stream(entry: SocketAddr) -> connection::Connection {
    let headers = [("authorization".to_owned(), format!("Bearer {}", fleet::TOKEN))];
    let request =
        connection::Request { method: "POST", path: "/v1/completions", headers: &headers };
    let mut connection = connection::Connection::connect(entry).await.unwrap();
    connection
        .send(&request, Bytes::from(client::completion_body(LONG_STREAM_TOKENS)))
        .await
        .unwrap();
    assert_eq!(connection.read_head().await.unwrap().status, 200);
    assert!(connection.read_part().await.unwrap().is_some());
    connection
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < operator::WAIT_TIMEOUT, "never seen: {what}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

fn send_raw(entry: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(operator::WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut response = Vec::new();
    let mut part = [0; 4_096];
    let read = stream.read(&mut part).unwrap_or(0);
    response.extend_from_slice(&part[..read]);
    String::from_utf8_lossy(&response).into_owned()
}

// A client disconnects in the middle of a long stream: the entry cancels the attempt, the agent
// closes the engine's connection, and the engine's slot is free again.
#[actix_rt::test]
async fn work_of_a_disconnected_client_is_cancelled_upstream() {
    let fleet = start_fleet().await;
    let stream = start_stream(fleet.entry_addresses[0]).await;

    drop(stream);

    let cancelled = || fleet.engines.iter().any(|engine| engine.fake.counts().cancelled == 1);
    wait_until("the engine's work is cancelled", cancelled).await;
    assert!(fleet.engines.iter().all(|engine| engine.fake.running() == 0));
}

// An operator stops an entry while long streams run and then sends the signal again because
// draining takes too long: the process ends immediately.
#[actix_rt::test]
async fn a_second_signal_stops_the_process_immediately() {
    let mut fleet = start_fleet().await;
    let _stream = start_stream(fleet.entry_addresses[0]).await;

    fleet.entries[0].terminate();
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let early = fleet.entries[0].exit_code();
    fleet.entries[0].terminate();
    let start = Instant::now();
    let mut code = None;
    while code.is_none() && start.elapsed() < operator::WAIT_TIMEOUT {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        code = fleet.entries[0].exit_code();
    }

    assert_eq!(early, None);
    assert_eq!(code, Some(0));
}

// Invalid requests are rejected immediately as not run, and the entry keeps serving.
#[actix_rt::test]
async fn invalid_requests_are_rejected_as_not_run() {
    let fleet = start_fleet().await;
    let entry = fleet.entry_addresses[0];

    let garbage = send_raw(entry, b"NOT HTTP AT ALL\r\n\r\n");
    let unauthorized = send_raw(entry, b"GET /status HTTP/1.1\r\nhost: x\r\n\r\n");
    let unrouted = client::get(entry, "/nowhere").await;
    let empty_key = client::post(entry, "/lodge", Some(""), "{\"reference\":\"r\"}").await;
    let valid = client::post(entry, "/lodge", Some("key"), "{\"reference\":\"r\"}").await;

    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    assert!(unauthorized.starts_with("HTTP/1.1 401"), "{unauthorized}");
    assert!(unauthorized.contains("\"ran\":\"not_run\""), "{unauthorized}");
    assert_eq!(unrouted.status.map(|status| status.as_u16()), Some(404));
    assert!(unrouted.says_not_run(), "{unrouted:?}");
    assert_eq!(empty_key.status.map(|status| status.as_u16()), Some(400));
    assert!(empty_key.says_not_run(), "{empty_key:?}");
    assert!(valid.is_complete_success(), "{valid:?}");
}
