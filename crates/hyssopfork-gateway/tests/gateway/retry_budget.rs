//! Retry budget.

use crate::fixture::at;
use hyssopfork_gateway::retry_budget::{Budget, Policy};
use std::time::Duration;

const POLICY: Policy =
    Policy { retry_ratio: 0.2, retry_extra: 10.0, window: Duration::from_secs(10) };

fn granted_retries(budget: &mut Budget, millis: u64, asked: u32) -> usize {
    (0..asked).filter(|_| budget.try_retry(at(millis), POLICY)).count()
}

#[test]
fn retries_stay_below_a_share_of_the_requests_plus_an_extra() {
    let mut budget = Budget::default();
    (0..100).for_each(|_| budget.count_request(at(0), POLICY));

    // 0.8 of the sum of 0.2 times 100 and 10.
    assert_eq!(granted_retries(&mut budget, 10, 1_000), 24);
}

#[test]
fn retries_count_for_the_whole_window() {
    let mut budget = Budget::default();
    assert_eq!(granted_retries(&mut budget, 0, 100), 8);
    assert_eq!(granted_retries(&mut budget, 9_000, 100), 0);

    assert_eq!(granted_retries(&mut budget, 12_000, 100), 8);
}
