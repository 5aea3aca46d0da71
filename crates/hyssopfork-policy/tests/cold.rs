//! Cold upstreams, and zones that leave and return, as callers see them.

use hyssopfork_policy::slow_start;
use hyssopfork_policy_model::entry::Kind;
use hyssopfork_policy_model::report::{Outcome, Report};
use hyssopfork_policy_model::{scenario, simulation};
use hyssopfork_wire::clock;
use hyssopfork_wire::configuration::Class;
use std::time::Duration;

const SEED: u64 = 12;
const FULL: u32 = 16;
const COST: u32 = 100;

fn run(scenario: &scenario::Scenario) -> Report {
    simulation::run(scenario, Kind::Policy, SEED)
}

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// Ends `count` pieces of work, one a second, each of which took `millis`; returns the time.
fn work(slow_start: &mut slow_start::SlowStart, from: u64, count: u64, millis: u64) -> u64 {
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
fn thirty_cold_upstreams_return_without_one_tipping_over() {
    // All upstreams come back at once, cold, under the usual load. With their full share each tips
    // over, restarts and tips over again, and nobody is served at all. The ramp lets through what
    // they bear; callers beyond that are refused, and full service comes with the ramp.
    let report = run(&scenario::cold_start());
    let alone = simulation::slow_start_duration().as_secs_f64();

    assert_eq!(report.crashes, 0);
    assert_eq!(report.outcomes().get(&Outcome::Failed), None, "{:?}", report.outcomes());
    let normal = report.recovered_at(0.0, Duration::from_millis(200));
    assert!(normal.is_some_and(|second| second <= alone), "{normal:?} against {alone}");
}

#[test]
fn upstreams_that_turn_cold_in_silence_are_not_tipped_over() {
    // A third of the upstreams is replaced without a word under a load of 0.8. What ran there is
    // lost; the failures say that they are cold, and they get what a cold one bears.
    let report = run(&scenario::silent_restart());

    assert_eq!(report.crashes, 0);
    assert_eq!(report.ran_twice(), 0);
    assert!(report.served_share(0.0, 60.0) >= 0.98, "{:?}", report.outcomes());
}

#[test]
fn zone_leaves_and_returns_without_a_failed_answer() {
    // Operators take one zone of three out at a load of 0.7, so that the others are past their
    // limits, and bring it back with cold upstreams. Nothing in flight may fail, no cold upstream
    // may tip over, and status checks are answered throughout.
    let report = run(&scenario::zone_evacuation());
    let status = report.outcomes_of(Class::Status);

    assert_eq!(report.outcomes().get(&Outcome::Failed), None, "{:?}", report.outcomes());
    assert_eq!(report.crashes, 0);
    assert_eq!(report.ran_twice(), 0);
    assert_eq!(status.get(&Outcome::Good), Some(&status.values().sum()), "{status:?}");
    assert!(report.served_share(0.0, 60.0) >= 0.98, "{:?}", report.outcomes());
}

#[test]
fn limit_grows_by_completed_work_only() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL);

    let idle = slow_start.limit();
    let held_until = work(&mut slow_start, 3_600_000, slow_start::HOLD_COMPLETIONS.into(), 500);
    let held = slow_start.limit();
    let later = work(&mut slow_start, held_until, 4, 500);
    let worked = slow_start.limit();
    work(&mut slow_start, later, 40, 500);

    assert_eq!(idle, slow_start::INITIAL_LIMIT);
    assert_eq!(held, slow_start::INITIAL_LIMIT);
    assert_eq!(worked, slow_start::INITIAL_LIMIT + 2);
    assert!(slow_start.is_warm());
}

#[test]
fn another_incarnation_is_cold() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL);
    slow_start.on_incarnation(at(0), "first");
    let now = work(&mut slow_start, 0, 40, 500);

    let same = slow_start.on_incarnation(at(now), "first");
    let other = slow_start.on_incarnation(at(now), "second");

    assert!(!same && other);
    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}

#[test]
fn work_as_slow_as_on_a_cold_upstream_means_cold() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL);
    let now = work(&mut slow_start, 0, 80, 100);

    work(&mut slow_start, now, u64::from(slow_start::CONSECUTIVE_SLOW), 900);

    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}

#[test]
fn a_full_batch_does_not_count_as_cold() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL);
    let now = work(&mut slow_start, 0, 80, 100);

    work(&mut slow_start, now, 20, 300);

    assert!(slow_start.is_warm());
}

#[test]
fn work_from_before_the_cold_turn_does_not_warm() {
    let mut slow_start = slow_start::SlowStart::new(at(0), FULL);
    slow_start.reset(at(10_000));

    for _ in 0..40 {
        slow_start.on_request_ended(at(11_000), at(9_000), COST, slow_start::Outcome::Completed);
    }

    assert_eq!(slow_start.limit(), slow_start::INITIAL_LIMIT);
}
