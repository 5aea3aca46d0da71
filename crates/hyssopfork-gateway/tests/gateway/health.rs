//! Whether an upstream answers.

use crate::fixture::at;
use hyssopfork_gateway::health::Health;

#[test]
fn failures_in_a_row_make_sick_and_time_heals() {
    let mut health = Health::default();
    health.failed(at(0));
    assert!(!health.is_sick(at(0)));
    health.failed(at(10));
    assert!(health.is_sick(at(20)));

    assert!(!health.is_sick(at(2_500)));
}

#[test]
fn one_that_cannot_be_reached_is_left_alone_longer_each_time() {
    let mut health = Health::default();
    health.unreachable(at(0));
    assert!(health.is_away(at(299)) && !health.is_away(at(301)));
    health.unreachable(at(301));

    assert!(health.is_away(at(301 + 599)) && !health.is_away(at(301 + 601)));
}

#[test]
fn an_answer_ends_the_wait() {
    let mut health = Health::default();
    health.unreachable(at(0));

    health.succeeded(at(10));

    assert!(!health.is_away(at(11)));
}
