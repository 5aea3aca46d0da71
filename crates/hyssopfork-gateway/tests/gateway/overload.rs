//! More work than the groups can take, judged by what callers get.
//!
//! The load is that of a day on which a zone of three is out: groups with slots for half of what
//! arrives. A toy group ends each request after a second when its slots suffice, and lets what is
//! over wait; the objective is 0.3 s to the first event, of which a free slot needs 0.1 s.

use crate::fixture::{self, Entry, arrival};
use hyssopfork_gateway::{action, event, load};
use hyssopfork_wire::name;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time that a request runs.
const RUN: u64 = 1_000;
/// Time to the first event where a slot is free.
const FIRST: u64 = 100;
/// Time between arrivals: 40 a second before 16 slots.
const BETWEEN: u64 = 25;

#[derive(Default)]
struct Group {
    running: Vec<(u64, u64)>,
    waiting: VecDeque<u64>,
}

struct Seen {
    in_time: u32,
    late: u32,
    refused: u32,
    returns: Vec<Duration>,
}

/// Runs the load for so many milliseconds; `limited` is whether refusals count as the entry decides,
/// or every request is sent regardless.
fn run(millis: u64) -> Seen {
    let mut entry = Entry::ready();
    let mut groups: BTreeMap<name::Instance, Group> = BTreeMap::new();
    let mut arrived = BTreeMap::new();
    let mut seen = Seen { in_time: 0, late: 0, refused: 0, returns: Vec::new() };
    for now in 0..millis {
        entry.pass(1);
        for group in groups.values_mut() {
            let ended: Vec<u64> = group
                .running
                .iter()
                .filter(|(_, at)| *at + RUN <= now)
                .map(|(it, _)| *it)
                .collect();
            group.running.retain(|(_, at)| *at + RUN > now);
            ended.into_iter().for_each(|number| drop(entry.step(event::Event::Ended(number))));
            while group.running.len() < fixture::SLOTS as usize {
                let Some(number) = group.waiting.pop_front() else { break };
                group.running.push((number, now));
            }
            for (number, at) in &group.running {
                if *at + FIRST == now {
                    let report = load::Report {
                        running: group.running.len() as u32,
                        waiting: group.waiting.len() as u32,
                        slots: fixture::SLOTS,
                    };
                    let head = event::Head { status: 200, load: Some(report) };
                    entry.step(event::Event::Headed(*number, head));
                    let first = now - arrived[number];
                    if first <= 300 { seen.in_time += 1 } else { seen.late += 1 }
                }
            }
        }
        if now % BETWEEN == 0 {
            let (number, decision) = entry.arrive(arrival("stream"));
            arrived.insert(number, now);
            match decision {
                action::Decision::Start(start) => {
                    groups.entry(start.instance.clone()).or_default().waiting.push_back(number);
                }
                action::Decision::Refuse(refusal) => {
                    seen.refused += 1;
                    seen.returns.extend(refusal.retry_after);
                }
                other => panic!("{other:?}"),
            }
        }
    }
    seen
}

/// Twice the load that the groups bear: those that are admitted begin in time, in place of all
/// waiting until each is late.
#[test]
fn what_is_admitted_under_overload_is_served_in_time() {
    let seen = run(20_000);

    let served = seen.in_time + seen.late;
    assert!(f64::from(seen.in_time) > 0.8 * f64::from(served), "{} of {served}", seen.in_time);
    // Sixteen slots end sixteen requests a second.
    assert!(served >= 14 * 20, "{served} served in 20 s");
}

/// Refused callers are told times that follow one another, not all the same one.
#[test]
fn refused_callers_are_not_sent_back_all_at_once() {
    let seen = run(5_000);

    let mut distinct = seen.returns.clone();
    distinct.sort();
    distinct.dedup();
    assert!(seen.refused > 20);
    assert!(distinct.len() > 5, "{distinct:?}");
}
