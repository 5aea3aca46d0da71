//! Any order of delivery of an upstream's calls and reports: nothing older undoes what is known.

use crate::fixture;
use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::order::Report;
use hyssopfork_fleet::quarantine;
use hyssopfork_fleet::registry::{Outcome, Registry};
use hyssopfork_wire::name;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_700);

/// Something that happens to an engine.
#[derive(Clone, Copy, Debug)]
enum Step {
    Join,
    Advance,
    Leave,
    Call,
    Report,
    /// It tells an entry that it leaves; it calls no more.
    Depart,
    Restart,
}

/// Something that the engine said, in the order in which it was said.
#[derive(Clone, Debug)]
enum Fact {
    Call(Announcement),
    Report(Report),
    Departure(u64),
}

fn instance() -> name::Instance {
    name::Instance::from("e1")
}

/// What an engine says while the steps happen, and when each of its memberships had ended, by epoch.
fn facts(steps: &[Step]) -> (Vec<Fact>, BTreeMap<u64, usize>) {
    let (mut start_time_ms, mut sequence, mut orders, mut epoch) = (1_000, 0, 0, 0);
    let mut membership: Option<Membership> = None;
    let mut has_departed = false;
    let mut facts = Vec::new();
    let mut ends = BTreeMap::new();
    for step in steps {
        let held = membership.as_ref().map(|it| it.epoch);
        match step {
            Step::Join => {
                epoch += 1;
                orders += 1;
                let group = name::Group::new(format!("g{epoch}"));
                membership = Some(Membership { group, epoch, rank: 0, state: State::Joining });
            }
            Step::Advance => {
                if let Some(membership) = &mut membership {
                    membership.state = match membership.state {
                        State::Joining => State::Ready,
                        State::Ready | State::Open => State::Open,
                        other => other,
                    };
                }
            }
            Step::Leave => orders += u64::from(membership.take().is_some()),
            Step::Call if !has_departed => {
                sequence += 1;
                let membership = membership.clone();
                let fixture = fixture::announcement("e1");
                facts.push(Fact::Call(Announcement {
                    start_time_ms,
                    sequence,
                    membership,
                    ..fixture
                }));
            }
            Step::Call => {}
            Step::Report => {
                facts.push(Fact::Report(Report {
                    start_time_ms: Some(start_time_ms),
                    accepted_orders: orders,
                    membership: membership.clone(),
                }));
            }
            Step::Depart => {
                has_departed = true;
                facts.push(Fact::Departure(start_time_ms));
            }
            Step::Restart => {
                (start_time_ms, sequence, orders) = (start_time_ms + 1_000, 0, 0);
                (membership, has_departed) = (None, false);
            }
        }
        let now = membership.as_ref().map(|it| it.epoch);
        if let Some(ended) = held.filter(|held| now != Some(*held)) {
            ends.insert(ended, facts.len());
        }
    }
    (facts, ends)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Join),
        3 => Just(Step::Advance),
        2 => Just(Step::Leave),
        6 => Just(Step::Call),
        4 => Just(Step::Report),
        1 => Just(Step::Depart),
        1 => Just(Step::Restart),
    ]
}

/// Steps, and the places of the facts in the order of delivery, some more than once.
fn delivery() -> impl Strategy<Value = (Vec<Step>, Vec<prop::sample::Index>)> {
    let steps = prop::collection::vec(step(), 1..40);
    (steps, prop::collection::vec(any::<prop::sample::Index>(), 0..80))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Guards against a late or repeated call or report that brings an earlier process or membership
    /// back, undoes a departure, or frees an engine that has not left.
    #[test]
    fn no_late_fact_undoes_a_newer_one((steps, order) in delivery()) {
        let (facts, ends) = facts(&steps);
        prop_assume!(!facts.is_empty());
        let mut registry = Registry::new(SILENCE_TIMEOUT);
        let mut departed = Vec::new();
        let mut known: Option<(u64, Option<u64>)> = None;
        for (delivered, index) in order.iter().enumerate() {
            let index = index.index(facts.len());
            let now = fixture::at(10 * delivered as u64);
            match &facts[index] {
                Fact::Call(call) => {
                    let taken = registry.record_announcement(now, call.clone());
                    let is_earlier = known.is_some_and(|(start, _)| call.start_time_ms < start);
                    prop_assert!(!is_earlier || taken == Outcome::Stale);
                }
                Fact::Report(report) => registry.record_report(now, &instance(), report),
                Fact::Departure(start_time_ms) => {
                    let start_time_ms = *start_time_ms;
                    let process = quarantine::Process { instance: instance(), start_time_ms };
                    if registry.record_leaving(&process) {
                        departed.push(start_time_ms);
                    }
                }
            }
            let Some(record) = registry.get(&instance()) else { continue };
            let start = record.announcement.start_time_ms;
            let epoch = record.announcement.membership.as_ref().map(|it| it.epoch);
            if let Some((known_start, known_epoch)) = known {
                prop_assert!(start >= known_start, "back to an earlier process");
                if start == known_start && let Some(known_epoch) = known_epoch {
                    let has_ended = ends.get(&known_epoch).is_some_and(|end| *end <= index);
                    let is_freed = epoch.is_none();
                    prop_assert!(!is_freed || has_ended, "freed from {known_epoch} by {index}");
                    prop_assert!(epoch.is_none_or(|epoch| epoch >= known_epoch), "back in a group");
                }
            }
            prop_assert!(!departed.contains(&start) || record.is_leaving(), "back in service");
            known = Some((start, epoch));
        }
    }
}
