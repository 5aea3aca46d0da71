//! The load generator: when it sends, what it makes of answers, how it measures.

use bytes::Bytes;
use hyssopfork_cli::history;
use hyssopfork_cli::load::{answer, caller, plan, run, schedule, summary};
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

fn request(expect: plan::Expect) -> plan::Request {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut request = plan().draw("r-1".into(), &mut random);
    request.route.expect = expect;
    request
}

fn received(status: u16, body: &str) -> caller::Received {
    let body = Bytes::from(body.to_owned());
    caller::Received { status: Some(status), body, ..caller::Received::default() }
}

fn stream(body: &str, fault: Option<&str>) -> caller::Received {
    let fault = fault.map(str::to_owned);
    caller::Received { events: true, fault, ..received(200, body) }
}

fn order(entry: std::net::SocketAddr) -> run::Order {
    run::Order {
        entries: vec![entry],
        plan: plan(),
        rate: 100.0,
        arrivals: schedule::Arrivals::Constant,
        duration: Duration::from_millis(500),
        seed: SEED,
        resend_percent: 0,
        limit: Duration::from_secs(5),
        outstanding: 1_000,
        label: "t".into(),
    }
}

#[test]
fn constant_arrivals_are_evenly_spaced() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);

    let due =
        schedule::draw(schedule::Arrivals::Constant, 10.0, Duration::from_secs(1), &mut random);

    assert_eq!(due.len(), 9);
    assert_eq!(due[1] - due[0], Duration::from_millis(100));
}

#[test]
fn poisson_arrivals_keep_the_rate_and_vary_their_gaps() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let duration = Duration::from_secs(100);

    let due = schedule::draw(schedule::Arrivals::Poisson, 100.0, duration, &mut random);

    assert!((9_700..10_300).contains(&due.len()), "{}", due.len());
    let gaps = due.windows(2).map(|pair| (pair[1] - pair[0]).as_secs_f64());
    let long = gaps.filter(|&gap| gap > 0.02).count() as f64 / due.len() as f64;
    // Of exponentially distributed gaps, e^-2 or 13.5 in 100 are over twice the mean.
    assert!((0.12..0.15).contains(&long), "{long}");
}

#[test]
fn request_is_filled_in_with_its_reference() {
    let request = request(plan::Expect::Whole);

    let headers = request.headers();

    assert_eq!(request.route.body, Some(json!({ "reference": "r-1" })));
    assert!(headers.contains(&("idempotency-key".into(), "r-1".into())));
    assert!(headers.contains(&("authorization".into(), "Bearer t".into())));
}

#[test]
fn whole_answer_with_the_expected_text_is_right() {
    let request = request(plan::Expect::Text("\"reference\":\"r-1\"".into()));

    let own = answer::judge(&request, &received(201, "{\"reference\":\"r-1\"}"));
    let other = answer::judge(&request, &received(201, "{\"reference\":\"r-2\"}"));

    assert!(own.kind == history::Kind::Answered && own.right);
    assert!(other.kind == history::Kind::Answered && !other.right);
}

#[test]
fn stream_with_every_token_in_order_is_right() {
    let request = request(plan::Expect::Tokens(2));
    let event = |place| format!("data: {{\"choices\":[{{\"text\":\" r-1.{place}\"}}]}}\n\n");
    let end = "data: [DONE]\n\n";

    let whole = answer::judge(&request, &stream(&(event(0) + &event(1) + end), None));
    let doubled = answer::judge(&request, &stream(&(event(0) + &event(0) + end), None));
    let skipped = answer::judge(&request, &stream(&(event(1) + end), None));

    assert!(whole.right);
    assert!(!doubled.right && !skipped.right);
}

#[test]
fn stream_that_ends_in_an_error_mark_is_honest() {
    let request = request(plan::Expect::Tokens(2));
    let mark = "event: error\ndata: {\"ran\":\"may_have_run\",\"reason\":\"upstream_failed\"}\n\n";

    let judged = answer::judge(&request, &stream(mark, Some("cut")));

    assert_eq!(judged.kind, history::Kind::MayHaveRun);
    assert_eq!(judged.reason.as_deref(), Some("upstream_failed"));
}

