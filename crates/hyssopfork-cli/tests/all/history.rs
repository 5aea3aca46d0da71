//! The check of histories finds each outcome of violation.

use hyssopfork_cli::history;
use hyssopfork_wire::configuration;
use std::collections::BTreeMap;

fn record(reference: &str, outcome: history::Outcome) -> history::Record {
    history::Record {
        request: reference.into(),
        reference: reference.into(),
        team: "tariff-desk".into(),
        route: "lodgements".into(),
        class: configuration::Class::Interactive,
        repeatable: false,
        key: Some(reference.into()),
        intended_us: 0,
        sent_us: 0,
        first_us: Some(1),
        answered_us: 2,
        outcome,
        status: Some(201),
        reason: None,
        complete: true,
        correct: true,
        digest: "d".into(),
    }
}

fn counts_of(reference: &str, count: u64) -> Vec<history::Counts> {
    let runs = BTreeMap::from([(reference.to_owned(), count)]);
    vec![history::Counts { runs, cold_overloads: 0 }]
}

fn find_violations(records: &[history::Record], counts: &[history::Counts]) -> Vec<String> {
    history::check(records, counts).violations
}

#[test]
fn request_answered_once_and_run_once_is_consistent() {
    let records = [record("a", history::Outcome::Answered)];

    let verdict = history::check(&records, &counts_of("a", 1));

    assert!(verdict.is_consistent(), "{:?}", verdict.violations);
    assert_eq!(verdict.compared, 1);
}

#[test]
fn two_runs_on_different_back_ends_are_a_violation() {
    let records = [record("a", history::Outcome::Answered)];
    let counts = [counts_of("a", 1), counts_of("a", 1)].concat();

    let violations = find_violations(&records, &counts);

    assert_eq!(violations, ["a: ran 2 times, may run once"]);
}

#[test]
fn run_of_a_request_rejected_as_not_run_is_a_violation() {
    let records = [record("a", history::Outcome::RejectedNotRun)];

    let violations = find_violations(&records, &counts_of("a", 1));

    assert_eq!(violations, ["a: rejected as not run, but ran"]);
}

#[test]
fn rejection_of_a_resend_is_accurate_if_only_the_first_attempt_ran() {
    let resend = history::Record {
        request: "a-again".into(),
        ..record("a", history::Outcome::RejectedNotRun)
    };
    let records = [record("a", history::Outcome::MayHaveRun), resend];

    let violations = find_violations(&records, &counts_of("a", 1));

    assert_eq!(violations, [""; 0]);
}

#[test]
fn answer_without_a_run_is_a_violation() {
    let records = [record("a", history::Outcome::Answered)];

    let violations = find_violations(&records, &[]);

    assert_eq!(violations, ["a: answered, but no back end ran it"]);
}

#[test]
fn different_responses_to_one_key_are_a_violation() {
    let other = history::Record { digest: "e".into(), ..record("a", history::Outcome::Answered) };
    let records = [record("a", history::Outcome::Answered), other];

    let violations = find_violations(&records, &counts_of("a", 1));

    assert_eq!(violations, ["a: different responses to the same key"]);
}

#[test]
fn unexpected_response_is_a_violation_on_repeatable_routes_too() {
    let unexpected = history::Record {
        correct: false,
        repeatable: true,
        ..record("a", history::Outcome::Answered)
    };

    let violations = find_violations(&[unexpected], &[]);

    assert_eq!(violations, ["a on lodgements: answered with an unexpected response"]);
}

#[test]
fn request_that_ends_in_an_error_is_a_violation() {
    let cut =
        history::Record { reason: Some("cut".into()), ..record("a", history::Outcome::Error) };

    let violations = find_violations(&[cut], &counts_of("a", 1));

    assert_eq!(violations, ["a on lodgements: neither answered nor properly rejected: cut"]);
}

#[test]
fn overload_of_a_cold_back_end_is_a_violation() {
    let counts = [history::Counts { runs: BTreeMap::new(), cold_overloads: 2 }];

    let violations = find_violations(&[], &counts);

    assert_eq!(violations, ["cold back ends were overloaded 2 times"]);
}
