//! The fake service counts the requests that it ran.

mod support;

use hyssopfork_test_support::{http, service};
use std::sync::Arc;
use support::call;

fn start() -> (http::Server, Arc<service::Service>) {
    let listener = http::free_listener().expect("a free port");
    service::start(listener, service::Profile::default()).expect("the service starts")
}

#[actix_rt::test]
async fn requests_are_counted_by_reference() {
    let (server, service) = start();
    let body = r#"{"reference":"lodgement-1"}"#;

    call("POST", server.address(), "/lodgements", body).await;
    let answer = call("POST", server.address(), "/lodgements", body).await.expect("answered");

    assert_eq!(answer.status, 201);
    assert_eq!(answer.json()["reference"], "lodgement-1");
    assert_eq!(service.runs_by_reference()["lodgement-1"], 2);
}

#[actix_rt::test]
async fn request_whose_response_is_cut_off_is_counted() {
    let (server, service) = start();
    call("POST", server.address(), "/fake/cut?after=3", "").await;

    let answer = call("POST", server.address(), "/lodgements", r#"{"reference":"a"}"#).await;

    assert!(answer.is_none());
    assert_eq!(service.runs_by_reference()["a"], 1);
}

#[actix_rt::test]
async fn get_requests_are_not_counted() {
    let (server, service) = start();

    let answer = call("GET", server.address(), "/status?reference=x", "").await;

    assert_eq!(answer.expect("answered").json()["reference"], "x");
    assert!(service.runs_by_reference().is_empty());
}

#[actix_rt::test]
async fn crashed_service_sends_no_response() {
    let (server, _) = start();
    call("POST", server.address(), "/fake/die?millis=60000", "").await;

    let answer = call("GET", server.address(), "/health", "").await;

    assert!(answer.is_none());
}
