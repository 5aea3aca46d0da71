//! Tests of the token bucket for loads from the weight store.

use crate::fixture;
use hyssopfork_fleet::groups::loads;

/// Loads per second that the weight store can serve.
const RATE: f64 = 3.0;

/// Times in milliseconds at which loads begin if one is attempted every 10 ms from `quiet_until`.
fn start_times(quiet_until: u64, until: u64) -> Vec<u64> {
    let mut limiter = loads::Limiter::new(fixture::at(0));
    let times = (quiet_until..until).step_by(10);
    times.filter(|millis| limiter.try_start(fixture::at(*millis), RATE)).collect()
}

#[test]
fn every_interval_has_at_most_the_loads_of_the_rate_and_a_burst_of_two() {
    let times = start_times(60_000, 90_000);

    let over = times.iter().enumerate().find(|(first, start)| {
        times[*first..].iter().enumerate().any(|(more, end)| {
            let seconds = (end - *start) as f64 / 1_000.0;
            (more + 1) as f64 > RATE * seconds + 2.0
        })
    });
    assert_eq!(over, None);
    assert!(times.len() as f64 > 30.0 * RATE * 0.7, "{} loads in 30 s", times.len());
}

/// A leader is lost just after it ordered loads. The next one doesn't know of them and must not add a
/// burst of its own.
#[test]
fn new_leader_starts_without_tokens() {
    let times = start_times(0, 1_000);

    assert!(times.first().is_some_and(|first| *first >= 333), "{times:?}");
}
