//! Silence alone is no death.

use crate::{fixture, world};
use hyssopfork_fleet::groups::failure_detector::{Detector, Verdict};
use hyssopfork_fleet::groups::order::Liveness;
use hyssopfork_fleet::peer;
use hyssopfork_wire::name;
use std::collections::BTreeSet;
use std::time::Duration;

fn e1() -> name::Instance {
    name::Instance::from("e1")
}

fn detector_with_open_probe(others: &[u8]) -> Detector {
    let mut inquiry = Detector::default();
    let others: BTreeSet<_> = others.iter().map(|host| fixture::address(*host)).collect();
    assert!(inquiry.start_probe(fixture::at(0), &e1(), &others));
    inquiry
}

#[test]
fn three_misses_and_nobody_else_who_reaches_it_are_death() {
    let mut inquiry = detector_with_open_probe(&[2]);
    let others = BTreeSet::from([fixture::address(2)]);
    let spread = Verdict::ProbeIndirectly { peers: others, probe_again: true };
    assert_eq!(inquiry.on_probe_result(fixture::at(100), &e1(), Liveness::TimedOut), spread);
    assert_eq!(
        inquiry.on_probe_result(fixture::at(200), &e1(), Liveness::TimedOut),
        Verdict::ProbeAgain
    );
    assert_eq!(inquiry.on_probe_result(fixture::at(300), &e1(), Liveness::TimedOut), Verdict::Wait);

    let verdict =
        inquiry.on_indirect_probe_result(fixture::at(310), fixture::address(2), &e1(), false);

    assert_eq!(verdict, Verdict::Dead);
}

/// The leader is cut off from an engine that others still use: it must not be taken for dead.
#[test]
fn one_process_that_reaches_it_saves_it() {
    let mut inquiry = detector_with_open_probe(&[2, 3]);
    inquiry.on_indirect_probe_result(fixture::at(10), fixture::address(2), &e1(), true);

    for millis in [100, 200, 300] {
        let verdict = inquiry.on_probe_result(fixture::at(millis), &e1(), Liveness::TimedOut);
        assert_eq!(verdict, Verdict::Alive);
    }
}

#[test]
fn bytes_that_an_entry_gets_save_it() {
    let mut inquiry = detector_with_open_probe(&[]);
    inquiry.on_probe_result(fixture::at(100), &e1(), Liveness::TimedOut);
    inquiry.on_probe_result(fixture::at(200), &e1(), Liveness::TimedOut);
    let moving = peer::Evidence {
        moving: vec![(e1(), Duration::from_millis(20))],
        ..peer::Evidence::default()
    };
    inquiry.on_evidence(fixture::at(290), fixture::address(4), &moving);

    let verdict = inquiry.on_probe_result(fixture::at(300), &e1(), Liveness::TimedOut);

    assert_eq!(verdict, Verdict::Alive);
}

#[test]
fn an_engine_stands_still_only_when_it_does_for_all() {
    let mut inquiry = Detector::default();
    inquiry.on_evidence(fixture::at(0), fixture::address(2), &world::stalled(&e1()));
    assert!(inquiry.is_stalled(fixture::at(10), &e1()));

    let moving =
        peer::Evidence { moving: vec![(e1(), Duration::ZERO)], ..peer::Evidence::default() };
    inquiry.on_evidence(fixture::at(20), fixture::address(3), &moving);

    assert!(!inquiry.is_stalled(fixture::at(30), &e1()));
}

/// A group pauses over long prompts; its members answer the leader's first question. Nobody else is
/// bothered, and a member that dies in the next moment is asked again soon.
#[test]
fn an_upstream_that_answers_is_asked_by_the_leader_alone_and_again_soon() {
    let mut inquiry = detector_with_open_probe(&[2, 3]);
    assert_eq!(inquiry.on_probe_result(fixture::at(2), &e1(), Liveness::Alive), Verdict::Alive);

    let again = inquiry.start_probe(fixture::at(320), &e1(), &BTreeSet::new());

    assert!(again);
}
