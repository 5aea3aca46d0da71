//! How many requests an upstream may have.

use hyssopfork_gateway::concurrency_limit::Limit;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(300);
const LATE: Duration = Duration::from_millis(500);
const SOON: Duration = Duration::from_millis(100);

#[test]
fn late_answers_of_a_full_upstream_lower_it() {
    let mut limit = Limit::new(34);

    (0..10).for_each(|_| limit.on_response(LATE, OBJECTIVE, 33.0));

    assert!(limit.get() < 20.0, "{}", limit.get());
}

#[test]
fn answers_in_time_raise_it_again_to_a_little_over_the_slots() {
    let mut limit = Limit::new(34);
    (0..10).for_each(|_| limit.on_response(LATE, OBJECTIVE, 33.0));

    (0..200).for_each(|_| limit.on_response(SOON, OBJECTIVE, 10.0));

    assert!((37.0..38.0).contains(&limit.get()), "{}", limit.get());
}

/// A long prompt is answered late by an upstream that is nearly empty: fewer requests there would
/// change nothing.
#[test]
fn a_late_answer_of_an_upstream_that_is_far_from_full_changes_nothing() {
    let mut limit = Limit::new(34);

    limit.on_response(LATE, OBJECTIVE, 3.0);

    assert_eq!(limit.get(), 34.0);
}

#[test]
fn some_requests_always_get_through() {
    let mut limit = Limit::new(2);

    (0..100).for_each(|_| limit.on_response(LATE, OBJECTIVE, 9.0));

    assert!(limit.get() >= 1.0);
}
