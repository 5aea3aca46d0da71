//! Quarantine of requests that crash upstreams.

use hyssopfork_fleet::quarantine::{Completion, Crash, Fingerprint, Ledger, Process, Verdict};
use hyssopfork_wire::{clock, name};
use proptest::prelude::*;
use std::time::Duration;

const DEADLY: u8 = 1;
const HARMLESS: u8 = 2;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn request(number: u8) -> Fingerprint {
    Fingerprint { length: 10, digest: [number; 16] }
}

fn crash(upstream: u64, requests: &[u8]) -> Crash {
    let process =
        Process { instance: name::Instance::new(format!("i-{upstream}")), start_time_ms: upstream };
    let requests = requests.iter().copied().map(request).collect();
    Crash { process, age: Duration::ZERO, requests }
}

fn completion(number: u8) -> Completion {
    Completion { request: request(number), age: Duration::ZERO }
}

/// A ledger after so many crashes of the deadly request, 200 ms apart from 200 ms on.
fn after(crashes: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for count in 1..=crashes {
        ledger.record_crash(at(200 * count), &crash(count, &[DEADLY]));
    }
    ledger
}

fn verdict(ledger: &Ledger, number: u8) -> Option<Verdict> {
    ledger.published().get(&request(number)).copied()
}

#[test]
fn the_third_crash_quarantines() {
    assert_eq!(verdict(&after(1), DEADLY), None);
    assert_eq!(verdict(&after(2), DEADLY), Some(Verdict::Suspect));
    assert_eq!(verdict(&after(3), DEADLY), Some(Verdict::Quarantined { round: 1 }));
}

/// Guards against counting one crash as often as it is reported.
#[test]
fn a_report_that_comes_again_counts_once() {
    let mut ledger = Ledger::default();

    for millis in [200, 450, 700, 950] {
        let age = Duration::from_millis(millis - 200);
        ledger.record_crash(at(millis), &Crash { age, ..crash(1, &[DEADLY]) });
    }

    assert_eq!(verdict(&ledger, DEADLY), None);
}

/// Guards against rejecting what many clients ask for when upstreams crash for another reason: it
/// completes elsewhere in between.
#[test]
fn a_request_that_completes_between_crashes_is_not_quarantined() {
    let mut ledger = Ledger::default();

    for count in 1..=20 {
        ledger.record_crash(at(200 * count), &crash(count, &[HARMLESS]));
        if verdict(&ledger, HARMLESS) == Some(Verdict::Suspect) {
            ledger.record_completion(at(200 * count + 50), &completion(HARMLESS));
        }
    }

    assert_eq!(verdict(&ledger, HARMLESS), None);
}

/// Guards against rejecting what was in flight when a zone's processes were killed at once.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut ledger = Ledger::default();

    for upstream in 0..30 {
        ledger.record_crash(at(200 + upstream), &crash(upstream, &[HARMLESS]));
    }

    assert_eq!(verdict(&ledger, HARMLESS), None);
}

/// Guards against rejecting requests that ran beside the deadly one: its later crashes say nothing of them.
#[test]
fn a_crash_under_a_quarantined_request_counts_against_no_other() {
    let mut ledger = after(3);

    for count in 10..20 {
        ledger.record_crash(at(300 * count), &crash(count, &[HARMLESS]));
        ledger.record_crash(at(300 * count + 10), &crash(count, &[DEADLY]));
    }

    assert_eq!(verdict(&ledger, HARMLESS), None);
}

#[test]
fn an_attempt_that_completes_ends_the_quarantine() {
    let mut ledger = after(3);

    let ended = ledger.record_completion(at(20_000), &completion(DEADLY));

    assert!(ended);
    assert_eq!(verdict(&ledger, DEADLY), None);
}

/// Guards against ending a quarantine by a message that is older than it.
#[test]
fn a_completion_from_before_the_quarantine_does_not_end_it() {
    let mut ledger = after(3);

    let old = Completion { age: Duration::from_millis(600), ..completion(DEADLY) };
    ledger.record_completion(at(1_000), &old);

    assert_eq!(verdict(&ledger, DEADLY), Some(Verdict::Quarantined { round: 1 }));
}

/// Guards against an attempt each few seconds for as long as the client repeats the request.
#[test]
fn each_attempt_that_crashes_makes_the_quarantine_longer() {
    let mut ledger = after(3);
    let mut now = at(600);
    let mut periods = Vec::new();

    for upstream in 10..14 {
        let period = verdict(&ledger, DEADLY).expect("it is quarantined").period();
        periods.push(period.as_secs());
        now = now + period;
        ledger.record_crash(now, &crash(upstream, &[DEADLY]));
    }

    assert_eq!(periods, [15, 60, 240, 960]);
}

/// Guards against a longer quarantine for attempts that were in flight when it began.
#[test]
fn attempts_from_before_the_quarantine_do_not_make_it_longer() {
    let mut ledger = after(3);

    for upstream in 10..20 {
        ledger.record_crash(at(700 + 100 * upstream), &crash(upstream, &[DEADLY]));
    }

    assert_eq!(verdict(&ledger, DEADLY), Some(Verdict::Quarantined { round: 1 }));
}

#[test]
fn a_new_leader_learns_verdicts_of_its_followers() {
    let known = after(3).published().clone().into_iter().collect();
    let mut next = Ledger::default();

    next.inherit(at(5_000), known);
    next.record_crash(at(6_000), &crash(30, &[DEADLY]));

    assert_eq!(verdict(&next, DEADLY), Some(Verdict::Quarantined { round: 2 }));
}

/// Guards against counting a crash once as inherited and once more as reported again.
#[test]
fn crashes_from_before_the_term_count_as_inherited() {
    let known = after(2).published().clone().into_iter().collect();
    let mut next = Ledger::default();
    next.inherit(at(1_000), known);

    next.record_crash(at(1_100), &Crash { age: Duration::from_millis(700), ..crash(2, &[DEADLY]) });
    let before = verdict(&next, DEADLY);
    next.record_crash(at(1_400), &crash(3, &[DEADLY]));

    assert_eq!(before, Some(Verdict::Suspect));
    assert_eq!(verdict(&next, DEADLY), Some(Verdict::Quarantined { round: 1 }));
}

#[test]
fn what_is_long_over_is_forgotten() {
    let mut ledger = after(3);

    ledger.remove_expired(at(600_000));
    let kept = ledger.published().len();
    ledger.remove_expired(at(700_000));

    assert_eq!((kept, ledger.published().len()), (1, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against memory that grows with the requests of a crash, and against losing the
    /// quarantined ones among them.
    #[test]
    fn memory_is_bounded(crashes in proptest::collection::vec((0..500_u64, 0..200_u64), 50..200)) {
        let mut ledger = after(3);
        for (count, (upstream, first)) in crashes.into_iter().enumerate() {
            let requests = (first..first + 64).map(|number| Fingerprint {
                length: number * 1_000 + count as u64,
                digest: [3; 16],
            });
            let crash = Crash { requests: requests.collect(), ..crash(100 + upstream, &[]) };
            ledger.record_crash(at(1_000 + count as u64), &crash);
        }

        prop_assert!(ledger.published().len() <= 1_024);
        prop_assert_eq!(verdict(&ledger, DEADLY), Some(Verdict::Quarantined { round: 1 }));
    }
}
