//! Placement and repair: properties over random fleets, and the losses that repair handles.

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

fn instance(domain: usize, place: usize, availability: Availability) -> placement::Instance {
    placement::Instance {
        name: name_of(domain, place),
        zone: name::Zone::new(format!("zone-{}", domain % 2)),
        domain: name::Domain::new(format!("domain-{}", domain / 2)),
        pool: "engines".into(),
        availability,
        loaded_model: None,
    }
}

fn group(name: &str, size: u32, priority: u32) -> placement::Group {
    let (name, pool, model) = (name.into(), "engines".into(), "model".into());
    placement::Group { name, pool, model, size, priority }
}

/// All instances of all domains available, and no group placed.
fn fleet(groups: Vec<placement::Group>) -> placement::Fleet {
    let places = (0..DOMAINS).flat_map(|domain| (0..INSTANCES).map(move |place| (domain, place)));
    let available = places.map(|(domain, place)| instance(domain, place, Availability::Available));
    placement::Fleet {
        instances: available.collect(),
        groups,
        placements: BTreeMap::new(),
        budget: weight_loads::Budget { limit: 100, running: 0 },
    }
}

fn place_group(fleet: &mut placement::Fleet, group: &str, members: Vec<name::Instance>) {
    fleet.placements.insert(group.into(), placement::Placement { members, running: 0 });
}

fn set_availability(
    fleet: &mut placement::Fleet,
    name: &name::Instance,
    availability: Availability,
) {
    let found = fleet.instances.iter_mut().find(|instance| instance.name == *name);
    found.expect("the instance is in the fleet").availability = availability;
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

/// Checks after each decision that no instance is in two groups, and that each placed group is
/// complete, available and in one domain of its pool.
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

fn availabilities() -> impl Strategy<Value = Vec<Availability>> {
    let one = prop_oneof![
        6 => Just(Availability::Available),
        1 => Just(Availability::Cordoned),
        2 => Just(Availability::Missing),
    ];
    prop::collection::vec(one, DOMAINS * INSTANCES)
}

fn groups() -> impl Strategy<Value = Vec<placement::Group>> {
    prop::collection::vec((1u32..=4, 0u32..3), 0..8).prop_map(|sizes| {
        let named = sizes.into_iter().enumerate();
        named
            .map(|(index, (size, priority))| group(&format!("group-{index}"), size, priority))
            .collect()
    })
}

fn set_availabilities(fleet: &mut placement::Fleet, availabilities: &[Availability]) {
    for (instance, availability) in fleet.instances.iter_mut().zip(availabilities) {
        instance.availability = *availability;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn placements_use_distinct_available_instances_of_one_domain(
        groups in groups(),
        rounds in prop::collection::vec(availabilities(), 1..5),
        limit in 1u32..12,
    ) {
        // Losses, drains and returns follow one another, each decided as it comes: whatever the
        // state before, no placement may be made that could not serve.
        let mut fleet = fleet(groups);
        fleet.budget.limit = limit;
        for availabilities in rounds {
            set_availabilities(&mut fleet, &availabilities);

            let decisions = placement::decide(&fleet);

            check(&fleet, &decisions);
            apply(&mut fleet, &decisions);
        }
    }

    #[test]
    fn decisions_converge(groups in groups(), availabilities in availabilities()) {
        // Decisions that undo each other would load weights forever and serve no request.
        let mut fleet = fleet(groups);
        set_availabilities(&mut fleet, &availabilities);
        for _ in 0..24 {
            let decisions = placement::decide(&fleet);
            apply(&mut fleet, &decisions);
        }

        prop_assert_eq!(placement::decide(&fleet), vec![]);
    }

    #[test]
    fn complete_groups_of_the_highest_priority_stay(groups in groups(), availabilities in availabilities()) {
        // A loss moves only the groups that it affects, and groups of lower priority.
        let mut fleet = fleet(groups);
        let initial = placement::decide(&fleet);
        apply(&mut fleet, &initial);
        set_availabilities(&mut fleet, &availabilities);
        let highest = fleet.groups.iter().map(|it| it.priority).max().unwrap_or_default();
        let is_available = |name: &name::Instance| {
            fleet.instances.iter().any(|it| it.name == *name && it.availability == Availability::Available)
        };

        let decisions = placement::decide(&fleet);

        for group in fleet.groups.iter().filter(|it| it.priority == highest) {
            let Some(current) = fleet.placements.get(&group.name) else { continue };
            let moved = decisions.iter().any(|decision| match decision {
                Decision::Place { group: moved, .. } | Decision::Unplace(moved) => *moved == group.name,
            });
            prop_assert!(!moved || !current.members.iter().all(is_available), "{:?}", decisions);
        }
    }
}

#[test]
fn lost_member_is_replaced_at_its_rank_by_a_spare_of_its_domain() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    place_group(&mut fleet, "a", names(1, &[0, 1, 2]));
    set_availability(&mut fleet, &name_of(1, 1), Availability::Missing);

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[0, 3, 2]))]);
}

