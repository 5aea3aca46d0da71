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

/// Guards against a client with little time left that changes the times of others, and against
/// reservations that grow without bound.
#[test]
fn a_time_beyond_the_maximum_is_not_reserved() {
    let mut returns = Schedule::default();
    let (wait, spacing) = (Duration::from_millis(200), Duration::from_millis(50));
    returns.reserve_within(at(0), wait, spacing, Duration::from_secs(1));

    let short = returns.reserve_within(at(0), wait, spacing, Duration::from_millis(100));
    let next = returns.reserve_within(at(0), wait, spacing, Duration::from_secs(1));

    assert_eq!((short, next), (Duration::from_millis(100), Duration::from_millis(300)));
}
