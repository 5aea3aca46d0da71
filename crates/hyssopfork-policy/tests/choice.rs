//! The choice of an upstream, and the retry budget.

use hyssopfork_policy::{choice, ejection, hedge, retry, slow_start};
use hyssopfork_wire::{attempt, clock, frame, name, number, refusal};
use std::collections::BTreeSet;
use std::time::Duration;

const UPSTREAMS: usize = 6;
const LIMIT: u32 = 16;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn instance(index: usize) -> name::Instance {
    name::Instance::new(format!("runner-{index}"))
}

fn load(running: u32, limit: u32) -> frame::Load {
    frame::Load { version: number::Version(1), running, limit, warm: true }
}

fn identifier(count: u64) -> attempt::Identifier {
    attempt::Identifier { boot: 1, count }
}

/// Upstreams alternating between two zones, whose agents have reported.
fn chooser() -> choice::Chooser {
    let mut chooser = choice::Chooser::default();
    for index in 0..UPSTREAMS {
        let zone = name::Zone::new(format!("zone-{}", index % 2));
        let upstream = choice::Upstream { instance: instance(index), zone, concurrency: LIMIT };
        chooser.insert(at(0), upstream);
        chooser.on_load_report(at(0), &instance(index), load(0, LIMIT));
    }
    chooser
}

fn pick(chooser: &mut choice::Chooser, now: u64, prefix: Option<u64>) -> Option<name::Instance> {
    let zone = "zone-0".into();
    let criteria = choice::Criteria { zone: &zone, prefix, excluded: &[] };
    chooser.pick(at(now), criteria, now.wrapping_mul(0x9e37_79b9))
}

/// Sends `count` attempts with a prefix, none of which ends; returns their upstreams.
fn send(chooser: &mut choice::Chooser, count: u64, prefix: Option<u64>) -> Vec<name::Instance> {
    let mut sent = Vec::new();
    for number in 0..count {
        let Some(chosen) = pick(chooser, number, prefix) else { break };
        chooser.on_attempt_sent(at(number), &chosen, identifier(number), 50);
        sent.push(chosen);
    }
    sent
}

#[test]
fn upstream_has_the_cold_limit_until_its_agent_reports() {
    let mut chooser = choice::Chooser::default();
    let upstream =
        choice::Upstream { instance: instance(0), zone: "zone-0".into(), concurrency: LIMIT };
    chooser.insert(at(0), upstream);

    let sent = send(&mut chooser, 10, None);

    assert_eq!(sent.len(), slow_start::INITIAL_LIMIT as usize);
}

#[test]
fn hot_prefix_spreads_before_it_overloads_its_upstream() {
    // All requests share one prompt prefix. Sent to where it is cached whatever the load, they
    // would fill one upstream while five are idle.
    let mut chooser = chooser();

    let sent = send(&mut chooser, 24, Some(7));

    let counts =
        (0..UPSTREAMS).map(|index| sent.iter().filter(|it| **it == instance(index)).count());
    let used: BTreeSet<_> = sent.iter().collect();
    assert!(counts.max().unwrap_or_default() <= 9, "{sent:?}");
    assert!(used.len() >= 3, "{used:?}");
}

#[test]
fn prefix_keeps_its_upstream_and_follows_cache_events() {
    let mut chooser = chooser();
    let first = pick(&mut chooser, 1, Some(7)).expect("all upstreams are free");
    let other = (0..UPSTREAMS).map(instance).find(|it| *it != first).expect("there are six");

    let again = pick(&mut chooser, 2, Some(7));
    chooser.on_cache_event(at(2), &other, 7, true);
    let after_event = pick(&mut chooser, 3, Some(7));
    chooser.forget_cache(&other);
    let after_forget = pick(&mut chooser, 4, Some(7));

    assert_eq!(again.as_ref(), Some(&first));
    assert_eq!(after_event, Some(other));
    assert_eq!(after_forget, Some(first));
}

#[test]
fn evacuated_zone_gets_no_requests() {
    let mut chooser = chooser();
    chooser.set_zone_evacuated(&"zone-0".into(), true);

    let sent = send(&mut chooser, 100, None);

    assert_eq!(sent.len(), UPSTREAMS / 2 * LIMIT as usize);
    assert!(sent.iter().all(|it| *it != instance(0)));
}

#[test]
fn returning_zone_has_the_cold_limit_until_its_agents_report() {
    // The zone's upstreams may have been restarted while it was evacuated: their earlier limits say
    // nothing about the present ones.
    let mut chooser = chooser();
    chooser.set_zone_evacuated(&"zone-0".into(), true);
    chooser.set_zone_evacuated(&"zone-0".into(), false);

    let before_report = chooser.capacity(at(1)).free;
    chooser.on_load_report(at(2), &instance(0), load(0, LIMIT));
    let after_report = chooser.capacity(at(2)).free;

    assert_eq!(before_report, 3 * LIMIT + 3 * slow_start::INITIAL_LIMIT);
    assert_eq!(after_report, 4 * LIMIT + 2 * slow_start::INITIAL_LIMIT);
}

#[test]
fn own_zone_is_preferred_up_to_the_cross_zone_penalty() {
    let mut chooser = chooser();

    let sent = send(&mut chooser, 60, None);

    let local = |sent: &[name::Instance]| {
        sent.iter()
            .filter(|it| (0..UPSTREAMS).step_by(2).any(|index| **it == instance(index)))
            .count()
    };
    assert!(local(&sent[..6]) >= 4, "{sent:?}");
    assert!((30..=42).contains(&local(&sent)), "{}", local(&sent));
}