#[test]
fn second_loss_right_after_the_repair_is_repaired_alike() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    place_group(&mut fleet, "a", names(1, &[0, 1, 2]));
    set_availability(&mut fleet, &name_of(1, 1), Availability::Missing);
    let first = placement::decide(&fleet);
    apply(&mut fleet, &first);
    set_availability(&mut fleet, &name_of(1, 3), Availability::Missing);

    let second = placement::decide(&fleet);

    assert_eq!(second, vec![place("a", names(1, &[0, 4, 2]))]);
}

#[test]
fn spare_with_loaded_weights_is_used_first() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    place_group(&mut fleet, "a", names(1, &[0, 1, 2]));
    set_availability(&mut fleet, &name_of(1, 0), Availability::Missing);
    let spare = fleet.instances.iter_mut().find(|it| it.name == name_of(1, 4));
    spare.expect("in the fleet").loaded_model = Some("model".into());

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[4, 1, 2]))]);
}

#[test]
fn group_of_a_dark_domain_is_rebuilt_in_another() {
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    place_group(&mut fleet, "a", names(1, &[0, 1, 2]));
    for place in 0..INSTANCES {
        set_availability(&mut fleet, &name_of(1, place), Availability::Missing);
    }

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions.len(), 1);
    check(&fleet, &decisions);
}

#[test]
fn group_of_higher_priority_preempts_one_of_lower() {
    // Every domain is full. The group of the highest priority loses its domain: one group of lower
    // priority is removed for it, and only one.
    let names_of = ["a", "b", "c", "d"];
    let groups = names_of.iter().map(|name| group(name, 4, u32::from(*name == "a"))).collect();
    let mut fleet = fleet(groups);
    for (domain, name) in names_of.iter().enumerate() {
        place_group(&mut fleet, name, names(domain, &[0, 1, 2, 3]));
    }
    for place in 0..INSTANCES {
        set_availability(&mut fleet, &name_of(0, place), Availability::Missing);
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
fn two_broken_groups_without_spares_become_one_complete_group() {
    let mut fleet = fleet(vec![group("a", 2, 0), group("b", 2, 0)]);
    fleet.instances.retain(|it| it.name.as_str().starts_with("instance-0"));
    fleet.instances.truncate(4);
    place_group(&mut fleet, "a", names(0, &[0, 1]));
    place_group(&mut fleet, "b", names(0, &[2, 3]));
    set_availability(&mut fleet, &name_of(0, 1), Availability::Missing);
    set_availability(&mut fleet, &name_of(0, 2), Availability::Missing);

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![Decision::Unplace("b".into()), place("a", names(0, &[0, 3]))]);
}

#[test]
fn concurrent_loads_are_limited_and_the_fewest_come_first() {
    // The store serves two loads at once. One group needs one load, another three: the first is
    // complete after the time of one load, and would take longer if all loaded at once.
    let mut fleet = fleet(vec![group("a", 3, 0), group("b", 3, 0)]);
    fleet.budget.limit = 2;
    place_group(&mut fleet, "b", names(1, &[0, 1, 2]));
    set_availability(&mut fleet, &name_of(1, 1), Availability::Missing);

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
fn group_on_cordoned_instances_moves_once_no_request_runs_on_it() {
    // Operators evacuate the zone. Requests that run there finish before the group moves.
    let mut fleet = fleet(vec![group("a", 3, 0)]);
    place_group(&mut fleet, "a", names(0, &[0, 1, 2]));
    for place in 0..INSTANCES {
        set_availability(&mut fleet, &name_of(0, place), Availability::Cordoned);
        set_availability(&mut fleet, &name_of(2, place), Availability::Cordoned);
    }
    let current = fleet.placements.get_mut(&name::Group::from("a"));
    current.expect("placed").running = 1;

    let running = placement::decide(&fleet);
    fleet.placements.get_mut(&name::Group::from("a")).expect("placed").running = 0;
    let idle = placement::decide(&fleet);

    assert_eq!(running, vec![]);
    assert_eq!(idle.len(), 1);
    check(&fleet, &idle);
}

#[test]
fn group_is_formed_where_a_spare_is_left() {
    // One domain fits the group exactly, another with a spare: the spare repairs the next loss
    // without moving the whole group.
    let mut fleet = fleet(vec![group("a", 4, 0)]);
    fleet.instances.retain(|it| {
        let name = it.name.as_str();
        name.starts_with("instance-1") || (name.starts_with("instance-0") && !name.ends_with("-4"))
    });

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions, vec![place("a", names(1, &[0, 1, 2, 3]))]);
}

#[test]
fn undeclared_and_resized_groups_lose_their_placements() {
    let mut fleet = fleet(vec![group("b", 2, 0)]);
    place_group(&mut fleet, "a", names(0, &[0, 1, 2]));
    place_group(&mut fleet, "b", names(1, &[0, 1, 2]));

    let decisions = placement::decide(&fleet);

    assert_eq!(decisions[0], Decision::Unplace("a".into()));
    assert!(matches!(&decisions[1], Decision::Place { members, .. } if members.len() == 2));
}
