//! Placement and repair: properties over random fleets, and the losses that it is meant for.

use hyssopfork_policy::{placement, weight_loads};
use hyssopfork_wire::name;
use placement::{Availability, Decision};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const DOMAINS: usize = 4;
const INSTANCES: usize = 5;

fn name_of(domain: usize, place: usize) -> name::Instance {
    name::Instance::new(format!("instance-{domain}-{place}"))
}

fn names(domain: usize, places: &[usize]) -> Vec<name::Instance> {
    places.iter().map(|place| name_of(domain, *place)).collect()
}

fn instance(domain: usize, place: usize, standing: Availability) -> placement::Instance {
    placement::Instance {
        name: name_of(domain, place),
        zone: name::Zone::new(format!("zone-{}", domain % 2)),
        domain: name::Domain::new(format!("domain-{}", domain / 2)),
        pool: "engines".into(),
        availability: standing,
        loaded_model: None,
    }
}

fn group(name: &str, size: u32, priority: u32) -> placement::Group {
    let (name, pool, model) = (name.into(), "engines".into(), "model".into());
    placement::Group { name, pool, model, size, priority }
}

/// Instances of all domains, usable, with nothing placed.
fn fleet(groups: Vec<placement::Group>) -> placement::Fleet {
    let places = (0..DOMAINS).flat_map(|domain| (0..INSTANCES).map(move |place| (domain, place)));
    let usable = places.map(|(domain, place)| instance(domain, place, Availability::Available));
    placement::Fleet {
        instances: usable.collect(),
        groups,
        placements: BTreeMap::new(),
        budget: weight_loads::Budget { limit: 100, running: 0 },
    }
}

fn stand(fleet: &mut placement::Fleet, group: &str, members: Vec<name::Instance>) {
    fleet.placements.insert(group.into(), placement::Placement { members, running: 0 });
}

fn set(fleet: &mut placement::Fleet, name: &name::Instance, standing: Availability) {
    let found = fleet.instances.iter_mut().find(|instance| instance.name == *name);
    found.expect("the instance is in the fleet").availability = standing;
}

fn place(group: &str, members: Vec<name::Instance>) -> Decision {
    Decision::Place { group: group.into(), members }
}

fn apply(fleet: &mut placement::Fleet, decisions: &[Decision]) {
    for decision in decisions {
        match decision {
            Decision::Unplace(group) => {
                fleet.placements.remove(group);
            }
            Decision::Place { group, members } => {
                let current = placement::Placement { members: members.clone(), running: 0 };
                fleet.placements.insert(group.clone(), current);
            }
        }
    }
}

/// After each decision: no instance in two groups, and each placed group whole, usable and in one
/// domain of its pool.
fn check(fleet: &placement::Fleet, decisions: &[Decision]) {
    let mut fleet = fleet.clone();
    for decision in decisions {
        apply(&mut fleet, std::slice::from_ref(decision));
        let all: Vec<_> = fleet.placements.values().flat_map(|it| it.members.clone()).collect();
        let once: BTreeSet<_> = all.iter().collect();
        assert_eq!(once.len(), all.len(), "an instance in two groups after {decision:?}");
        if let Decision::Place { group, members } = decision {
            check_placed(&fleet, group, members);
        }
    }
}

fn check_placed(fleet: &placement::Fleet, group: &name::Group, members: &[name::Instance]) {
    let declared = fleet.groups.iter().find(|it| it.name == *group).expect("declared");
    let found =
        |name: &name::Instance| fleet.instances.iter().find(|it| it.name == *name).expect("known");
    let domains: BTreeSet<_> =
        members.iter().map(|name| (&found(name).zone, &found(name).domain)).collect();
    assert_eq!(members.len(), declared.size as usize);
    assert_eq!(domains.len(), 1, "{members:?}");
    assert!(
        members.iter().all(|name| found(name).availability == Availability::Available),
        "{members:?}"
    );
    assert!(members.iter().all(|name| found(name).pool == declared.pool), "{members:?}");
}

fn standings() -> impl Strategy<Value = Vec<Availability>> {
    let one = prop_oneof![
        6 => Just(Availability::Available),
        1 => Just(Availability::Cordoned),
        2 => Just(Availability::Missing),
    ];
    prop::collection::vec(one, DOMAINS * INSTANCES)
}

