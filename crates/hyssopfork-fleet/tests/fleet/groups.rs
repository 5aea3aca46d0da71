//! Groups form, are mended and handed on, and never break what must hold.

use crate::{fixture, world};
use hyssopfork_fleet::announcement::Announcement;
use hyssopfork_fleet::groups::group;
use hyssopfork_fleet::{event, notice};
use hyssopfork_wire::name;
use std::time::Duration;

/// Ten engines of one domain, grouped before any caller sends.
fn grouped() -> world::World {
    let mut world = world::World::declared(3, 2);
    world.add_engines(1..=10, "d1");
    world.run(26_000);
    world
}

fn of_model(world: &world::World, model: &str) -> usize {
    world.serving().iter().filter(|group| group.model == name::Model::from(model)).count()
}

fn a_large_group(world: &world::World) -> Vec<name::Instance> {
    let large = name::Model::from("large");
    let groups = world.serving();
    groups.into_iter().find(|group| group.model == large).expect("one serves").members
}

/// A group of two by its members' own words.
fn a_large_group_of_engines(world: &world::World) -> Vec<name::Instance> {
    let pairs = world.engines.values().filter(|engine| engine.members.len() == 2);
    pairs.map(|engine| engine.members.clone()).next().expect("a pair is there")
}

#[test]
fn groups_of_every_model_serve_and_some_engines_are_kept_in_reserve() {
    let world = grouped();

    assert_eq!((of_model(&world, "large"), of_model(&world, "small")), (2, 4));
}

/// Callers see the streams of a group stand still: a member went dark. A reserve takes its place and
/// the group's model serves as before within two seconds, not after a load of ten.
#[test]
fn a_lost_member_is_replaced_from_the_reserve() {
    let mut world = grouped();
    let members = a_large_group(&world);

    world.engines.get_mut(&members[1]).expect("it is there").alive = false;
    world.run(300);
    tell_of_silence(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(of_model(&world, "large"), 2);
    assert!(world.serving().iter().all(|group| !group.members.contains(&members[1])));
}

/// A member goes dark and callers of its model wait for the next group. The other member is free a
/// few milliseconds later and has the weights; a group of two reserves, formed at once, would first
/// take the weights up from the host for more than a second.
#[test]
fn the_next_group_waits_for_the_member_that_is_left() {
    let mut world = grouped();
    let members = a_large_group(&world);

    world.engines.get_mut(&members[1]).expect("it is there").alive = false;
    world.run(300);
    tell_of_silence(&mut world, &members[..1]);
    world.run(4_500);

    let large = name::Model::from("large");
    let served = world.serving();
    let next = served.iter().filter(|group| group.model == large);
    assert_eq!(next.filter(|group| group.members.contains(&members[0])).count(), 1);
}

/// The head of a group is cut off from every process of ours and stays open, serving nobody. Its
/// members must leave it before they join others (the engines check that), and so must the head
/// itself once it is heard of again.
#[test]
fn members_of_a_head_that_is_cut_off_leave_it_first() {
    let mut world = grouped();
    let head = a_large_group(&world)[0].clone();

    world.cut_engine(&head);
    world.run(10_000);
    world.blocked_links.clear();
    world.run(10_000);

    assert_eq!(of_model(&world, "large"), 2);
}

/// Guards against an engine that is free for a third group, since an answer of the first one erases
/// its place in the second.
#[test]
fn an_answer_about_an_old_group_leaves_the_engine_in_its_new_one() {
    let mut world = world::World::declared(3, 2);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=14, "d1");
    world.run(26_000);
    let members = a_large_group(&world);
    let address = |member: &name::Instance| world.engines[member].told.address;
    let (first, second) = (address(&members[0]), address(&members[1]));

    world.slow_answers.insert(first, Duration::from_millis(390));
    for process in world.processes.keys().copied() {
        world.blocked_links.insert((process, second));
    }
    world.engines.get_mut(&members[3]).expect("it is there").alive = false;
    world.run(8_000);

    let served = world.serving();
    assert!(served.iter().any(|group| group.members.contains(&members[0])), "it serves again");
}

