//! Silence alone is no death.

use crate::{fixture, world};
use hyssopfork_fleet::groups::inquiry::{Inquiry, Verdict};
use hyssopfork_fleet::groups::order::Sign;
use hyssopfork_fleet::peer;
use hyssopfork_wire::name;
use std::collections::BTreeSet;
use std::time::Duration;

fn e1() -> name::Instance {
    name::Instance::from("e1")
}

fn asked(others: &[u8]) -> Inquiry {
    let mut inquiry = Inquiry::default();
    let others: BTreeSet<_> = others.iter().map(|host| fixture::address(*host)).collect();
    assert!(inquiry.ask(fixture::at(0), &e1(), &others));
    inquiry
}

#[test]
fn three_misses_and_nobody_else_who_reaches_it_are_death() {
    let mut inquiry = asked(&[2]);
    let others = BTreeSet::from([fixture::address(2)]);
    let spread = Verdict::Spread { others, again: true };
    assert_eq!(inquiry.answered(fixture::at(100), &e1(), Sign::Missing), spread);
    assert_eq!(inquiry.answered(fixture::at(200), &e1(), Sign::Missing), Verdict::Ask);
    assert_eq!(inquiry.answered(fixture::at(300), &e1(), Sign::Missing), Verdict::Wait);

    let verdict = inquiry.vouched(fixture::at(310), fixture::address(2), &e1(), false);

    assert_eq!(verdict, Verdict::Dead);
}

/// The leader is cut off from an engine that others still use: it must not be taken for dead.
#[test]
fn one_process_that_reaches_it_saves_it() {
    let mut inquiry = asked(&[2, 3]);
    inquiry.vouched(fixture::at(10), fixture::address(2), &e1(), true);

    for millis in [100, 200, 300] {
        let verdict = inquiry.answered(fixture::at(millis), &e1(), Sign::Missing);
        assert_eq!(verdict, Verdict::Alive);
    }
}

#[test]
fn bytes_that_an_entry_gets_save_it() {
    let mut inquiry = asked(&[]);
    inquiry.answered(fixture::at(100), &e1(), Sign::Missing);
    inquiry.answered(fixture::at(200), &e1(), Sign::Missing);
    let moving = peer::Evidence {
        progressing: vec![(e1(), Duration::from_millis(20))],
        ..peer::Evidence::default()
    };
    inquiry.saw(fixture::at(290), fixture::address(4), &moving);

    let verdict = inquiry.answered(fixture::at(300), &e1(), Sign::Missing);

    assert_eq!(verdict, Verdict::Alive);
}

#[test]
fn an_engine_stands_still_only_when_it_does_for_all() {
    let mut inquiry = Inquiry::default();
    inquiry.saw(fixture::at(0), fixture::address(2), &world::stalled_evidence(&e1()));
    assert!(inquiry.is_stalled(fixture::at(10), &e1()));

    let moving =
        peer::Evidence { progressing: vec![(e1(), Duration::ZERO)], ..peer::Evidence::default() };
    inquiry.saw(fixture::at(20), fixture::address(3), &moving);

    assert!(!inquiry.is_stalled(fixture::at(30), &e1()));
}

/// A group pauses over long prompts; its members answer the leader's first question. Nobody else is
/// bothered, and a member that dies in the next moment is asked again soon.
#[test]
fn an_upstream_that_answers_is_asked_by_the_leader_alone_and_again_soon() {
    let mut inquiry = asked(&[2, 3]);
    assert_eq!(inquiry.answered(fixture::at(2), &e1(), Sign::Alive), Verdict::Alive);

    let again = inquiry.ask(fixture::at(320), &e1(), &BTreeSet::new());

    assert!(again);
}
