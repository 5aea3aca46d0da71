//! The check of histories sees each thing that must not happen.

use hyssopfork_cli::history;
use hyssopfork_wire::configuration;
use std::collections::BTreeMap;

fn line(reference: &str, kind: history::Outcome) -> history::Record {
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
        outcome: kind,
        status: Some(201),
        reason: None,
        complete: true,
        correct: true,
        digest: "d".into(),
    }
}

fn ran(reference: &str, times: u64) -> Vec<history::Counts> {
    let ran = BTreeMap::from([(reference.to_owned(), times)]);
    vec![history::Counts { runs: ran, cold_overloads: 0 }]
}

fn violations(lines: &[history::Record], counts: &[history::Counts]) -> Vec<String> {
    history::check(lines, counts).violations
}

#[test]
fn answered_once_and_ran_once_holds() {
    let lines = [line("a", history::Outcome::Answered)];

    let verdict = history::check(&lines, &ran("a", 1));

    assert!(verdict.is_consistent(), "{:?}", verdict.violations);
    assert_eq!(verdict.compared, 1);
}

#[test]
fn work_that_ran_twice_is_found_even_on_two_back_ends() {
    let lines = [line("a", history::Outcome::Answered)];
    let counts = [ran("a", 1), ran("a", 1)].concat();

    let found = violations(&lines, &counts);

    assert_eq!(found, ["a: ran 2 times, may run once"]);
}

#[test]
fn untrue_not_run_is_found() {
    let lines = [line("a", history::Outcome::RejectedNotRun)];

    let found = violations(&lines, &ran("a", 1));

    assert_eq!(found, ["a: rejected as not run, but ran"]);
}

#[test]
fn refusal_of_a_resend_whose_first_try_ran_is_true() {
    let again = history::Record {
        request: "a-again".into(),
        ..line("a", history::Outcome::RejectedNotRun)
    };
    let lines = [line("a", history::Outcome::MayHaveRun), again];

    let found = violations(&lines, &ran("a", 1));

    assert_eq!(found, [""; 0]);
}

#[test]
fn answer_to_work_that_nobody_ran_is_found() {
    let lines = [line("a", history::Outcome::Answered)];

    let found = violations(&lines, &[]);

    assert_eq!(found, ["a: answered, but no back end ran it"]);
}

#[test]
fn different_answers_to_one_key_are_found() {
    let other = history::Record { digest: "e".into(), ..line("a", history::Outcome::Answered) };
    let lines = [line("a", history::Outcome::Answered), other];

    let found = violations(&lines, &ran("a", 1));

    assert_eq!(found, ["a: different responses to the same key"]);
}

#[test]
fn answer_of_another_request_is_found_on_repeatable_routes_too() {
    let wrong = history::Record {
        correct: false,
        repeatable: true,
        ..line("a", history::Outcome::Answered)
    };

    let found = violations(&[wrong], &[]);

    assert_eq!(found, ["a on lodgements: answered with an unexpected response"]);
}

#[test]
fn end_without_a_word_is_found() {
    let cut = history::Record { reason: Some("cut".into()), ..line("a", history::Outcome::Error) };

    let found = violations(&[cut], &ran("a", 1));

    assert_eq!(found, ["a on lodgements: neither answered nor properly rejected: cut"]);
}

#[test]
fn overload_of_a_cold_back_end_is_found() {
    let counts = [history::Counts { runs: BTreeMap::new(), cold_overloads: 2 }];

    let found = violations(&[], &counts);

    assert_eq!(found, ["cold back ends were overloaded 2 times"]);
}
