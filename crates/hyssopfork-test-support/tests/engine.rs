//! The fake engine behaves as the upstream interface requires of engines.

mod support;

use hyssopfork_test_support::{engine, fault_injection, http};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::{Answer, call, send};

fn start(profile: engine::Profile) -> (http::Server, Arc<engine::Engine>) {
    let listener = http::free_listener().expect("a free port");
    engine::start(listener, profile).expect("the engine starts")
}

fn quick() -> engine::Profile {
    engine::Profile {
        token_time: Duration::from_millis(1),
        load_time: Duration::from_millis(20),
        downtime: Duration::from_millis(100),
        ..Default::default()
    }
}

async fn load(address: SocketAddr, fence: u64) -> Option<Answer> {
    let order = json!({
        "fence": fence, "group": "g", "model": "m", "rank": 0, "members": ["a"],
    });
    call("POST", address, "/orders/load", &order.to_string()).await
}

fn completion(prompt: &str, tokens: u64) -> String {
    json!({ "prompt": prompt, "max_tokens": tokens, "stream": true }).to_string()
}

const PATH: &str = "/v1/completions";

#[actix_rt::test]
async fn stream_is_complete_and_depends_on_the_prompt_alone() {
    let (one, _) = start(quick());
    let (other, _) = start(quick());
    load(one.address(), 1).await;
    load(other.address(), 1).await;
    let body = completion("emissions [#r7]", 3);

    let first = call("POST", one.address(), PATH, &body).await.expect("answered").body;
    let second = call("POST", other.address(), PATH, &body).await.expect("answered").body;

    assert_eq!(first, second);
    assert!(first.contains("\" r7.0\"") && first.contains("\" r7.2\""), "{first}");
    assert!(first.ends_with("data: [DONE]\n\n"), "{first}");
}

#[actix_rt::test]
async fn resumed_stream_is_the_remainder_of_the_complete_stream() {
    let (server, _) = start(quick());
    load(server.address(), 1).await;
    let body = completion("a [#r]", 5);
    let whole = call("POST", server.address(), PATH, &body).await.expect("answered").body;

    let headers = [("hyssopfork-resume-from".to_owned(), "2".to_owned())];
    let answer = send("POST", server.address(), PATH, &body, &headers).await;

    let rest = answer.expect("answered").body;
    assert!(whole.ends_with(&rest));
    assert!(rest.contains("r.2") && !rest.contains("r.1"), "{rest}");
}

#[actix_rt::test]
async fn engine_without_a_model_rejects_requests_and_counts_them() {
    let (server, engine) = start(quick());

    let answer = call("POST", server.address(), PATH, &completion("a", 1)).await;

    assert_eq!(answer.expect("answered").status, 503);
    assert_eq!(engine.counts().misdirected, 1);
}

#[actix_rt::test]
async fn stale_fencing_number_is_rejected_by_an_engine_that_checks_it() {
    let (server, engine) = start(quick());
    load(server.address(), 5).await;

    let answer = load(server.address(), 4).await;

    assert_eq!(answer.expect("answered").status, 409);
    assert_eq!(engine.counts().stale_orders, 1);
}

#[actix_rt::test]
async fn stale_fencing_number_is_accepted_by_an_engine_that_ignores_it() {
    let (server, _) = start(engine::Profile { checks_fence: false, ..quick() });
    load(server.address(), 5).await;

    let answer = load(server.address(), 4).await;

    assert_eq!(answer.expect("answered").status, 200);
    let health = call("GET", server.address(), "/health", "").await.expect("answered").json();
    assert_eq!(health["loaded"], 4);
}

#[actix_rt::test]
async fn newer_fencing_number_for_the_same_model_keeps_the_weights() {
    let (server, engine) = start(quick());
    load(server.address(), 1).await;

    load(server.address(), 2).await;

    assert_eq!(engine.counts().loads, 1);
}

#[actix_rt::test]
async fn overloaded_cold_engine_crashes_and_restarts_without_a_model() {
    let (server, engine) = start(engine::Profile { cold_capacity: 1, ..quick() });
    load(server.address(), 1).await;
    let health = call("GET", server.address(), "/health", "").await.expect("answered").json();
    let bodies = [completion("a", 200), completion("b", 200)];

    let (first, second) = futures::join!(
        call("POST", server.address(), PATH, &bodies[0]),
        call("POST", server.address(), PATH, &bodies[1]),
    );

    assert!(first.is_none() && second.is_none());
    assert_eq!(engine.counts().crashes, 1);
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    let after = call("GET", server.address(), "/health", "")
        .await
        .expect("the engine has restarted")
        .json();
    assert_ne!(after["incarnation"], health["incarnation"]);
    assert_eq!(after["loaded"], serde_json::Value::Null);
}

#[actix_rt::test]
async fn warm_engine_handles_more_concurrent_requests_than_a_cold_one() {
    let (server, engine) =
        start(engine::Profile { cold_capacity: 1, warmup_requests: 1, ..quick() });
    load(server.address(), 1).await;
    call("POST", server.address(), PATH, &completion("a", 1)).await;
    let body = completion("b", 5);

    let (first, second) = futures::join!(
        call("POST", server.address(), PATH, &body),
        call("POST", server.address(), PATH, &body),
    );

    assert!(first.is_some() && second.is_some());
    assert_eq!(engine.counts().crashes, 0);
}

#[actix_rt::test]
async fn only_the_next_response_is_cut_off() {
    let (server, _) = start(quick());
    load(server.address(), 1).await;
    call("POST", server.address(), "/fake/cut?after=2", "").await;
    let body = completion("a", 5);

    let cut = call("POST", server.address(), PATH, &body).await;
    let next = call("POST", server.address(), PATH, &body).await;

    assert!(cut.is_none());
    assert!(next.is_some());
}

#[actix_rt::test]
async fn stalled_engine_sends_no_response_until_healed() {
    let (server, engine) = start(quick());
    engine.inject(fault_injection::Command::Stall);

    let stalled = actix_rt::time::timeout(
        Duration::from_millis(60),
        call("GET", server.address(), "/health", ""),
    );

    assert!(stalled.await.is_err());
    engine.inject(fault_injection::Command::Heal);
    assert!(call("GET", server.address(), "/health", "").await.is_some());
}

#[actix_rt::test]
async fn request_of_a_disconnected_client_is_cancelled() {
    let (server, engine) = start(quick());
    load(server.address(), 1).await;
    let body = completion("a", 10_000);

    let gone = actix_rt::time::timeout(
        Duration::from_millis(100),
        call("POST", server.address(), PATH, &body),
    );

    assert!(gone.await.is_err());
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(engine.counts().cancelled, 1);
    assert_eq!(engine.running(), 0);
}
