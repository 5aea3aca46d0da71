//! Quarantine of requests that crash upstreams.

use hyssopfork_fleet::quarantine::{
    Cause, Completion, Crash, Fingerprint, Ledger, Part, Process, Request, Trial, Verdict,
};
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
    let with_no_parts = |number: &u8| Request { fingerprint: request(*number), parts: Vec::new() };
    let requests = requests.iter().map(with_no_parts).collect();
    Crash { process, age: Duration::ZERO, requests }
}

fn completion(number: u8) -> Completion {
    Completion { cause: Cause::Request(request(number)), age: Duration::ZERO }
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
    ledger.published().get(&Cause::Request(request(number))).copied()
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

/// Guards against a trial attempt every few seconds, or many in a day, for as long as the client
/// retries the request.
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

    assert_eq!(periods, [15, 60, 24 * 3_600, 24 * 3_600]);
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

const CRASHING_PART: u64 = 0xdead;

/// Crash with one request in flight for each list of parts; the requests are different at each crash.
fn crash_with_parts(upstream: u64, prompts: &[&[u64]]) -> Crash {
    let request = |(index, parts): (usize, &&[u64])| Request {
        fingerprint: Fingerprint { length: 100 + index as u64, digest: [upstream as u8; 16] },
        parts: parts.iter().copied().map(Part).collect(),
    };
    let requests = prompts.iter().enumerate().map(request).collect();
    Crash { requests, ..crash(upstream, &[]) }
}

fn part_completion(part: u64) -> Completion {
    Completion { cause: Cause::Part(Part(part)), age: Duration::ZERO }
}

fn part_verdict(ledger: &Ledger, part: u64) -> Option<Verdict> {
    ledger.published().get(&Cause::Part(Part(part))).copied()
}

const ROUND_1: Option<Verdict> = Some(Verdict::Quarantined { round: 1 });

/// Records crashes 200 ms apart, starting at 200 ms, and reviews the ledger 150 ms after each.
fn record_crashes(ledger: &mut Ledger, crashes: &[Crash]) {
    for (count, crash) in (1..).zip(crashes) {
        ledger.record_crash(at(200 * count), crash);
        ledger.review(at(200 * count + 150));
    }
}

/// Guards against judging each request by its whole content when all have one part in common.
#[test]
fn a_part_of_different_requests_is_quarantined_after_the_third_crash() {
    let mut ledger = Ledger::default();
    let crashes =
        [1, 2, 3].map(|upstream| crash_with_parts(upstream, &[&[CRASHING_PART, upstream]]));

    record_crashes(&mut ledger, &crashes[..2]);
    let before = part_verdict(&ledger, CRASHING_PART);
    ledger.record_crash(at(600), &crashes[2]);
    ledger.review(at(750));

    assert_eq!(before, Some(Verdict::Suspect));
    assert_eq!(part_verdict(&ledger, CRASHING_PART), ROUND_1);
}

/// Guards against rejecting all requests with a part when a single request crashes upstreams.
#[test]
fn a_part_of_one_request_alone_is_not_quarantined() {
    let mut ledger = Ledger::default();
    let requests = vec![Request { fingerprint: request(CRASHING), parts: vec![Part(7)] }];

    let crashes =
        (1..=6).map(|upstream| Crash { requests: requests.clone(), ..crash(upstream, &[]) });
    record_crashes(&mut ledger, &crashes.collect::<Vec<_>>());

    assert_eq!(verdict(&ledger, CRASHING), ROUND_1);
    assert_eq!(part_verdict(&ledger, 7), Some(Verdict::Suspect));
}

/// Guards against rejecting parts that most requests have: they are in flight at every crash, and
/// complete elsewhere.
#[test]
fn a_part_that_completes_between_crashes_is_not_quarantined() {
    let mut ledger = Ledger::default();

    for upstream in 1..=20 {
        let crash = crash_with_parts(upstream, &[&[1, CRASHING_PART], &[1, 2]]);
        ledger.record_crash(at(200 * upstream), &crash);
        ledger.record_completion(at(200 * upstream + 50), &part_completion(1));
        ledger.review(at(200 * upstream + 150));
    }

    assert_eq!(part_verdict(&ledger, 1), None);
    assert_eq!(part_verdict(&ledger, CRASHING_PART), ROUND_1);
}

/// Guards against rejecting a rare part that was in flight beside the crashing one at most crashes.
#[test]
fn the_part_with_the_most_crashes_is_quarantined_alone() {
    let mut ledger = Ledger::default();
    let beside: &[&[u64]] = &[&[CRASHING_PART], &[8]];
    let alone: &[&[u64]] = &[&[CRASHING_PART]];
    let prompts = [beside, beside, beside, alone, beside];
    let crashes: Vec<Crash> =
        (1..).zip(prompts).map(|(upstream, prompts)| crash_with_parts(upstream, prompts)).collect();

    record_crashes(&mut ledger, &crashes[..3]);
    let undecided = part_verdict(&ledger, CRASHING_PART);
    record_crashes(&mut ledger, &crashes);

    assert_eq!(undecided, Some(Verdict::Suspect));
    assert_eq!(part_verdict(&ledger, CRASHING_PART), ROUND_1);
    assert_eq!(part_verdict(&ledger, 8), None);
}

/// Guards against waiting for ever for evidence between two parts that always come together.
#[test]
fn parts_with_the_same_crashes_are_quarantined_after_the_fifth() {
    let mut ledger = Ledger::default();
    let crashes: Vec<Crash> =
        (1..=5).map(|upstream| crash_with_parts(upstream, &[&[CRASHING_PART, 8]])).collect();

    record_crashes(&mut ledger, &crashes[..4]);
    let before = part_verdict(&ledger, CRASHING_PART);
    record_crashes(&mut ledger, &crashes);

    assert_eq!(before, Some(Verdict::Suspect));
    assert_eq!([CRASHING_PART, 8].map(|part| part_verdict(&ledger, part)), [ROUND_1; 2]);
}

/// Guards against missing the second of two parts that crash upstreams at the same time.
#[test]
fn two_crashing_parts_are_both_quarantined() {
    let mut ledger = Ledger::default();
    let crashes: Vec<Crash> = (1..=10)
        .map(|upstream| crash_with_parts(upstream, &[&[CRASHING_PART + upstream % 2, 8]]))
        .collect();

    for (count, crash) in (1..).zip(&crashes) {
        ledger.record_crash(at(200 * count), crash);
        ledger.record_completion(at(200 * count + 50), &part_completion(8));
        ledger.review(at(200 * count + 150));
    }

    let verdicts = [CRASHING_PART, CRASHING_PART + 1].map(|part| part_verdict(&ledger, part));
    assert_eq!(verdicts, [ROUND_1; 2]);
}

/// Guards against keeping a request in quarantine for crashes that a part explains.
#[test]
fn a_quarantined_part_frees_requests_that_were_beside_it() {
    let mut ledger = Ledger::default();
    let with_harmless = |upstream: u64| {
        let mut crash = crash_with_parts(upstream, &[&[CRASHING_PART]]);
        crash.requests.push(Request { fingerprint: request(HARMLESS), parts: vec![] });
        crash
    };

    for upstream in 1..=3 {
        ledger.record_crash(at(200 * upstream), &with_harmless(upstream));
    }
    let before = verdict(&ledger, HARMLESS);
    ledger.review(at(750));

    assert_eq!((before, verdict(&ledger, HARMLESS)), (ROUND_1, None));
}

/// Guards against a request that crashes upstreams again because a part that others share was
/// quarantined in its place, and released when one of these completed.
#[test]
fn a_released_part_returns_its_requests_to_quarantine() {
    let mut ledger = Ledger::default();
    let beside_another = |upstream: u64| {
        let mut crash = crash_with_parts(upstream, &[&[7]]);
        crash.requests.push(Request { fingerprint: request(CRASHING), parts: vec![Part(7)] });
        crash
    };
    record_crashes(&mut ledger, &[1, 2, 3].map(beside_another));
    let before = (part_verdict(&ledger, 7), verdict(&ledger, CRASHING));

    ledger.record_completion(at(3_000), &part_completion(7));

    assert_eq!(before, (ROUND_1, None));
    assert_eq!((part_verdict(&ledger, 7), verdict(&ledger, CRASHING)), (None, ROUND_1));
}

/// Guards against several trials in one round, each by another entry, while the first one runs.
#[test]
fn a_trial_begins_the_next_round() {
    let mut ledger = ledger_after_crashes(3);
    let cause = Cause::Request(request(CRASHING));
    let trial = |round, age| Trial { cause, round, age: Duration::from_millis(age) };

    let first = ledger.record_trial(at(20_000), &trial(1, 30));
    let repeated = ledger.record_trial(at(20_250), &trial(1, 280));
    ledger.record_crash(at(20_300), &crash(30, &[CRASHING]));
    let after_crash = verdict(&ledger, CRASHING);
    let ended = ledger.record_completion(at(20_010), &completion(CRASHING));

    assert_eq!((first, repeated), (Some(2), None));
    assert_eq!(after_crash, Some(Verdict::Quarantined { round: 2 }));
    assert!(ended);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Guards against memory use that grows with the requests of crashes, and against evicting
    /// quarantined requests.
    #[test]
    fn memory_is_bounded(crashes in proptest::collection::vec((0..500_u64, 0..200_u64), 50..200)) {
        let mut ledger = ledger_after_crashes(3);
        for (count, (upstream, first)) in crashes.into_iter().enumerate() {
            let requests = (first..first + 64).map(|number| Request {
                fingerprint: Fingerprint {
                    length: number * 1_000 + count as u64,
                    digest: [3; 16],
                },
                parts: vec![Part(number), Part(number * 1_000 + count as u64)],
            });
            let crash = Crash { requests: requests.collect(), ..crash(100 + upstream, &[]) };
            ledger.record_crash(at(1_000 + count as u64), &crash);
        }

        ledger.review(at(2_000));
        prop_assert!(ledger.published().len() <= 1_024);
        prop_assert_eq!(verdict(&ledger, CRASHING), Some(Verdict::Quarantined { round: 1 }));
    }
}
