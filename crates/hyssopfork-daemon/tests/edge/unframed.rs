//! Responses with neither a length nor chunks, which end with their connection.

use crate::support::Edge;
use crate::{plain_upstream, support};

const DECLARATION: &str = r#"{"Version":3,
 "Routes":[
  {"Name":"r1","Host":"host","PathPrefix":"/check/","Kind":"idempotent","TimeoutMs":3000,
   "Service":"s1","MaxAttempts":2},
  {"Name":"r2","Host":"host","PathPrefix":"/write/","Kind":"streaming","TimeoutMs":3000,
   "Service":"s1","MaxAttempts":1,"GapTargetMs":200}],
 "Services":[{"Name":"s1","ConnectionLimit":50}],
 "Tenants":[{"Name":"t1","ApiKeys":["key"]}]}"#;

fn start_serving(name: &str) -> Edge {
    let (upstream, _) = plain_upstream::start();
    let edge = Edge::start(name);
    let declare = support::request("PUT", "/configuration", "", DECLARATION);
    edge.call_until(edge.control_address, &declare, 200);
    edge.call_until(edge.control_address, &plain_upstream::registration(upstream, 1), 200);
    edge.call_until(edge.client_address, &get("/check/quick"), 200);
    edge
}

fn get(path: &str) -> String {
    let headers = "Hyssopfork-Credential: key\r\nHyssopfork-Attempt-Id: a1\r\n";
    support::request("GET", path, headers, "")
}

/// Guards against rejecting responses and streams that end with their connection, or losing a part of
/// them.
#[test]
fn unframed_responses_arrive_complete() {
    let edge = start_serving("unframed");

    let response = support::call(edge.client_address, &get("/check/unframed"));
    let stream = support::call(edge.client_address, &get("/write/unframed-events"));

    assert_eq!(response.map(|it| it.body).as_deref(), Some("fine"));
    let events = stream.map(|it| it.body);
    assert_eq!(events.as_deref(), Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
}

/// Guards against ending a stream as complete that its upstream broke off: inside an event, or before the
/// first one.
#[test]
fn a_broken_unframed_stream_is_never_complete() {
    let edge = start_serving("unframed-broken");

    for path in ["/write/unframed-events-broken", "/write/unframed-no-events"] {
        let response = support::call(edge.client_address, &get(path));

        let is_complete = response.is_some_and(|response| response.status == 200);
        assert!(!is_complete, "{path} was passed on as a complete stream");
    }
}