/// An engine was in two groups at once, for a moment, under one leader. A member of its group had been
/// lost while connections to the engine itself were reset: the order to leave ended at the reset and
/// counted as carried out. Heard of again, with its group open, the engine was free to join another.
/// Replayed with resets and crashes, the leader's log shows the two steps in this order (5034, 5020).
#[test]
fn an_order_to_leave_that_a_reset_ended_frees_nobody() {
    let mut world = grouped();
    let members = a_large_group(&world);
    let head = world.engines[&members[0]].told.address;

    world.resets.insert(head);
    world.engines.get_mut(&members[1]).expect("it is there").alive = false;
    world.run(6_000);
    world.resets.clear();
    let next = a_large_group(&world);
    world.engines.get_mut(&next[1]).expect("it is there").alive = false;
    world.run(10_000);

    let served = world.serving();
    assert!(served.iter().any(|group| group.members.contains(&members[0])), "it is used again");
}

/// Orders get no answer and are carried out three seconds late, after newer ones. Nothing that must
/// hold is broken meanwhile, and groups serve again afterwards.
#[test]
fn late_orders_undo_nothing() {
    let mut world = grouped();
    let members = a_large_group(&world);

    world.late_orders = Some(Duration::from_secs(3));
    world.engines.get_mut(&members[0]).expect("it is there").alive = false;
    world.run(8_000);
    world.late_orders = None;
    world.run(15_000);

    assert_eq!(of_model(&world, "large"), 2);
}

/// The leader is lost and another takes over. Groups that serve go on serving: the new leader knows
/// them from its own copy and from those who followed the old one.
#[test]
fn groups_outlast_their_leader() {
    let mut world = grouped();
    let before: Vec<u64> = world.serving().iter().map(|group| group.epoch).collect();
    let leader = world.leader().expect("somebody leads");

    world.kill(leader);
    world.run(3_000);

    let after: Vec<u64> = world.serving().iter().map(|group| group.epoch).collect();
    assert_eq!(after, before);
}

/// Every process is killed at once and starts again knowing no group. The members' own words are
/// enough to serve on.
#[test]
fn groups_are_known_again_after_all_processes_were_killed() {
    let mut world = grouped();
    let before = world.serving().len();

    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.start_process(*address, false));
    world.run(5_000);

    assert_eq!(world.serving().len(), before);
}

/// Every process was killed at once. Callers are served again by the first heads that call, before
/// the last members have.
#[test]
fn heads_serve_before_all_their_members_have_called() {
    let mut world = grouped();
    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.start_process(*address, false));
    let members = a_large_group_of_engines(&world);
    let now = world.now;
    let mut calls_at = |instance: &name::Instance, millis: u64| {
        let engine = world.engines.get_mut(instance).expect("it is there");
        engine.called = now + Duration::from_millis(millis - 1_200);
    };
    calls_at(&members[0], 1_500);
    calls_at(&members[1], 2_600);
    let mut served = None;
    for _ in 0..200 {
        world.run(20);
        let serves = world.serving().iter().any(|group| group.members == members[..1]);
        served = served.or(serves.then_some(()));
    }

    assert!(served.is_some(), "{members:?}");
}

/// Every process was killed at once, and the heads of one model call the new leader first. Groups of
/// that model would be closed for the other, which has no group as far as the leader knows, while
/// callers come back to all of them.
#[test]
fn a_leader_that_knows_few_groups_gives_none_up() {
    let mut world = grouped();
    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.start_process(*address, false));
    let now = world.now;
    let large = name::Model::from("large");
    for engine in world.engines.values_mut() {
        let millis = if engine.told.loaded.as_ref() == Some(&large) { 2_600 } else { 1_500 };
        engine.called = now + Duration::from_millis(millis - 1_200);
    }
    let before = world.notices.len();

    world.run(4_000);

    let closing = |(_, notice): &(_, notice::Notice)| {
        matches!(notice, notice::Notice::Turned(_, group::Stage::Closing))
    };
    assert!(!world.notices[before..].iter().any(closing));
}

#[test]
fn a_member_that_leaves_on_request_is_replaced() {
    let mut world = grouped();
    let members = a_large_group(&world);

    world.engines.get_mut(&members[1]).expect("it is there").told.draining = true;
    world.run(5_000);

    assert_eq!(of_model(&world, "large"), 2);
    assert!(world.serving().iter().all(|group| !group.members.contains(&members[1])));
}

/// A zone is taken out: its groups get nothing, and reserves of the other domain form groups.
#[test]
fn reserves_stand_in_for_a_zone_that_is_out() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(26_000);
    let serving = |world: &world::World| {
        let served = world.serving();
        let in_first = |group: &hyssopfork_fleet::view::Group| {
            world.engines[&group.members[0]].told.domain == name::Domain::from("d1")
        };
        served.into_iter().filter(in_first).count()
    };
    let before = serving(&world);

    assert!(world.call_until_done(&event::Request::TakeOut(name::Zone::from("z-d2"))));
    world.run(4_000);

    assert!(serving(&world) > before, "{before} groups before");
}

