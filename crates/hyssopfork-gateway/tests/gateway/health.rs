//! Whether an upstream answers.

use crate::fixture::at;
use hyssopfork_gateway::health::Health;

#[test]
fn failures_in_a_row_make_sick_and_time_heals() {
    let mut health = Health::default();
    health.on_failure(at(0));
    assert!(!health.is_outlier(at(0)));
    health.on_failure(at(10));
    assert!(health.is_outlier(at(20)));

    assert!(!health.is_outlier(at(2_500)));
}

#[test]
fn one_that_cannot_be_reached_is_left_alone_longer_each_time() {
    let mut health = Health::default();
    health.on_unreachable(at(0));
    assert!(health.is_backing_off(at(299)) && !health.is_backing_off(at(301)));
    health.on_unreachable(at(301));

    assert!(health.is_backing_off(at(301 + 599)) && !health.is_backing_off(at(301 + 601)));
}

#[test]
fn an_answer_ends_the_wait() {
    let mut health = Health::default();
    health.on_unreachable(at(0));

    health.on_success(at(10));

    assert!(!health.is_backing_off(at(11)));
}
