//! End-to-end path of an edge process: declaration, registration, requests and shutdown.

use crate::support::{self, Edge};
use std::sync::atomic::Ordering;

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[
  {"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":2000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"r2","Host":"host","PathPrefix":"/lodge/","Kind":"non_idempotent","TimeoutMs":2000,
   "Service":"s1","MaxAttempts":1}],
 "Services":[{"Name":"s1","ConnectionLimit":50}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: a1\r\n\
    Hyssopfork-Server-Signature: s\r\nContent-Length: 4\r\n\r\nfine";

const CREDENTIAL_HEADERS: &str = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";

fn registration(address: std::net::SocketAddr, sequence: u32) -> String {
    let body = format!(
        r#"{{"Service":"s1","Address":"{address}","Zone":"z1","Slots":4,"State":"ready",
            "Sequence":{sequence},"born":1}}"#
    );
    support::request("PUT", "/instances/i-1", "", &body)
}

/// Starts a process that leads, with a declaration and one upstream.
fn start_serving(name: &str, upstream: std::net::SocketAddr) -> Edge {
    let edge = Edge::start(name);
    edge.call_until(
        edge.control_address,
        &support::request("PUT", "/configuration", "", DECLARATION),
        200,
    );
    edge.call_until(edge.control_address, &registration(upstream, 1), 200);
    edge.call_until(
        edge.client_address,
        &support::request("GET", "/check/x", CREDENTIAL_HEADERS, ""),
        200,
    );
    edge
}

#[test]
fn a_client_receives_the_upstreams_response() {
    let (upstream, _) = support::upstream(OK_RESPONSE);
    let edge = start_serving("answer", upstream);

    let response = support::call(
        edge.client_address,
        &support::request("POST", "/lodge/x", CREDENTIAL_HEADERS, "{}"),
    );

    let response = response.expect("the response is complete");
    assert_eq!((response.status, response.body.as_str()), (200, "fine"));
    assert!(response.head.to_lowercase().contains("hyssopfork-server-signature: s"));
    assert_eq!(
        support::call(edge.readiness_address, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .map(|it| it.status),
        Some(200)
    );
}

#[test]
fn a_declaration_is_read_back_and_an_invalid_one_is_rejected() {
    let (upstream, _) = support::upstream(OK_RESPONSE);
    let edge = start_serving("declared", upstream);

    let read =
        support::call(edge.control_address, "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n");
    let broken = DECLARATION.replace("\"Service\":\"s1\"", "\"Service\":\"s9\"");
    let rejected = support::call(
        edge.control_address,
        &support::request("PUT", "/configuration", "", &broken),
    );
    let older = support::call(
        edge.control_address,
        &support::request("PUT", "/configuration", "", &DECLARATION.replace(":3,", ":2,")),
    );

    assert_eq!(read.map(|response| response.body), Some(DECLARATION.to_owned()));
    let rejected = rejected.expect("the response is complete");
    assert_eq!(rejected.status, 400);
    assert!(rejected.body.contains("s9"), "{}", rejected.body);
    assert_eq!(older.map(|response| response.status), Some(200));
}

/// Guards against reporting a non-idempotent request as not run, or sending it again, after the
/// upstream responded with bytes that aren't HTTP.
#[test]
fn a_non_idempotent_request_with_an_invalid_response_may_have_run() {
    let (upstream, count) = support::upstream("garbage\r\n\r\n");
    let edge = Edge::start("garbage");
    edge.call_until(
        edge.control_address,
        &support::request("PUT", "/configuration", "", DECLARATION),
        200,
    );
    edge.call_until(edge.control_address, &registration(upstream, 1), 200);

    let response = edge.call_until(
        edge.client_address,
        &support::request("POST", "/lodge/x", CREDENTIAL_HEADERS, ""),
        502,
    );

    assert!(response.body.contains("may_have_run"), "{}", response.body);
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn requests_without_credential_or_route_are_rejected() {
    let (upstream, count) = support::upstream(OK_RESPONSE);
    let edge = start_serving("strays", upstream);
    let before = count.load(Ordering::SeqCst);

    let without_credential =
        support::call(edge.client_address, &support::request("GET", "/check/x", "", ""));
    let without_route = support::call(
        edge.client_address,
        &support::request("GET", "/nowhere/", CREDENTIAL_HEADERS, ""),
    );
    let ambiguous_length = support::call(
        edge.client_address,
        "POST /check/x HTTP/1.1\r\nHost: host\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    );

    assert_eq!(without_credential.map(|response| response.status), Some(401));
    assert_eq!(without_route.map(|response| response.status), Some(404));
    assert_eq!(ambiguous_length.map(|response| response.status), Some(400));
    assert_eq!(count.load(Ordering::SeqCst), before);
}

#[test]
fn a_stopping_process_reports_not_ready_and_serves_until_it_exits() {
    let (upstream, _) = support::upstream(OK_RESPONSE);
    let mut edge = start_serving("stop", upstream);

    edge.terminate();
    edge.call_until(edge.readiness_address, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 503);
    let last = support::call(
        edge.client_address,
        &support::request("GET", "/check/x", CREDENTIAL_HEADERS, ""),
    );

    let last = last.expect("requests are served during shutdown");
    assert_eq!(last.status, 200);
    assert!(last.head.to_lowercase().contains("connection: close"));
    assert!(edge.wait_for_exit());
}

#[test]
fn metrics_count_responses_and_rejections() {
    let (upstream, _) = support::upstream(OK_RESPONSE);
    let edge = start_serving("metrics", upstream);
    support::call(
        edge.client_address,
        &support::request("GET", "/nowhere/", CREDENTIAL_HEADERS, ""),
    );

    let metrics = support::call(edge.metrics_address, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");

    let text = metrics.expect("the response is complete").body;
    assert!(text.contains("team=\"t1\""), "{text}");
    assert!(text.contains("no_route"), "{text}");
}
