//! Upstreams whose connection breaks before the response's head or within its body.

use crate::support::{client, fleet, operator};
use hyssopfork_test_support::fault_injection;
use hyssopfork_wire::patch;
use std::time::{Duration, Instant};

/// Restarts of idle engines in one run.
const IDLE_RESTARTS: usize = 10;

async fn start_fleet(engines: usize) -> fleet::Fleet {
    let plan = fleet::Plan { engines, services: 1, ..fleet::Plan::default() };
    let fleet = fleet::Fleet::start(plan);
    let operator = fleet.operator();
    let declare = patch::Operation::Declare(Box::new(fleet::declaration()));
    operator.submit("declare", 0, vec![declare]).await;
    operator
        .wait_for("all instances present", |status| {
            operator::all_hold_current_view(status, engines + 3)
        })
        .await;
    if engines > 0 {
        operator
            .wait_for("a serving group", |status| operator::is_serving(status, "group-1"))
            .await;
    }
    fleet
}

async fn lodge(fleet: &fleet::Fleet, key: Option<&str>) -> client::Response {
    client::post(fleet.entry_addresses[0], "/lodge", key, "{\"reference\":\"r\"}").await
}

// The service does the work and closes the connection before the response's head. This looks like a
// service that was never reached: an agent that confuses the two reports "not run", the entry
// retries, and the work runs twice.
#[actix_rt::test]
async fn a_connection_closed_before_the_head_may_have_run() {
    for key in [Some("k"), None] {
        let fleet = start_fleet(0).await;
        fleet.services[0].fake.inject(fault_injection::Command::Cut(0));

        let got = lodge(&fleet, key).await;

        assert_eq!(fleet.services[0].fake.runs_by_reference()["r"], 1, "{got:?}");
        assert!(got.says_may_have_run(), "{got:?}");
    }
}

// The service announces a length and closes the connection after five bytes. An agent that takes
// the end of the connection for the end of the response forwards half a receipt as complete, and
// the log records it as the outcome permanently.
#[actix_rt::test]
async fn a_response_shorter_than_its_length_is_not_complete() {
    for key in [Some("k"), None] {
        let fleet = start_fleet(0).await;
        fleet.services[0].fake.inject(fault_injection::Command::Cut(5));

        let got = lodge(&fleet, key).await;

        assert_eq!(fleet.services[0].fake.runs_by_reference()["r"], 1, "{got:?}");
        assert!(!got.is_complete_success(), "{got:?}");
    }
}

// The engine of the only group breaks off within a stream whose first events the client has. The
// rest is resumed, or the stream ends in an error event and never cleanly.
#[actix_rt::test]
async fn an_interrupted_stream_is_resumed_or_ends_in_an_error_event() {
    let fleet = start_fleet(2).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Cut(3));
    }

    let got = client::post(
        fleet.entry_addresses[0],
        "/v1/completions",
        None,
        &client::completion_body(12),
    )
    .await;

    let text = got.text();
    let complete = got.is_complete_success() && text.trim_end().ends_with("data: [DONE]");
    assert!(complete || text.contains("event: error"), "{got:?}");
    assert_eq!(complete, text.matches("text_completion").count() == 12, "{got:?}");
}

// Every engine dies while a stream runs, so it can't be resumed. The entry breaks the connection so
// that the partial response doesn't look complete; the error event that gives the reason must be
// sent before the connection closes.
#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_ends_in_an_error_event() {
    let fleet = start_fleet(2).await;
    let entry = fleet.entry_addresses[0];
    let streamed = actix_rt::spawn(async move {
        client::post(entry, "/v1/completions", None, &client::completion_body(1_000)).await
    });

    actix_rt::time::sleep(Duration::from_millis(400)).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Die(Duration::from_secs(60)));
    }
    let got = streamed.await.unwrap();

    assert!(!got.is_complete_success(), "{got:?}");
    let text = got.text();
    let last_event = text.rsplit("\n\n").find(|event| !event.is_empty()).unwrap_or_default();
    assert!(last_event.starts_with("event: error") && got.says_may_have_run(), "{last_event:?}");
}

// An idle engine restarts between two probes of its agent and has no model. If a request were sent to
// it, it would reject it with 503, and the client would get the error as the model's response.
#[actix_rt::test]
async fn the_first_request_detects_an_engine_that_lost_its_model() {
    let fleet = start_fleet(2).await;
    for engine in &fleet.engines {
        engine.fake.inject(fault_injection::Command::Die(Duration::from_millis(1)));
    }
    actix_rt::time::sleep(Duration::from_millis(5)).await;

    for _ in 0..4 {
        let body = client::completion_body(4);
        let got = client::post(fleet.entry_addresses[0], "/v1/completions", None, &body).await;
        assert!(!got.text().contains("holds no model"), "{got:?}");
    }

    let misdirected: u64 =
        fleet.engines.iter().map(|engine| engine.fake.counts().misdirected).sum();
    assert_eq!(misdirected, 0, "requests went to an engine without a model");
}

// Idle engines restart again and again just before a request. An agent that trusts its last probe
// forwards the request to an engine without a model.
#[actix_rt::test]
async fn engines_that_restart_while_idle_get_no_requests_without_their_model() {
    let fleet = start_fleet(2).await;
    let entry = fleet.entry_addresses[0];
    let body = client::completion_body(1);

    for _ in 0..IDLE_RESTARTS {
        for engine in &fleet.engines {
            engine.fake.inject(fault_injection::Command::Die(Duration::from_millis(1)));
        }
        actix_rt::time::sleep(Duration::from_millis(2)).await;
        let end = Instant::now() + operator::WAIT_TIMEOUT;
        while !client::post(entry, "/v1/completions", None, &body).await.is_complete_success() {
            assert!(Instant::now() < end, "the group does not serve again");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    let misdirected: u64 =
        fleet.engines.iter().map(|engine| engine.fake.counts().misdirected).sum();
    assert_eq!(misdirected, 0, "requests went to an engine without a model");
}