#[test]
fn stream_without_end_mark_or_error_mark_is_an_error() {
    let request = request(plan::Expect::Whole);
    let event = "data: {\"choices\":[{\"text\":\" r-1.0\"}]}\n\n";

    let silent = answer::judge(&request, &stream(event, None));
    let cut = answer::judge(&request, &stream(&format!("{event}data: [DONE]\n\n"), Some("cut")));

    assert_eq!(silent.kind, history::Kind::Error);
    assert_eq!(cut.kind, history::Kind::Error);
}

#[test]
fn problem_documents_tell_whether_work_ran() {
    let request = request(plan::Expect::Whole);
    let problem = |ran: &str| format!("{{\"ran\":\"{ran}\",\"reason\":\"overloaded\"}}");

    let not = answer::judge(&request, &received(503, &problem("not_run")));
    let may = answer::judge(&request, &received(502, &problem("may_have_run")));
    let unsaid = answer::judge(&request, &received(500, "{}"));

    assert_eq!(not.kind, history::Kind::RefusedNotRun);
    assert_eq!(may.kind, history::Kind::MayHaveRun);
    assert_eq!(unsaid.kind, history::Kind::Error);
}

#[actix_rt::test]
async fn run_sends_all_and_the_history_holds() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");

    let lines = run::run(order(server.address())).await;

    assert_eq!(lines.len(), 49);
    let counts = history::Counts { ran: service.runs_by_reference(), falls: service.crash_count() };
    let verdict = history::check(&lines, &[counts]);
    assert!(verdict.held(), "{:?}", verdict.violations);
}

#[actix_rt::test]
async fn resends_carry_the_same_key_and_are_seen_when_they_run_twice() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");
    let order = run::Order { resend_percent: 100, ..order(server.address()) };

    let lines = run::run(order).await;

    // The service alone runs whatever comes; keeping it to once is the system's work.
    assert_eq!(lines.len(), 98);
    let counts = history::Counts { ran: service.runs_by_reference(), falls: service.crash_count() };
    let verdict = history::check(&lines, &[counts]);
    assert_eq!(verdict.violations.len(), 49, "{:?}", verdict.violations);
}

// A back end stalls for 300 ms while requests stay due every 10 ms. Each of them waits for the
// stall's rest; a generator that only sends after the last answer would see a single slow one.
#[actix_rt::test]
async fn stall_counts_for_every_request_that_was_due_in_it() {
    let listener = http::free_listener().expect("a free port");
    let profile = service::Profile { cold_capacity: 1_000, ..service::Profile::default() };
    let (server, service) = service::start(listener, profile).expect("it starts");
    service.inject(fault_injection::Command::Stall);
    let running = actix_rt::spawn(run::run(order(server.address())));

    actix_rt::time::sleep(Duration::from_millis(300)).await;
    service.inject(fault_injection::Command::Heal);
    let lines = running.await.expect("the run ends");

    let slow = lines.iter().filter(|line| line.answered_us - line.intended_us > 50_000).count();
    assert!(slow >= 20, "{slow}");
    let summary = summary::sum(&lines);
    assert!(summary.rows[0].whole.max_ms >= 250.0, "{:?}", summary.rows[0].whole);
}

#[actix_rt::test]
async fn requests_beyond_the_outstanding_limit_are_noted_and_not_sent_late() {
    let listener = http::free_listener().expect("a free port");
    let (server, service) =
        service::start(listener, service::Profile::default()).expect("it starts");
    service.inject(fault_injection::Command::Stall);
    let limit = Duration::from_millis(700);
    let order = run::Order { outstanding: 5, limit, ..order(server.address()) };

    let lines = run::run(order).await;

    let unsent = lines
        .iter()
        .filter(|line| line.reason.as_ref().is_some_and(|reason| reason.starts_with("not sent")));
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
    let answered: history::Line = serde_json::from_value(value).expect("a line");
    let refused = history::Line {
        kind: history::Kind::RefusedNotRun,
        reason: Some("overloaded".into()),
        ..answered.clone()
    };

    let summary = summary::sum(&[answered, refused]);

    assert_eq!(summary.rows.len(), 1);
    assert_eq!(summary.rows[0].sent, 2);
    assert!((9.9..10.1).contains(&summary.rows[0].whole.p99_ms));
    assert_eq!(summary.reasons["refused_not_run: overloaded"], 1);
    assert!(summary.render().contains("batch"));
}
