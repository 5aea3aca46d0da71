//! Loads from the weight store keep to its rate over every span of time.

use crate::fixture;
use hyssopfork_fleet::groups::loads;

/// Loads a second that the store bears.
const RATE: f64 = 3.0;

/// Times in milliseconds at which loads begin when one is wished for every 10 ms.
fn start_times(quiet_until: u64, until: u64) -> Vec<u64> {
    let mut pace = loads::Limiter::new(fixture::at(0));
    let times = (quiet_until..until).step_by(10);
    times.filter(|millis| pace.try_start(fixture::at(*millis), RATE)).collect()
}

#[test]
fn no_span_of_time_has_more_loads_than_the_rate_and_a_burst_of_two() {
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

/// A leader is lost just after it gave orders to load. The next one doesn't know of them, and must not
/// add a burst of its own at once.
#[test]
fn a_new_leader_begins_no_load_at_once() {
    let times = start_times(0, 1_000);

    assert!(times.first().is_some_and(|first| *first >= 333), "{times:?}");
}
