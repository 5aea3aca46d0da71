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

const GOOD: &str = "HTTP/1.1 200 OK\r\nHyssopfork-Attempt-Id: a1\r\n\
    Hyssopfork-Server-Signature: s\r\nContent-Length: 4\r\n\r\nfine";

const KEY: &str = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";

fn registration(address: std::net::SocketAddr, sequence: u32) -> String {
    let body = format!(
        r#"{{"Service":"s1","Address":"{address}","Zone":"z1","Slots":4,"State":"ready",
            "Sequence":{sequence},"born":1}}"#
    );
    support::request("PUT", "/instances/i-1", "", &body)
}

/// Starts a process that leads, with a declaration and one upstream.
fn serving(name: &str, upstream: std::net::SocketAddr) -> Edge {
    let edge = Edge::start(name);
    edge.until(edge.control, &support::request("PUT", "/configuration", "", DECLARATION), 200);
    edge.until(edge.control, &registration(upstream, 1), 200);
    edge.until(edge.callers, &support::request("GET", "/check/x", KEY, ""), 200);
    edge
}

#[test]
fn a_caller_gets_the_upstreams_answer() {
    let (upstream, _) = support::upstream(GOOD);
    let edge = serving("answer", upstream);

    let answer = support::call(edge.callers, &support::request("POST", "/lodge/x", KEY, "{}"));

    let answer = answer.expect("it is whole");
    assert_eq!((answer.status, answer.body.as_str()), (200, "fine"));
    assert!(answer.head.to_lowercase().contains("hyssopfork-server-signature: s"));
    assert_eq!(
        support::call(edge.readiness, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .map(|it| it.status),
        Some(200)
    );
}

#[test]
fn what_was_declared_is_read_back_and_faults_are_refused() {
    let (upstream, _) = support::upstream(GOOD);
    let edge = serving("declared", upstream);

    let read = support::call(edge.control, "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n");
    let broken = DECLARATION.replace("\"Service\":\"s1\"", "\"Service\":\"s9\"");
    let refused =
        support::call(edge.control, &support::request("PUT", "/configuration", "", &broken));
    let older = support::call(
        edge.control,
        &support::request("PUT", "/configuration", "", &DECLARATION.replace(":3,", ":2,")),
    );

    assert_eq!(read.map(|answer| answer.body), Some(DECLARATION.to_owned()));
    let refused = refused.expect("it is whole");
    assert_eq!(refused.status, 400);
    assert!(refused.body.contains("s9"), "{}", refused.body);
    assert_eq!(older.map(|answer| answer.status), Some(200));
}

/// Guards against reporting a non-idempotent request as not run, or sending it again, after the
/// upstream responded with bytes that aren't HTTP.
#[test]
fn a_lodgement_whose_answer_is_no_answer_may_have_run() {
    let (upstream, count) = support::upstream("garbage\r\n\r\n");
    let edge = Edge::start("garbage");
    edge.until(edge.control, &support::request("PUT", "/configuration", "", DECLARATION), 200);
    edge.until(edge.control, &registration(upstream, 1), 200);

    let answer = edge.until(edge.callers, &support::request("POST", "/lodge/x", KEY, ""), 502);

    assert!(answer.body.contains("may_have_run"), "{}", answer.body);
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[test]
fn strangers_and_strays_are_told_so() {
    let (upstream, count) = support::upstream(GOOD);
    let edge = serving("strays", upstream);
    let before = count.load(Ordering::SeqCst);

    let stranger = support::call(edge.callers, &support::request("GET", "/check/x", "", ""));
    let stray = support::call(edge.callers, &support::request("GET", "/nowhere/", KEY, ""));
    let smuggled = support::call(
        edge.callers,
        "POST /check/x HTTP/1.1\r\nHost: host\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    );

    assert_eq!(stranger.map(|answer| answer.status), Some(401));
    assert_eq!(stray.map(|answer| answer.status), Some(404));
    assert_eq!(smuggled.map(|answer| answer.status), Some(400));
    assert_eq!(count.load(Ordering::SeqCst), before);
}

#[test]
fn a_stop_says_not_ready_finishes_and_ends_well() {
    let (upstream, _) = support::upstream(GOOD);
    let mut edge = serving("stop", upstream);

    edge.terminate();
    edge.until(edge.readiness, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", 503);
    let last = support::call(edge.callers, &support::request("GET", "/check/x", KEY, ""));

    let last = last.expect("what comes meanwhile is served");
    assert_eq!(last.status, 200);
    assert!(last.head.to_lowercase().contains("connection: close"));
    assert!(edge.ended());
}

#[test]
fn metrics_tell_of_answers_and_refusals() {
    let (upstream, _) = support::upstream(GOOD);
    let edge = serving("metrics", upstream);
    support::call(edge.callers, &support::request("GET", "/nowhere/", KEY, ""));

    let metrics = support::call(edge.metrics, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");

    let text = metrics.expect("it is whole").body;
    assert!(text.contains("team=\"t1\""), "{text}");
    assert!(text.contains("no_route"), "{text}");
}
