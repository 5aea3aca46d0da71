//! Cold upstreams, and zones that are evacuated and return, from the clients' side.

use hyssopfork_policy::slow_start;
use hyssopfork_policy_model::entry::Kind;
use hyssopfork_policy_model::report::{Outcome, Report};
use hyssopfork_policy_model::{scenario, simulation};
use hyssopfork_wire::clock;
use hyssopfork_wire::configuration::Class;
use std::time::Duration;

const SEED: u64 = 12;
const FULL_LIMIT: u32 = 16;
const COST: u32 = 100;

fn run(scenario: &scenario::Scenario) -> Report {
    simulation::run(scenario, Kind::Policy, SEED)
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// Completes `count` requests, one per second, each of which took `millis`; returns the time.
fn complete_requests(
    slow_start: &mut slow_start::SlowStart,
    from: u64,
    count: u64,
    millis: u64,
) -> u64 {
    for index in 1..=count {
        let now = from + index * 1_000;
        slow_start.on_request_ended(
            at(now),
            at(now - millis),
            COST,
            slow_start::Outcome::Completed,
        );
    }
    from + count * 1_000
}

#[test]
fn thirty_cold_upstreams_return_without_a_crash() {
    // All upstreams return at the same time, cold, under the usual load. With their full share each
    // would crash, restart and crash again, and no client would be served. Slow start admits what
    // they can handle; further requests are rejected, and full service returns as the limits grow.
    let report = run(&scenario::cold_start());
    let slow_start_seconds = simulation::slow_start_duration().as_secs_f64();

    assert_eq!(report.crashes, 0);
    assert_eq!(report.outcomes().get(&Outcome::Failed), None, "{:?}", report.outcomes());
    let recovered_at = report.recovered_at(0.0, Duration::from_millis(200));
    assert!(
        recovered_at.is_some_and(|second| second <= slow_start_seconds),
        "{recovered_at:?} against {slow_start_seconds}"
    );
}

#[test]
fn unannounced_restarts_cause_no_crash() {
    // A third of the upstreams is replaced unannounced under a load of 0.8. Their requests in
    // flight are lost; these failures show that the upstreams are cold, and they get the limit of a
    // cold upstream.
    let report = run(&scenario::silent_restart());

    assert_eq!(report.crashes, 0);
    assert_eq!(report.ran_twice(), 0);
    assert!(report.served_share(0.0, 60.0) >= 0.98, "{:?}", report.outcomes());
}

#[test]
fn zone_evacuation_and_return_fail_no_response() {
    // Operators evacuate one zone of three at a load of 0.7, so that the others are past their
    // limits, and bring it back with cold upstreams. No request in flight may fail, no cold
    // upstream may crash, and status checks are answered throughout.
    let report = run(&scenario::zone_evacuation());
    let status = report.outcomes_of(Class::Status);

    assert_eq!(report.outcomes().get(&Outcome::Failed), None, "{:?}", report.outcomes());
    assert_eq!(report.crashes, 0);
    assert_eq!(report.ran_twice(), 0);
    assert_eq!(status.get(&Outcome::Good), Some(&status.values().sum()), "{status:?}");
    assert!(report.served_share(0.0, 60.0) >= 0.98, "{:?}", report.outcomes());
}

#[test]
fn limit_grows_only_with_completed_requests() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL_LIMIT);

    let idle = slow_start.limit();
    let held_until =
        complete_requests(&mut slow_start, 3_600_000, slow_start::HOLD_COMPLETIONS.into(), 500);
    let held = slow_start.limit();
    let later = complete_requests(&mut slow_start, held_until, 4, 500);
    let grown = slow_start.limit();
    complete_requests(&mut slow_start, later, 40, 500);

    assert_eq!(idle, slow_start::INITIAL_LIMIT);
    assert_eq!(held, slow_start::INITIAL_LIMIT);
    assert_eq!(grown, slow_start::INITIAL_LIMIT + 2);
    assert!(slow_start.is_warm());
}

#[test]
fn new_incarnation_is_cold() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL_LIMIT);
    slow_start.on_incarnation(at(0), "first");
    let now = complete_requests(&mut slow_start, 0, 40, 500);

    let same = slow_start.on_incarnation(at(now), "first");
    let other = slow_start.on_incarnation(at(now), "second");

    assert!(!same && other);
    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}

#[test]
fn requests_as_slow_as_on_a_cold_upstream_reset_the_limit() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL_LIMIT);
    let now = complete_requests(&mut slow_start, 0, 80, 100);

    complete_requests(&mut slow_start, now, u64::from(slow_start::CONSECUTIVE_SLOW), 900);

    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}

#[test]
fn full_batch_does_not_count_as_cold() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL_LIMIT);
    let now = complete_requests(&mut slow_start, 0, 80, 100);

    complete_requests(&mut slow_start, now, 20, 300);

    assert!(slow_start.is_warm());
}

#[test]
fn requests_from_before_a_reset_do_not_raise_the_limit() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL_LIMIT);
    slow_start.reset(at(10_000));

    for _ in 0..40 {
        slow_start.on_request_ended(at(11_000), at(9_000), COST, slow_start::Outcome::Completed);
    }

    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}
