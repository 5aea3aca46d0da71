//! Outlier ejection and connection backoff.

use crate::fixture::at;
use hyssopfork_gateway::health::Health;

#[test]
fn consecutive_failures_eject_until_the_ratio_decays() {
    let mut health = Health::default();
    health.on_failure(at(0));
    assert!(!health.is_outlier(at(0)));
    health.on_failure(at(10));
    assert!(health.is_outlier(at(20)));

    assert!(!health.is_outlier(at(2_500)));
}

#[test]
fn the_backoff_of_an_unreachable_upstream_doubles() {
    let mut health = Health::default();
    health.on_unreachable(at(0));
    assert!(health.is_backing_off(at(299)) && !health.is_backing_off(at(301)));
    health.on_unreachable(at(301));

    assert!(health.is_backing_off(at(301 + 599)) && !health.is_backing_off(at(301 + 601)));
}

#[test]
fn a_success_ends_the_backoff() {
    let mut health = Health::default();
    health.on_unreachable(at(0));

    health.on_success(at(10));

    assert!(!health.is_backing_off(at(11)));
}
