//! Load generator: due times, classification of responses, latency measurement.

use bytes::Bytes;
use hyssopfork_cli::history;
use hyssopfork_cli::load::{answer, client, plan, run, schedule, summary};
use hyssopfork_test_support::{fault_injection, http, service};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::Duration;

const SEED: u64 = 11;

fn plan() -> plan::Plan {
    let value = json!({
        "teams": [{ "team": "tariff-desk", "token": "t", "share": 1 }],
        "routes": [{
            "route": "lodgements", "method": "POST", "path": "/lodgements",
            "body": { "reference": "{request}" }, "class": "interactive", "repeatable": false,
            "key": true, "share": 1, "expect": { "text": "\"reference\":\"{request}\"" },
        }],
    });
    serde_json::from_value(value).expect("a plan")
}

fn request(expect: plan::Expectation) -> plan::Request {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut request = plan().sample_request("r-1".into(), &mut random);
    request.route.expect = expect;
    request
}

fn response(status: u16, body: &str) -> client::Response {
    let body = Bytes::from(body.to_owned());
    client::Response { status: Some(status), body, ..client::Response::default() }
}

fn stream(body: &str, error: Option<&str>) -> client::Response {
    let error = error.map(str::to_owned);
    client::Response { is_event_stream: true, error, ..response(200, body) }
}

fn options(entry: std::net::SocketAddr) -> run::Options {
    run::Options {
        entries: vec![entry],
        plan: plan(),
        rate: 100.0,
        arrivals: schedule::Arrivals::Constant,
        duration: Duration::from_millis(500),
        seed: SEED,
        resend_percent: 0,
        request_timeout: Duration::from_secs(5),
        max_in_flight: 1_000,
        reference_prefix: "t".into(),
    }
}

#[test]
fn constant_arrivals_are_evenly_spaced() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);

    let due = schedule::sample_due_times(
        schedule::Arrivals::Constant,
        10.0,
        Duration::from_secs(1),
        &mut random,
    );

    assert_eq!(due.len(), 9);
    assert_eq!(due[1] - due[0], Duration::from_millis(100));
}

#[test]
fn poisson_arrivals_keep_the_rate_and_vary_their_gaps() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let duration = Duration::from_secs(100);

    let due = schedule::sample_due_times(schedule::Arrivals::Poisson, 100.0, duration, &mut random);

    assert!((9_700..10_300).contains(&due.len()), "{}", due.len());
    let gaps = due.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64());
    let long = gaps.filter(|&gap| gap > 0.02).count() as f64 / due.len() as f64;
    // Of exponentially distributed gaps, e^-2 or 13.5 in 100 exceed twice the mean.
    assert!((0.12..0.15).contains(&long), "{long}");
}

#[test]
fn placeholders_are_replaced_by_the_reference() {
    let request = request(plan::Expectation::Whole);

    let headers = request.headers();

    assert_eq!(request.route.body, Some(json!({ "reference": "r-1" })));
    assert!(headers.contains(&("idempotency-key".into(), "r-1".into())));
    assert!(headers.contains(&("authorization".into(), "Bearer t".into())));
}

#[test]
fn complete_response_is_correct_only_with_the_expected_text() {
    let request = request(plan::Expectation::Text("\"reference\":\"r-1\"".into()));

    let own = answer::classify(&request, &response(201, "{\"reference\":\"r-1\"}"));
    let other = answer::classify(&request, &response(201, "{\"reference\":\"r-2\"}"));

    assert!(own.outcome == history::Outcome::Answered && own.correct);
    assert!(other.outcome == history::Outcome::Answered && !other.correct);
}

#[test]
fn stream_is_correct_only_with_every_token_in_order() {
    let request = request(plan::Expectation::Tokens(2));
    let event = |place| format!("data: {{\"choices\":[{{\"text\":\" r-1.{place}\"}}]}}\n\n");
    let end = "data: [DONE]\n\n";

    let complete = answer::classify(&request, &stream(&(event(0) + &event(1) + end), None));
    let doubled = answer::classify(&request, &stream(&(event(0) + &event(0) + end), None));
    let skipped = answer::classify(&request, &stream(&(event(1) + end), None));

    assert!(complete.correct);
    assert!(!doubled.correct && !skipped.correct);
}

#[test]
fn stream_that_ends_in_an_error_event_is_classified_by_that_event() {
    let request = request(plan::Expectation::Tokens(2));
    let mark = "event: error\ndata: {\"ran\":\"may_have_run\",\"reason\":\"upstream_failed\"}\n\n";

    let classification = answer::classify(&request, &stream(mark, Some("cut")));

    assert_eq!(classification.outcome, history::Outcome::MayHaveRun);
    assert_eq!(classification.reason.as_deref(), Some("upstream_failed"));
}

