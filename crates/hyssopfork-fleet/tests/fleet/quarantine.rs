//! Quarantine of requests that crash upstreams.

use hyssopfork_fleet::quarantine::{Completion, Crash, Fingerprint, Ledger, Process, Verdict};
use hyssopfork_wire::{clock, name};
use proptest::prelude::*;
use std::time::Duration;

const CRASHING: u8 = 1;
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

/// A ledger after this many crashes of the crashing request, 200 ms apart, starting at 200 ms.
fn ledger_after_crashes(crashes: u64) -> Ledger {
    let mut ledger = Ledger::default();
    for count in 1..=crashes {
        ledger.record_crash(at(200 * count), &crash(count, &[CRASHING]));
    }
    ledger
}

fn verdict(ledger: &Ledger, number: u8) -> Option<Verdict> {
    ledger.published().get(&request(number)).copied()
}

#[test]
fn the_third_crash_quarantines() {
    assert_eq!(verdict(&ledger_after_crashes(1), CRASHING), None);
    assert_eq!(verdict(&ledger_after_crashes(2), CRASHING), Some(Verdict::Suspect));
    assert_eq!(
        verdict(&ledger_after_crashes(3), CRASHING),
        Some(Verdict::Quarantined { round: 1 })
    );
}

/// Guards against counting a crash once per report.
#[test]
fn a_repeated_crash_report_counts_once() {
    let mut ledger = Ledger::default();

    for millis in [200, 450, 700, 950] {
        let age = Duration::from_millis(millis - 200);
        ledger.record_crash(at(millis), &Crash { age, ..crash(1, &[CRASHING]) });
    }

    assert_eq!(verdict(&ledger, CRASHING), None);
}

/// Guards against rejecting a request that many clients send when upstreams crash for another
/// reason; it completes elsewhere in between.
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

/// Guards against rejecting requests that were in flight when all processes of a zone were killed.
#[test]
fn coinciding_crashes_count_once() {
    let mut ledger = Ledger::default();

    for upstream in 0..30 {
        ledger.record_crash(at(200 + upstream), &crash(upstream, &[HARMLESS]));
    }

    assert_eq!(verdict(&ledger, HARMLESS), None);
}

/// Guards against rejecting requests that ran concurrently with the crashing one.
#[test]
fn a_crash_under_a_quarantined_request_counts_against_no_other() {
    let mut ledger = ledger_after_crashes(3);

    for count in 10..20 {
        ledger.record_crash(at(300 * count), &crash(count, &[HARMLESS]));
        ledger.record_crash(at(300 * count + 10), &crash(count, &[CRASHING]));
    }

    assert_eq!(verdict(&ledger, HARMLESS), None);
}

#[test]
fn a_completed_attempt_ends_the_quarantine() {
    let mut ledger = ledger_after_crashes(3);

    let ended = ledger.record_completion(at(20_000), &completion(CRASHING));

    assert!(ended);
    assert_eq!(verdict(&ledger, CRASHING), None);
}

/// Guards against ending a quarantine by a completion from before it.
#[test]
fn a_completion_from_before_the_quarantine_does_not_end_it() {
    let mut ledger = ledger_after_crashes(3);

    let old = Completion { age: Duration::from_millis(600), ..completion(CRASHING) };
    ledger.record_completion(at(1_000), &old);

    assert_eq!(verdict(&ledger, CRASHING), Some(Verdict::Quarantined { round: 1 }));
}

/// Guards against a trial attempt every few seconds for as long as the client retries the request.
#[test]
fn each_crashing_attempt_extends_the_quarantine() {
    let mut ledger = ledger_after_crashes(3);
    let mut now = at(600);
    let mut periods = Vec::new();

    for upstream in 10..14 {
        let period = verdict(&ledger, CRASHING).expect("it is quarantined").period();
        periods.push(period.as_secs());
        now = now + period;
        ledger.record_crash(now, &crash(upstream, &[CRASHING]));
    }

    assert_eq!(periods, [15, 60, 240, 960]);
}

/// Guards against extending a quarantine for attempts that were in flight when it began.
#[test]
fn attempts_from_before_the_quarantine_do_not_extend_it() {
    let mut ledger = ledger_after_crashes(3);

    for upstream in 10..20 {
        ledger.record_crash(at(700 + 100 * upstream), &crash(upstream, &[CRASHING]));
    }

    assert_eq!(verdict(&ledger, CRASHING), Some(Verdict::Quarantined { round: 1 }));
}

#[test]
fn a_new_leader_inherits_the_verdicts_of_its_followers() {
    let known = ledger_after_crashes(3).published().clone().into_iter().collect();
    let mut next = Ledger::default();

    next.inherit(at(5_000), known);
    next.record_crash(at(6_000), &crash(30, &[CRASHING]));

    assert_eq!(verdict(&next, CRASHING), Some(Verdict::Quarantined { round: 2 }));
}

/// Guards against counting a crash twice, as inherited and as reported again.
#[test]
fn crashes_from_before_the_term_count_as_inherited() {
    let known = ledger_after_crashes(2).published().clone().into_iter().collect();
    let mut next = Ledger::default();
    next.inherit(at(1_000), known);

    next.record_crash(
        at(1_100),
        &Crash { age: Duration::from_millis(700), ..crash(2, &[CRASHING]) },
    );
    let before = verdict(&next, CRASHING);
    next.record_crash(at(1_400), &crash(3, &[CRASHING]));

    assert_eq!(before, Some(Verdict::Suspect));
    assert_eq!(verdict(&next, CRASHING), Some(Verdict::Quarantined { round: 1 }));
}

#[test]
fn expired_records_are_removed() {
    let mut ledger = ledger_after_crashes(3);

    ledger.remove_expired(at(600_000));
    let kept = ledger.published().len();
    ledger.remove_expired(at(700_000));

    assert_eq!((kept, ledger.published().len()), (1, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against memory use that grows with the requests of crashes, and against evicting
    /// quarantined requests.
    #[test]
    fn memory_is_bounded(crashes in proptest::collection::vec((0..500_u64, 0..200_u64), 50..200)) {
        let mut ledger = ledger_after_crashes(3);
        for (count, (upstream, first)) in crashes.into_iter().enumerate() {
            let requests = (first..first + 64).map(|number| Fingerprint {
                length: number * 1_000 + count as u64,
                digest: [3; 16],
            });
            let crash = Crash { requests: requests.collect(), ..crash(100 + upstream, &[]) };
            ledger.record_crash(at(1_000 + count as u64), &crash);
        }

        prop_assert!(ledger.published().len() <= 1_024);
        prop_assert_eq!(verdict(&ledger, CRASHING), Some(Verdict::Quarantined { round: 1 }));
    }
}
