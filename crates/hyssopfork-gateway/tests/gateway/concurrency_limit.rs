//! AIMD concurrency limit of an upstream.

use hyssopfork_gateway::concurrency_limit::Limit;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(300);
const LATE: Duration = Duration::from_millis(500);
const ON_TIME: Duration = Duration::from_millis(100);

#[test]
fn late_responses_of_a_full_upstream_decrease_the_limit() {
    let mut limit = Limit::new(34);

    (0..10).for_each(|_| limit.on_response(LATE, OBJECTIVE, 33.0));

    assert!(limit.get() < 20.0, "{}", limit.get());
}

#[test]
fn responses_on_time_increase_the_limit_to_slightly_above_the_slots() {
    let mut limit = Limit::new(34);
    (0..10).for_each(|_| limit.on_response(LATE, OBJECTIVE, 33.0));

    (0..200).for_each(|_| limit.on_response(ON_TIME, OBJECTIVE, 10.0));

    assert!((37.0..38.0).contains(&limit.get()), "{}", limit.get());
}

/// Guards against a lower limit after a long prompt at a nearly empty upstream, where fewer
/// requests would change nothing.
#[test]
fn a_late_response_of_an_upstream_far_from_full_changes_nothing() {
    let mut limit = Limit::new(34);

    limit.on_response(LATE, OBJECTIVE, 3.0);

    assert_eq!(limit.get(), 34.0);
}

#[test]
fn the_limit_never_drops_below_one() {
    let mut limit = Limit::new(2);

    (0..100).for_each(|_| limit.on_response(LATE, OBJECTIVE, 9.0));

    assert!(limit.get() >= 1.0);
}

#[test]
fn a_predicted_limit_applies_while_responses_are_on_time() {
    let mut limit = Limit::new(8);
    (0..50).for_each(|_| limit.on_response(ON_TIME, OBJECTIVE, 8.0));

    assert_eq!(limit.get_with(Some(10.0)), 10.0);
    assert_eq!(limit.get_with(None), limit.get());
}

/// Guards against a slow member that makes responses late for good although the model of the group
/// says otherwise, and against a limit that no prediction bounds from below.
#[test]
fn late_responses_lower_a_predicted_limit_by_a_quarter_at_most() {
    let mut limit = Limit::new(8);

    (0..50).for_each(|_| limit.on_response(LATE, OBJECTIVE, 8.0));

    assert_eq!(limit.get_with(Some(10.0)), 7.5);
}
