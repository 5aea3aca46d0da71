//! Agents that follow the scoped view.

use crate::solo::fixture;
use hyssopfork_control::interests;
use hyssopfork_state::{scope, view};
use hyssopfork_wire::{change, configuration, control, fleet, name, number, patch};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of instances in the random histories.
const INSTANCES: u32 = 6;
const GROUPS: u32 = 3;

fn named<T: From<&'static str>>(names: &[&'static str], place: u32) -> T {
    T::from(names[place as usize])
}

fn instance(place: u32) -> name::Instance {
    named(&["i0", "i1", "i2", "i3", "i4", "i5"], place)
}

fn group(place: u32) -> name::Group {
    named(&["g0", "g1", "g2"], place)
}

/// A random change that is valid after `view`.
fn change(view: &change::View, random: &mut ChaCha8Rng) -> change::Change {
    let place = random.random_range(0..INSTANCES);
    let group = group(random.random_range(0..GROUPS));
    match random.random_range(0..6) {
        0 => joined(instance(place).as_str()),
        1 => change::Change::Forgotten(instance(place)),
        2 => change::Change::Unplaced(group),
        3 => configured(view, patch::Operation::SetDrained(instance(place), true)),
        4 => configured(view, patch::Operation::RemoveTeam("team".into())),
        _ => {
            let taken = |other: &name::Instance| {
                let others = view.placements.iter().filter(|(name, _)| **name != group);
                others.into_iter().any(|(_, placed)| placed.members.contains(other))
            };
            let free = (0..INSTANCES).map(instance).filter(|other| !taken(other));
            let members = free.take(2).collect();
            let fence = number::Fence(view.version.0 + 1);
            change::Change::Placed(group, fleet::Placement { fence, members })
        }
    }
}

fn joined(instance: &str) -> change::Change {
    change::Change::Joined(Box::new(fleet::Member {
        announcement: fixture::announcement(instance, "d1", 1),
        incarnation: number::Incarnation(1),
        present: true,
        leaving: false,
    }))
}

fn configured(view: &change::View, operation: patch::Operation) -> change::Change {
    let number = view.configuration.number.next();
    change::Change::Configured { number, operations: vec![operation] }
}

/// The state that an agent decides by, which must not change unless the agent is woken.
fn decision_state(view: &change::View) -> impl PartialEq + std::fmt::Debug + use<> {
    let drained = |other: &&name::Instance| view.configuration.drained.contains(*other);
    let drained: Vec<name::Instance> = view.members.keys().filter(drained).cloned().collect();
    (view.members.clone(), view.placements.clone(), drained)
}

// An agent with the scoped view must know the same of its instance, its group and the declaration
// as one with the whole view. If it missed a change, it would serve in a group that has ended, or
// reject work for one that is in force.
#[test]
fn a_narrowed_update_always_yields_the_scoped_view() {
    for seed in 0..300 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut whole = change::View::default();
        let mut interests = interests::Interests::new(&whole);
        let mut steps = Vec::new();
        let mut scoped_views = vec![change::View::default(); INSTANCES as usize];
        for version in 1..60 {
            let version = number::Version(version);
            let step = change::Step { version, changes: vec![change(&whole, &mut random)] };
            view::apply_step(&mut whole, &step);
            interests.push(&step, number::Version(0));
            steps.push(step);
            for (index, scoped_view) in scoped_views.iter_mut().enumerate() {
                let instance = instance(index as u32);
                let is_woken = interests.affects(&instance, scoped_view.version);
                if !is_woken {
                    let now = scope::view(&whole, &instance);
                    assert_eq!(
                        decision_state(scoped_view),
                        decision_state(&now),
                        "seed {seed}, {version}"
                    );
                }
                if !is_woken && random.random_bool(0.9) {
                    continue;
                }
                let newer = steps.iter().filter(|step| step.version > scoped_view.version);
                let update = change::Update::Steps(newer.cloned().collect());
                let update = interests.narrow(&whole, scoped_view.version, update, &instance);
                view::apply_update(scoped_view, update).unwrap();

                assert_eq!(*scoped_view, scope::view(&whole, &instance), "seed {seed}, {version}");
            }
        }
    }
}

// Thousands of agents follow the view. A change of teams or routes, or of an instance in another
// group, must wake none of them; a zone that is taken out wakes all.
#[test]
fn agents_are_woken_only_by_changes_in_their_scope() {
    let mut solo = fixture::Solo::leading();
    ["e1", "e2"].into_iter().for_each(|name| solo.add_agent(name, "d1", 1));
    solo.run(Duration::from_secs(1));
    let version = solo.view().version;
    let follow = |solo: &mut fixture::Solo| {
        let version = solo.view().version;
        solo.call(control::Request::Follow(version, "e1".into()))
    };

    let first = follow(&mut solo);
    let team = configuration::Team { token_sha256: ["a".repeat(64)].into(), weight: 1 };
    solo.submit("team", vec![patch::Operation::PutTeam("other".into(), team)]);
    solo.advance(Duration::from_millis(200));
    let by_team = solo.replies.contains_key(&first);
    let zone = solo.view().configuration.zones.keys().next().cloned().unwrap();
    solo.submit("out", vec![patch::Operation::SetZoneOut(zone, true)]);
    solo.advance(Duration::from_millis(200));
    let by_zone = solo.replies.get(&first);

    assert!(!by_team);
    assert!(matches!(by_zone, Some(control::Response::Updated(change::Update::Steps(_)))));
    assert!(solo.view().version > version);
}