fn groups() -> impl Strategy<Value = Vec<placement::Group>> {
    prop::collection::vec((1u32..=4, 0u32..3), 0..8).prop_map(|shapes| {
        let named = shapes.into_iter().enumerate();
        named.map(|(index, (size, rank))| group(&format!("group-{index}"), size, rank)).collect()
    })
}

fn suffer(fleet: &mut placement::Fleet, standings: &[Availability]) {
    for (instance, standing) in fleet.instances.iter_mut().zip(standings) {
        instance.availability = *standing;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_instance_twice_one_domain_none_missing(
        groups in groups(),
        rounds in prop::collection::vec(standings(), 1..5),
        limit in 1u32..12,
    ) {
        // Losses, drains and returns one after another, each decided as it comes: whatever was
        // there before, nothing is ever placed that could not serve.
        let mut fleet = fleet(groups);
        fleet.budget.limit = limit;
        for standings in rounds {
            suffer(&mut fleet, &standings);

            let decisions = placement::decide(&fleet);

            check(&fleet, &decisions);
            apply(&mut fleet, &decisions);
        }
    }

    #[test]
    fn decisions_come_to_rest(groups in groups(), standings in standings()) {
        // Decisions that undo each other would load weights for ever and serve nobody.
        let mut fleet = fleet(groups);
        suffer(&mut fleet, &standings);
        for _ in 0..24 {
            let decisions = placement::decide(&fleet);
            apply(&mut fleet, &decisions);
        }

        prop_assert_eq!(placement::decide(&fleet), vec![]);
    }

    #[test]
    fn whole_groups_of_no_lesser_priority_stay(groups in groups(), standings in standings()) {
        // A loss moves nobody else than the groups that it hits, and those of lesser priority.
        let mut fleet = fleet(groups);
        let formed = placement::decide(&fleet);
        apply(&mut fleet, &formed);
        suffer(&mut fleet, &standings);
        let most = fleet.groups.iter().map(|it| it.priority).max().unwrap_or_default();
        let usable = |name: &name::Instance| {
            fleet.instances.iter().any(|it| it.name == *name && it.availability == Availability::Available)
        };

        let decisions = placement::decide(&fleet);

        for group in fleet.groups.iter().filter(|it| it.priority == most) {
            let Some(current) = fleet.placements.get(&group.name) else { continue };
            let moved = decisions.iter().any(|decision| match decision {
                Decision::Place { group: moved, .. } | Decision::Unplace(moved) => *moved == group.name,
            });
            prop_assert!(!moved || !current.members.iter().all(usable), "{:?}", decisions);
        }
    }
}

#[test]
fn lost_member_is_replaced_in_its_place_by_a_spare_of_its_domain() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    stand(&mut fleet, "a", names(1, &[0, 1, 2]));
    set(&mut fleet, &name_of(1, 1), Availability::Missing);

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[0, 3, 2]))]);
}

#[test]
fn second_loss_right_after_the_repair_is_mended_alike() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    stand(&mut fleet, "a", names(1, &[0, 1, 2]));
    set(&mut fleet, &name_of(1, 1), Availability::Missing);
    let first = placement::decide(&fleet);
    apply(&mut fleet, &first);
    set(&mut fleet, &name_of(1, 3), Availability::Missing);

    let second = placement::decide(&fleet);

    assert_eq!(second, vec![place("a", names(1, &[0, 4, 2]))]);
}

#[test]
fn spare_that_holds_the_weights_goes_first() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    stand(&mut fleet, "a", names(1, &[0, 1, 2]));
    set(&mut fleet, &name_of(1, 0), Availability::Missing);
    let held = fleet.instances.iter_mut().find(|it| it.name == name_of(1, 4));
    held.expect("in the fleet").loaded_model = Some("model".into());

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[4, 1, 2]))]);
}

#[test]
fn dark_domain_is_rebuilt_in_another() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    stand(&mut fleet, "a", names(1, &[0, 1, 2]));
    for place in 0..INSTANCES {
        set(&mut fleet, &name_of(1, place), Availability::Missing);
    }

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions.len(), 1);
    check(&fleet, &decisions);
}