/// A process that followed nobody for a while leads all at once, with an old copy of everything. It
/// must not take engines into groups before it has their own word: they may be in others by now.
#[test]
fn a_leader_with_an_old_copy_forms_nothing_of_engines_that_it_has_not_heard() {
    let mut world = grouped();
    let leader = world.leader().expect("somebody leads");
    let next = *world.processes.keys().take(3).find(|it| **it != leader).expect("there are three");
    let others: Vec<_> = world.processes.keys().copied().filter(|it| *it != next).collect();
    for other in &others {
        world.blocked_links.insert((next, *other));
        world.blocked_links.insert((*other, next));
    }
    let lost = a_large_group(&world)[1].clone();
    world.engines.get_mut(&lost).expect("it is there").alive = false;
    world.run(12_000);

    world.blocked_links.clear();
    world.run(300);
    world.kill(leader);
    world.run(6_000);

    assert!(world.leader().is_some_and(|it| it != leader));
    assert!(!world.serving().is_empty());
}

/// Every process was killed at once, and a call of a member that was held up since before it joined
/// its group is the first that the new leader hears of it. The leader takes it for free and wants it
/// in another group, while callers are served by the head of its own. It must find out before.
#[test]
fn a_call_older_than_its_membership_frees_no_member() {
    let mut world = world::World::declared(3, 2);
    world.add_engines(1..=10, "d1");
    world.run(26_000);
    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.start_process(*address, false));
    let members = a_large_group_of_engines(&world);
    for engine in world.engines.values_mut() {
        engine.called = world.now;
    }
    for engine in world.engines.values_mut().filter(|it| !it.told.instance.eq(&members[1])) {
        engine.alive &= members.contains(&engine.told.instance);
    }

    let old = Announcement {
        sequence: 1,
        membership: None,
        loaded: Some(name::Model::from("small")),
        ..world.engines[&members[1]].told.clone()
    };
    world.run(1_150);
    let leader = world.leader().expect("somebody leads");
    world.call(leader, event::announced(old));
    world.run(1_000);

    let second = &world.engines[&members[1]].told;
    let head = &world.engines[&members[0]].told;
    assert_eq!(
        second.membership.as_ref().map(|it| it.epoch),
        head.membership.as_ref().map(|it| it.epoch)
    );
}

/// Three of a large group of four are lost, the reserves and two small groups with them, and one new
/// engine comes. The domain's large model has lost the most, but would need two engines more; given
/// the small one, the engine serves callers as soon as it has loaded its weights.
#[test]
fn a_new_engine_goes_to_the_group_that_is_complete_soonest() {
    let mut world = world::World::start(3, 1);
    world.run(2_500);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=10, "d1");
    world.run(36_000);
    let served = world.serving();
    let large = served.iter().find(|group| group.members.len() == 4).expect("one is there");
    let small: Vec<_> = served.iter().filter(|group| group.members.len() == 1).collect();
    let is_free =
        |instance: &&name::Instance| !served.iter().any(|group| group.members.contains(instance));
    let mut lost: Vec<name::Instance> = world.engines.keys().filter(is_free).cloned().collect();
    lost.extend(large.members[1..].iter().cloned());
    lost.extend(small[..2].iter().map(|group| group.members[0].clone()));
    for instance in &lost {
        world.engines.get_mut(instance).expect("it is there").alive = false;
    }
    let heads = [&large.members[0], &small[0].members[0], &small[1].members[0]].map(Clone::clone);
    tell_of_silence(&mut world, &heads);
    world.run(3_000);

    world.add_engines(11..=11, "d1");
    world.run(13_000);

    let loaded = world.engines[&name::Instance::from("e11")].told.loaded.clone();
    assert_eq!(loaded, Some(name::Model::from("small")));
}

/// Tells the leader, as an entry does, that everything stands still on these upstreams.
fn tell_of_silence(world: &mut world::World, heads: &[name::Instance]) {
    let leader = world.leader().expect("somebody leads");
    let evidence = hyssopfork_fleet::peer::Evidence {
        stalled: heads.to_vec(),
        traffic: true,
        ..Default::default()
    };
    let core = world.processes.get_mut(&leader).and_then(|it| it.core.as_mut()).expect("it runs");
    let _told = core.step(world.now, event::Event::EvidenceReported(fixture::address(5), evidence));
}