#[test]
fn stream_without_end_marker_or_error_event_is_an_error() {
    let request = request(plan::Expectation::Whole);
    let event = "data: {\"choices\":[{\"text\":\" r-1.0\"}]}\n\n";

    let unmarked = answer::classify(&request, &stream(event, None));
    let cut = answer::classify(&request, &stream(&format!("{event}data: [DONE]\n\n"), Some("cut")));

    assert_eq!(unmarked.outcome, history::Outcome::Error);
    assert_eq!(cut.outcome, history::Outcome::Error);
}

#[test]
fn problem_documents_are_classified_by_whether_work_ran() {
    let request = request(plan::Expectation::Whole);
    let problem = |ran: &str| format!("{{\"ran\":\"{ran}\",\"reason\":\"overloaded\"}}");

    let not_run = answer::classify(&request, &response(503, &problem("not_run")));
    let may_have_run = answer::classify(&request, &response(502, &problem("may_have_run")));
    let unspecified = answer::classify(&request, &response(500, "{}"));

    assert_eq!(not_run.outcome, history::Outcome::RejectedNotRun);
    assert_eq!(may_have_run.outcome, history::Outcome::MayHaveRun);
    assert_eq!(unspecified.outcome, history::Outcome::Error);
}

#[actix_rt::test]
async fn run_sends_all_requests_and_the_history_is_consistent() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");

    let records = run::run(options(server.address())).await;

    assert_eq!(records.len(), 49);
    let counts = history::Counts {
        runs: service.runs_by_reference(),
        cold_overloads: service.crash_count(),
    };
    let verdict = history::check(&records, &[counts]);
    assert!(verdict.is_consistent(), "{:?}", verdict.violations);
}

#[actix_rt::test]
async fn resends_have_the_same_key_and_double_runs_are_violations() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");
    let options = run::Options { resend_percent: 100, ..options(server.address()) };

    let records = run::run(options).await;

    // The service runs every request it gets; preventing duplicates is the gateway's task.
    assert_eq!(records.len(), 98);
    let counts = history::Counts {
        runs: service.runs_by_reference(),
        cold_overloads: service.crash_count(),
    };
    let verdict = history::check(&records, &[counts]);
    assert_eq!(verdict.violations.len(), 49, "{:?}", verdict.violations);
}

// A back end stalls for 300 ms while a request is due every 10 ms. Each of them waits for the rest
// of the stall; a generator that waits for responses before sending would see one slow request.
#[actix_rt::test]
async fn stall_delays_every_request_that_was_due_during_it() {
    let listener = http::free_listener().expect("a free port");
    let profile = service::Profile { cold_capacity: 1_000, ..service::Profile::default() };
    let (server, service) = service::start(listener, profile).expect("it starts");
    service.inject(fault_injection::Command::Stall);
    let running = actix_rt::spawn(run::run(options(server.address())));

    actix_rt::time::sleep(Duration::from_millis(300)).await;
    service.inject(fault_injection::Command::Heal);
    let records = running.await.expect("the run ends");

    let slow =
        records.iter().filter(|record| record.answered_us - record.intended_us > 50_000).count();
    assert!(slow >= 20, "{slow}");
    let summary = summary::summarize(&records);
    assert!(summary.rows[0].total.max_ms >= 250.0, "{:?}", summary.rows[0].total);
}

#[actix_rt::test]
async fn requests_beyond_the_in_flight_limit_are_recorded_and_not_sent_late() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");
    service.inject(fault_injection::Command::Stall);
    let request_timeout = Duration::from_millis(700);
    let options = run::Options { max_in_flight: 5, request_timeout, ..options(server.address()) };

    let records = run::run(options).await;

    let unsent = records.iter().filter(|record| {
        record.reason.as_ref().is_some_and(|reason| reason.starts_with("not sent"))
    });
    assert_eq!(unsent.count(), 44);
}

#[test]
fn summary_counts_by_team_class_and_reason() {
    let value = json!({
        "request": "a", "reference": "a", "team": "t", "route": "r", "class": "batch",
        "repeatable": true, "key": null, "intended_us": 0, "sent_us": 0, "first_us": 5_000,
        "answered_us": 10_000, "kind": "answered", "status": 200, "reason": null,
        "whole": true, "right": true, "digest": "",
    });
    let answered: history::Record = serde_json::from_value(value).expect("a record");
    let rejected = history::Record {
        outcome: history::Outcome::RejectedNotRun,
        reason: Some("overloaded".into()),
        ..answered.clone()
    };

    let summary = summary::summarize(&[answered, rejected]);

    assert_eq!(summary.rows.len(), 1);
    assert_eq!(summary.rows[0].sent, 2);
    assert!((9.9..10.1).contains(&summary.rows[0].total.p99_ms));
    assert_eq!(summary.reasons["refused_not_run: overloaded"], 1);
    assert!(summary.render().contains("batch"));
}
