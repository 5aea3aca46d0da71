//! Schedule of `Retry-After` times.

use crate::fixture::at;
use hyssopfork_gateway::retry_schedule::Schedule;
use std::time::Duration;

#[test]
fn retry_times_are_spaced() {
    let mut returns = Schedule::default();
    let spacing = Duration::from_millis(50);

    let first = returns.reserve(at(0), Duration::from_millis(200), spacing);
    let second = returns.reserve(at(0), Duration::from_millis(200), spacing);

    assert_eq!(first, Duration::from_millis(250));
    assert_eq!(second, Duration::from_millis(300));
}

#[test]
fn old_reservations_delay_no_retry() {
    let mut returns = Schedule::default();
    returns.reserve(at(0), Duration::ZERO, Duration::from_millis(50));

    let later = returns.reserve(at(5_000), Duration::ZERO, Duration::from_millis(50));

    assert_eq!(later, Duration::from_millis(50));
}