fn free_engines(world: &world::World, domain: &str) -> usize {
    let served = world.serving();
    let engines = world.engines.values().filter(|it| it.told.domain == name::Domain::from(domain));
    engines
        .filter(|it| !served.iter().any(|group| group.members.contains(&it.told.instance)))
        .count()
}

/// The engines of one domain have a model at hand and are ready seconds before those of the other.
/// Were groups formed of whoever is first, that domain would keep no reserve, and the first loss in
/// it would leave callers without a group for as long as a load takes.
#[test]
fn each_domain_keeps_a_reserve_whoever_is_ready_first() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    for engine in world.engines.values_mut() {
        if engine.told.domain == name::Domain::from("d1") {
            engine.told.staged = vec![name::Model::from("small")];
        }
    }

    world.run(30_000);

    assert_eq!((free_engines(&world, "d1"), free_engines(&world, "d2")), (2, 2));
}

/// A member goes dark while both domains have a reserve. The survivor is free a few milliseconds
/// later; a group formed of the other domain's reserve meanwhile would leave nobody there for the
/// next loss, and the survivor without a use.
#[test]
fn a_loss_does_not_take_the_reserve_of_another_domain() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(30_000);
    let members = a_large_group(&world);
    let domain = world.engines[&members[0]].told.domain.to_string();
    let other = if domain == "d1" { "d2" } else { "d1" };

    world.engines.get_mut(&members[1]).expect("it is there").alive = false;
    world.run(300);
    tell_of_silence(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(of_model(&world, "large"), 4);
    assert_eq!(free_engines(&world, other), 2);
}

/// A member of a large group and two small groups go dark at once. The large model has one group
/// left of two and its survivor is free in a moment; small groups that took both reserves meanwhile
/// would leave callers of the large model with half of what they need.
#[test]
fn the_model_farther_behind_gets_the_reserve() {
    let mut world = grouped();
    let large = a_large_group(&world);
    let of_one = |group: &&hyssopfork_fleet::view::Group| group.members.len() == 1;
    let served = world.serving();
    let small: Vec<_> = served.iter().filter(of_one).take(2).collect();
    let lost = [&large[1], &small[0].members[0], &small[1].members[0]];

    for instance in lost {
        world.engines.get_mut(instance).expect("it is there").alive = false;
    }
    world.run(300);
    let heads = [large[0].clone(), lost[1].clone(), lost[2].clone()];
    tell_of_silence(&mut world, &heads);
    world.run(4_500);

    assert_eq!(of_model(&world, "large"), 2);
}

/// A group of four loses a member while its domain has no reserve, and a small group is lost too.
/// The three survivors could each serve the small model in a second, and callers of the large one
/// would then wait for four engines to load its weights. They are kept, and a small group of the
/// domain is given up to complete them.
#[test]
fn survivors_are_kept_for_the_model_farther_behind() {
    let mut world = world::World::start(3, 1);
    world.run(2_500);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(36_000);
    let served = world.serving();
    let in_first =
        |instance: &name::Instance| world.engines[instance].told.domain == name::Domain::from("d1");
    let here: Vec<_> = served.iter().filter(|group| in_first(&group.members[0])).collect();
    let large = here.iter().find(|group| group.members.len() == 4).expect("one is there");
    let small = here.iter().find(|group| group.members.len() == 1).expect("one is there");
    let is_free = |instance: &&name::Instance| {
        in_first(instance) && !here.iter().any(|group| group.members.contains(instance))
    };
    let mut lost: Vec<name::Instance> = world.engines.keys().filter(is_free).cloned().collect();
    let heads = [large.members[0].clone(), small.members[0].clone()];
    lost.extend([large.members[1].clone(), small.members[0].clone()]);

    for instance in &lost {
        world.engines.get_mut(instance).expect("it is there").alive = false;
    }
    world.run(300);
    tell_of_silence(&mut world, &heads);
    world.run(8_000);

    assert_eq!(of_model(&world, "large"), 2);
}

/// Guards against a leader that loses its lease because it reviews all engines after each event.
#[test]
fn changes_of_many_engines_are_reviewed_together() {
    let mut world = world::World::declared(1, 0);
    world.add_engines(1..=250, "d1");
    let before = world.publications;

    world.run(100);

    let leader = world.leader().expect("the only process leads");
    let view = world.processes[&leader].view.as_ref().expect("it has a declaration");
    assert_eq!(view.upstreams.len(), 250);
    assert!(world.publications - before < 30, "{} views", world.publications - before);
}