#[test]
fn greater_priority_takes_the_place_of_lesser() {
    // Every domain is full. The group that counts most loses its domain: one that counts less
    // makes room, and only one.
    let names_of = ["a", "b", "c", "d"];
    let groups = names_of.iter().map(|name| group(name, 4, u32::from(*name == "a"))).collect();
    let mut fleet = fleet(groups);
    for (domain, name) in names_of.iter().enumerate() {
        stand(&mut fleet, name, names(domain, &[0, 1, 2, 3]));
    }
    for place in 0..INSTANCES {
        set(&mut fleet, &name_of(0, place), Availability::Missing);
    }

    let decisions = placement::decide(&fleet);

    check(&fleet, &decisions);
    assert_eq!(decisions.iter().filter(|it| matches!(it, Decision::Unplace(_))).count(), 1);
    assert!(
        decisions
            .iter()
            .any(|it| matches!(it, Decision::Place { group, .. } if *group == "a".into()))
    );
}

#[test]
fn two_broken_groups_without_spares_make_one_whole() {
    let mut fleet = fleet(vec![group("a", 2, 0), group("b", 2, 0)]);
    fleet.instances.retain(|it| it.name.as_str().starts_with("instance-0"));
    fleet.instances.truncate(4);
    stand(&mut fleet, "a", names(0, &[0, 1]));
    stand(&mut fleet, "b", names(0, &[2, 3]));
    set(&mut fleet, &name_of(0, 1), Availability::Missing);
    set(&mut fleet, &name_of(0, 2), Availability::Missing);

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![Decision::Unplace("b".into()), place("a", names(0, &[0, 3]))]);
}

#[test]
fn loads_are_paced_and_the_fewest_come_first() {
    // The store serves two loads at once. One group needs one load, another three: the first is
    // whole after one load's time, and would not be for longer if all loaded at once.
    let mut fleet = fleet(vec![group("a", 3, 0), group("b", 3, 0)]);
    fleet.budget.limit = 2;
    stand(&mut fleet, "b", names(1, &[0, 1, 2]));
    set(&mut fleet, &name_of(1, 1), Availability::Missing);

    let first = placement::decide(&fleet);
    apply(&mut fleet, &first);
    fleet.budget.running = 1;
    let meanwhile = placement::decide(&fleet);
    fleet.budget.running = 0;
    let after = placement::decide(&fleet);

    assert_eq!(first, vec![place("b", names(1, &[0, 3, 2]))]);
    assert_eq!(meanwhile, vec![]);
    assert!(matches!(&after[..], [Decision::Place { group, .. }] if *group == "a".into()));
}

#[test]
fn group_on_closed_instances_moves_once_nothing_runs_on_it() {
    // Operators take the zone out. What runs there is finished before the group moves.
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    stand(&mut fleet, "a", names(0, &[0, 1, 2]));
    for place in 0..INSTANCES {
        set(&mut fleet, &name_of(0, place), Availability::Cordoned);
        set(&mut fleet, &name_of(2, place), Availability::Cordoned);
    }
    let busy = fleet.placements.get_mut(&name::Group::from("a"));
    busy.expect("placed").running = 1;

    let running = placement::decide(&fleet);
    fleet.placements.get_mut(&name::Group::from("a")).expect("placed").running = 0;
    let idle = placement::decide(&fleet);

    assert_eq!(running, vec![]);
    assert_eq!(idle.len(), 1);
    check(&fleet, &idle);
}

#[test]
fn group_is_formed_where_a_spare_is_left() {
    // One domain fits the group exactly, another with a spare: the spare mends the next loss
    // without moving everybody.
    let mut fleet = fleet(vec![group("a", 4, 0)]);
    fleet.instances.retain(|it| {
        let name = it.name.as_str();
        name.starts_with("instance-1") || (name.starts_with("instance-0") && !name.ends_with("-4"))
    });

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[0, 1, 2, 3]))]);
}

#[test]
fn undeclared_and_reshaped_groups_leave_their_places() {
    let mut fleet = fleet(vec![group("b", 2, 0)]);
    stand(&mut fleet, "a", names(0, &[0, 1, 2]));
    stand(&mut fleet, "b", names(1, &[0, 1, 2]));

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions[0], Decision::Unplace("a".into()));
    assert!(matches!(&decisions[1], Decision::Place { members, .. } if members.len() == 2));
}