#[test]
fn tried_upstreams_are_not_chosen_again() {
    let mut chooser = chooser();
    let zone = "zone-0".into();
    let excluded: Vec<_> = (0..UPSTREAMS - 1).map(instance).collect();
    let criteria = choice::Criteria { zone: &zone, prefix: None, excluded: &excluded };

    let chosen = chooser.pick(at(1), criteria, 1);

    assert_eq!(chosen, Some(instance(UPSTREAMS - 1)));
}

#[test]
fn failing_upstreams_are_ejected_up_to_the_largest_share_and_return_by_slow_start() {
    // Five of six upstreams fail every request: the fault is common, and ejecting all of them would
    // leave one for the whole load.
    let mut chooser = chooser();
    let mut number = 0;
    for index in 0..UPSTREAMS - 1 {
        for _ in 0..ejection::CONSECUTIVE_FAILURES {
            number += 1;
            chooser.on_attempt_sent(at(number), &instance(index), identifier(number), 50);
            chooser.on_attempt_ended(at(number), identifier(number), choice::Outcome::Failed);
        }
    }
    pick(&mut chooser, 200, None);

    let before = chooser.capacity(at(200)).free;
    let after = chooser.capacity(at(200) + ejection::BASE_EJECTION_TIME).free;

    // One of six is ejected; the limits of four others were decreased by their failures.
    assert!(before >= 3 * LIMIT, "{before}");
    assert!(before < UPSTREAMS as u32 * LIMIT, "{before}");
    assert_eq!(after, before + slow_start::INITIAL_LIMIT);
}

#[test]
fn crash_that_fails_all_requests_in_flight_is_one_failure() {
    // An upstream's process is replaced, and all its requests in flight fail at once. It is back
    // already, and cold: slow start lets it warm up, whereas an ejection would withhold its share
    // of the load.
    let mut chooser = chooser();
    for number in 0..10 {
        chooser.on_attempt_sent(at(number), &instance(0), identifier(number), 50);
    }
    for number in 0..10 {
        chooser.on_attempt_ended(at(20 + number), identifier(number), choice::Outcome::Failed);
    }
    pick(&mut chooser, 200, None);

    let free = chooser.capacity(at(200)).free;

    assert!(free > (UPSTREAMS as u32 - 1) * LIMIT, "{free}");
}

#[test]
fn attempts_of_a_removed_upstream_still_end() {
    let mut chooser = chooser();
    chooser.on_attempt_sent(at(1), &instance(0), identifier(1), 50);

    chooser.remove(&instance(0));
    chooser.on_attempt_ended(at(2), identifier(1), choice::Outcome::Failed);

    assert_eq!(chooser.instances().count(), UPSTREAMS - 1);
    assert_eq!(chooser.capacity(at(2)).free, (UPSTREAMS as u32 - 1) * LIMIT);
}

#[test]
fn non_repeatable_request_that_may_have_run_is_never_retried() {
    let mut budget = retry::Budget::default();

    assert!(!budget.try_retry(false, refusal::Ran::MayHaveRun));
    assert!(budget.try_retry(false, refusal::Ran::NotRun));
    assert!(budget.try_retry(true, refusal::Ran::MayHaveRun));
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = retry::Budget::default();
    for _ in 0..1_000 {
        budget.try_spend();
    }

    let mut retried = 0;
    for _ in 0..1_000 {
        budget.on_first_attempt();
        retried += u32::from(budget.try_retry(true, refusal::Ran::MayHaveRun));
    }

    let share = f64::from(retried) / 1_000.0;
    assert!((share - retry::RETRY_RATIO).abs() <= 0.005, "{share}");
}

#[test]
fn hedge_waits_for_the_tail_and_never_copies_non_repeatable_requests() {
    let mut hedge = hedge::Hedge::default();
    let mut budget = retry::Budget::default();
    for millis in 1..=200 {
        hedge.record_start_latency(Duration::from_millis(millis));
    }
    let delay = hedge.delay().expect("enough samples were recorded");

    let early = hedge.try_hedge(true, delay / 2, &mut budget);
    let non_repeatable = hedge.try_hedge(false, delay * 2, &mut budget);
    let due = hedge.try_hedge(true, delay, &mut budget);

    assert!(delay >= Duration::from_millis(190), "{delay:?}");
    assert!(!early && !non_repeatable && due);
}

/// An engine fails, and its agent reports a limit of 0 with a rejection. A moment later the engine
/// serves again, and only a response to a request could report it. If the limit never expired,
/// clients would wait out their deadlines before an upstream that is free.
#[test]
fn upstream_with_a_limit_of_zero_is_tried_again() {
    let mut chooser = choice::Chooser::default();
    let upstream =
        choice::Upstream { instance: instance(0), zone: "zone-0".into(), concurrency: LIMIT };
    chooser.insert(at(0), upstream);
    chooser.on_load_report(at(0), &instance(0), load(5, 0));

    let immediately = pick(&mut chooser, 10, None);
    let later = pick(&mut chooser, 260, None);

    assert_eq!(immediately, None);
    assert_eq!(later, Some(instance(0)));
    assert_eq!(chooser.capacity(at(260)).free, 1);
}
