//! Tests of serving groups in a simulated fleet: formation, repair, recovery and their invariants.

use crate::{fixture, world};
use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::{group, order};
use hyssopfork_fleet::{event, notice, peer};
use hyssopfork_wire::name;
use std::time::Duration;

/// A world with ten engines of one domain, whose groups were formed before any client sends requests.
fn world_with_groups() -> world::World {
    let mut world = world::World::declared(3, 2);
    world.add_engines(1..=10, "d1");
    world.run(26_000);
    world
}

fn count_groups(world: &world::World, model: &str) -> usize {
    world.serving().iter().filter(|group| group.model == name::Model::from(model)).count()
}

fn large_group(world: &world::World) -> Vec<name::Instance> {
    let large = name::Model::from("large");
    let groups = world.serving();
    groups.into_iter().find(|group| group.model == large).expect("a large group serves").members
}

/// Members of a group of two, as its engines see it.
fn large_group_of_engines(world: &world::World) -> Vec<name::Instance> {
    let pairs = world.engines.values().filter(|engine| engine.members.len() == 2);
    pairs.map(|engine| engine.members.clone()).next().expect("there is a group of two")
}

#[test]
fn groups_of_every_model_serve_and_some_engines_stay_in_reserve() {
    let world = world_with_groups();

    assert_eq!((count_groups(&world, "large"), count_groups(&world, "small")), (2, 4));
}

/// A member is lost and the group's streams stall. A reserve must replace the member, so that the
/// model serves as before within two seconds, not after a load of ten.
#[test]
fn lost_member_is_replaced_from_the_reserve() {
    let mut world = world_with_groups();
    let members = large_group(&world);

    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(300);
    report_stalls(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(count_groups(&world, "large"), 2);
    assert!(world.serving().iter().all(|group| !group.members.contains(&members[1])));
}

/// Guards against a group of two reserves, formed at once after the loss of a member, which first loads
/// the weights from the host for more than a second while clients wait. The lost group's other member
/// is free a few milliseconds later and has the weights.
#[test]
fn next_group_waits_for_the_surviving_member() {
    let mut world = world_with_groups();
    let members = large_group(&world);

    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(300);
    report_stalls(&mut world, &members[..1]);
    world.run(4_500);

    let large = name::Model::from("large");
    let served = world.serving();
    let next = served.iter().filter(|group| group.model == large);
    assert_eq!(next.filter(|group| group.members.contains(&members[0])).count(), 1);
}

/// The head of a group is cut off from every process and stays open. Its members must leave the group
/// before they join others, which is checked at each order, and so must the head once it is reachable
/// again.
#[test]
fn members_of_a_head_that_is_cut_off_leave_it_first() {
    let mut world = world_with_groups();
    let head = large_group(&world)[0].clone();

    world.cut_engine(&head);
    world.run(10_000);
    world.blocked_links.clear();
    world.run(10_000);

    assert_eq!(count_groups(&world, "large"), 2);
}

/// Guards against groups that are ended although they serve: members that are partitioned from control,
/// and from nothing else, answer no probe and send no heartbeats.
#[test]
fn a_group_serves_on_while_a_member_is_cut_off_from_control_alone() {
    let mut world = world_with_groups();
    let members = large_group(&world);

    world.cut_engine(&members[1]);
    for _ in 0..80 {
        report_progress(&mut world, &members[0]);
        world.run(100);
    }

    assert!(world.serving().iter().any(|group| group.members == members));
}

/// The member of a serving group dies while control is cut off from it. Guards against a group that is
/// kept because its head sent bytes before.
#[test]
fn a_member_that_dies_while_it_is_cut_off_is_replaced() {
    let mut world = world_with_groups();
    let members = large_group(&world);
    world.cut_engine(&members[1]);
    for _ in 0..40 {
        report_progress(&mut world, &members[0]);
        world.run(100);
    }

    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(300);
    report_stalls(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(count_groups(&world, "large"), 2);
    assert!(world.serving().iter().all(|group| !group.members.contains(&members[1])));
}

/// A new leader receives a report that predates an order to leave. Guards against an engine that this
/// leader takes for a member of a group that has ended, and never uses.
#[test]
fn an_engine_whose_report_is_outdated_is_asked_again() {
    let mut world = world_with_groups();
    let leader = world.leader().expect("there is a leader");
    world.kill(leader);
    world.run(2_000);
    let leader = world.leader().expect("another process leads");
    for engine in free_engines(&world) {
        let report = order::Report {
            start_time_ms: None,
            accepted_orders: 1,
            membership: Some(Membership {
                group: name::Group::from("g1"),
                epoch: 1,
                rank: 1,
                state: State::Ready,
            }),
        };
        let core = world.processes.get_mut(&leader).and_then(|it| it.core.as_mut());
        let core = core.expect("the leader runs");
        let _actions = core.step(world.now, event::Event::Reported(engine, report));
    }
    world.run(1_000);
    let members = large_group(&world);

    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(300);
    report_stalls(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(count_groups(&world, "large"), 2);
}

/// Engines that are in no serving group.
fn free_engines(world: &world::World) -> Vec<name::Instance> {
    let served = world.serving();
    let is_free =
        |instance: &&name::Instance| !served.iter().any(|group| group.members.contains(instance));
    world.engines.keys().filter(is_free).cloned().collect()
}

/// Guards against an engine that counts as free for a third group because a late answer to its first
/// group's order removes it from the second.
#[test]
fn late_answer_about_an_old_group_keeps_the_engine_in_its_new_one() {
    let mut world = world::World::declared(3, 2);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=14, "d1");
    world.run(26_000);
    let members = large_group(&world);
    let address = |member: &name::Instance| world.engines[member].announcement.address;
    let (first, second) = (address(&members[0]), address(&members[1]));

    world.slow_answers.insert(first, Duration::from_millis(390));
    for process in world.processes.keys().copied() {
        world.blocked_links.insert((process, second));
    }
    world.engines.get_mut(&members[3]).expect("the engine exists").alive = false;
    world.run(8_000);

    let served = world.serving();
    assert!(served.iter().any(|group| group.members.contains(&members[0])), "it serves again");
}

/// Guards against an engine in two groups at once. A member of its group is lost while connections to
/// the engine are reset. If the order to leave counts as carried out although a reset ended it, the
/// engine is free to join another group while its own is still open. The leader's log then shows the
/// events 5034 and 5020 in this order.
#[test]
fn an_order_to_leave_that_a_reset_ended_frees_nobody() {
    let mut world = world_with_groups();
    let members = large_group(&world);
    let head = world.engines[&members[0]].announcement.address;

    world.resets.insert(head);
    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(6_000);
    world.resets.clear();
    let next = large_group(&world);
    world.engines.get_mut(&next[1]).expect("the engine exists").alive = false;
    world.run(10_000);

    let served = world.serving();
    assert!(served.iter().any(|group| group.members.contains(&members[0])), "it is used again");
}

/// Orders get no answer and are carried out three seconds late, after newer ones. No invariant may be
/// violated meanwhile, and groups must serve again afterwards.
#[test]
fn late_orders_violate_no_invariant() {
    let mut world = world_with_groups();
    let members = large_group(&world);

    world.late_orders = Some(Duration::from_secs(3));
    world.engines.get_mut(&members[0]).expect("the engine exists").alive = false;
    world.run(8_000);
    world.late_orders = None;
    world.run(15_000);

    assert_eq!(count_groups(&world, "large"), 2);
}

/// The leader is lost and another takes over. Serving groups must go on: the new leader knows them from
/// its own copy and from the old one's followers.
#[test]
fn groups_keep_serving_after_the_leader_is_lost() {
    let mut world = world_with_groups();
    let before: Vec<u64> = world.serving().iter().map(|group| group.epoch).collect();
    let leader = world.leader().expect("there is a leader");

    world.kill(leader);
    world.run(3_000);

    let after: Vec<u64> = world.serving().iter().map(|group| group.epoch).collect();
    assert_eq!(after, before);
}

/// All processes are killed at once and start again without knowing any group. The members'
/// announcements must suffice to go on serving.
#[test]
fn groups_are_recovered_after_all_processes_were_killed() {
    let mut world = world_with_groups();
    let before = world.serving().len();

    world.lose_views();
    world.restart_all();
    world.run(5_000);

    assert_eq!(world.serving().len(), before);
}

/// After all processes were killed at once, the first heads that announce themselves must serve clients
/// again before the last members have announced themselves.
#[test]
fn heads_serve_before_all_members_have_announced_themselves() {
    let mut world = world_with_groups();
    world.lose_views();
    world.restart_all();
    let members = large_group_of_engines(&world);
    let now = world.now;
    let mut announce_at = |instance: &name::Instance, millis: u64| {
        let engine = world.engines.get_mut(instance).expect("the engine exists");
        engine.announced_at = now + Duration::from_millis(millis - 1_200);
    };
    announce_at(&members[0], 1_500);
    announce_at(&members[1], 2_600);
    let mut served = None;
    for _ in 0..200 {
        world.run(20);
        let serves = world.serving().iter().any(|group| group.members == members[..1]);
        served = served.or(serves.then_some(()));
    }

    assert!(served.is_some(), "{members:?}");
}

/// After all processes were killed at once, the heads of one model announce themselves to the new leader
/// first. Guards against a leader that closes groups of that model for the other one, of which it knows
/// no group yet.
#[test]
fn new_leader_that_knows_few_groups_closes_none() {
    let mut world = world_with_groups();
    world.lose_views();
    world.restart_all();
    let now = world.now;
    let large = name::Model::from("large");
    for engine in world.engines.values_mut() {
        let millis =
            if engine.announcement.loaded.as_ref() == Some(&large) { 2_600 } else { 1_500 };
        engine.announced_at = now + Duration::from_millis(millis - 1_200);
    }
    let before = world.notices.len();

    world.run(4_000);

    let is_closing = |(_, notice): &(_, notice::Notice)| {
        matches!(notice, notice::Notice::Turned(_, group::Phase::Closing))
    };
    assert!(!world.notices[before..].iter().any(is_closing));
}

#[test]
fn member_that_leaves_on_request_is_replaced() {
    let mut world = world_with_groups();
    let members = large_group(&world);

    world.engines.get_mut(&members[1]).expect("the engine exists").announcement.draining = true;
    world.run(5_000);

    assert_eq!(count_groups(&world, "large"), 2);
    assert!(world.serving().iter().all(|group| !group.members.contains(&members[1])));
}

/// A zone is taken out: its groups get no requests, and reserves of the other domain form groups.
/// Guards against a group that stays closing for the whole timeout, and members that can't be used
/// meanwhile, since a head that has departed announces nothing and so never that it has finished.
#[test]
fn a_head_that_departs_without_draining_is_replaced() {
    let mut world = world_with_groups();
    let members = large_group(&world);
    let before = world.engines[&members[1]].announcement.membership.clone();

    world.depart_engine(&members[0]);
    world.run(5_000);

    assert_ne!(world.engines[&members[1]].announcement.membership, before);
    assert_eq!(count_groups(&world, "large"), 2);
}

#[test]
fn reserves_form_groups_when_a_zone_is_out() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(26_000);
    let serving = |world: &world::World| {
        let served = world.serving();
        let in_first = |group: &hyssopfork_fleet::view::Group| {
            world.engines[&group.members[0]].announcement.domain == name::Domain::from("d1")
        };
        served.into_iter().filter(in_first).count()
    };
    let before = serving(&world);

    assert!(world.call_until_done(&event::Request::TakeOut(name::Zone::from("z-d2"))));
    world.run(4_000);

    assert!(serving(&world) > before, "{before} groups before");
}

/// A process that followed no leader for a while becomes leader with a stale copy. It must not form
/// groups of engines before they have announced themselves, since they may have joined others.
#[test]
fn leader_with_a_stale_copy_forms_no_groups_of_unheard_engines() {
    let mut world = world_with_groups();
    let leader = world.leader().expect("there is a leader");
    let next = *world.processes.keys().take(3).find(|it| **it != leader).expect("there are three");
    let others: Vec<_> = world.processes.keys().copied().filter(|it| *it != next).collect();
    for other in &others {
        world.blocked_links.insert((next, *other));
        world.blocked_links.insert((*other, next));
    }
    let lost = large_group(&world)[1].clone();
    world.engines.get_mut(&lost).expect("the engine exists").alive = false;
    world.run(12_000);

    world.blocked_links.clear();
    world.run(300);
    world.kill(leader);
    world.run(6_000);

    assert!(world.leader().is_some_and(|it| it != leader));
    assert!(!world.serving().is_empty());
}

/// After all processes were killed at once, the new leader's first announcement of a member is a delayed
/// one from before the member joined its group. Guards against a leader that takes the member for free
/// and orders it to join another group while the head of its own serves clients.
#[test]
fn a_call_older_than_its_membership_frees_no_member() {
    let mut world = world::World::declared(3, 2);
    world.add_engines(1..=10, "d1");
    world.run(26_000);
    world.lose_views();
    world.restart_all();
    let members = large_group_of_engines(&world);
    for engine in world.engines.values_mut() {
        engine.announced_at = world.now;
    }
    for engine in world.engines.values_mut().filter(|it| !it.announcement.instance.eq(&members[1]))
    {
        engine.alive &= members.contains(&engine.announcement.instance);
    }

    let old = Announcement {
        sequence: 1,
        membership: None,
        loaded: Some(name::Model::from("small")),
        ..world.engines[&members[1]].announcement.clone()
    };
    world.run(1_150);
    let leader = world.leader().expect("there is a leader");
    world.call(leader, event::announced(old));
    world.run(1_000);

    let second = &world.engines[&members[1]].announcement;
    let head = &world.engines[&members[0]].announcement;
    assert_eq!(
        second.membership.as_ref().map(|it| it.epoch),
        head.membership.as_ref().map(|it| it.epoch)
    );
}

/// Three members of a large group of four are lost, together with the reserves and two small groups, and
/// one new engine starts. The large model has lost the most but would need two more engines. With the
/// small model, the new engine serves clients as soon as it has loaded the weights.
#[test]
fn new_engine_loads_the_model_whose_group_is_complete_soonest() {
    let mut world = world::World::start(3, 1);
    world.run(2_500);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=10, "d1");
    world.run(36_000);
    let served = world.serving();
    let large = served.iter().find(|group| group.members.len() == 4).expect("there is one");
    let small: Vec<_> = served.iter().filter(|group| group.members.len() == 1).collect();
    let is_free =
        |instance: &&name::Instance| !served.iter().any(|group| group.members.contains(instance));
    let mut lost: Vec<name::Instance> = world.engines.keys().filter(is_free).cloned().collect();
    lost.extend(large.members[1..].iter().cloned());
    lost.extend(small[..2].iter().map(|group| group.members[0].clone()));
    for instance in &lost {
        world.engines.get_mut(instance).expect("the engine exists").alive = false;
    }
    let heads = [&large.members[0], &small[0].members[0], &small[1].members[0]].map(Clone::clone);
    report_stalls(&mut world, &heads);
    world.run(3_000);

    world.add_engines(11..=11, "d1");
    world.run(13_000);

    let loaded = world.engines[&name::Instance::from("e11")].announcement.loaded.clone();
    assert_eq!(loaded, Some(name::Model::from("small")));
}

/// Reports to the leader that an entry has just received bytes from the upstream.
fn report_progress(world: &mut world::World, head: &name::Instance) {
    let leader = world.leader().expect("there is a leader");
    let evidence = peer::Evidence {
        progressing: vec![(head.clone(), Duration::ZERO)],
        traffic: true,
        ..peer::Evidence::default()
    };
    world.report_evidence(leader, evidence);
}

/// Reports these upstreams to the leader as stalled, as an entry does.
fn report_stalls(world: &mut world::World, heads: &[name::Instance]) {
    let leader = world.leader().expect("there is a leader");
    let evidence = hyssopfork_fleet::peer::Evidence {
        stalled: heads.to_vec(),
        traffic: true,
        ..Default::default()
    };
    let core = world.processes.get_mut(&leader).and_then(|it| it.core.as_mut()).expect("it runs");
    let _actions = core.step(world.now, event::Event::Observed(fixture::address(5), evidence));
}

fn count_free_engines(world: &world::World, domain: &str) -> usize {
    let served = world.serving();
    let engines =
        world.engines.values().filter(|it| it.announcement.domain == name::Domain::from(domain));
    engines
        .filter(|it| !served.iter().any(|group| group.members.contains(&it.announcement.instance)))
        .count()
}

/// The engines of one domain have a model staged and are ready seconds before those of the other. Guards
/// against groups formed of whichever engines are ready first: that domain would keep no reserve, and
/// its first loss would leave clients without a group for the time of a load.
#[test]
fn each_domain_keeps_a_reserve_whichever_is_ready_first() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    for engine in world.engines.values_mut() {
        if engine.announcement.domain == name::Domain::from("d1") {
            engine.announcement.staged = vec![name::Model::from("small")];
        }
    }

    world.run(30_000);

    assert_eq!((count_free_engines(&world, "d1"), count_free_engines(&world, "d2")), (2, 2));
}

/// A member is lost while both domains have a reserve, and the survivor is free a few milliseconds later.
/// Guards against a group formed meanwhile of the other domain's reserve, which would leave no reserve
/// there for the next loss and the survivor unused.
#[test]
fn loss_does_not_use_the_reserve_of_another_domain() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(30_000);
    let members = large_group(&world);
    let domain = world.engines[&members[0]].announcement.domain.to_string();
    let other = if domain == "d1" { "d2" } else { "d1" };

    world.engines.get_mut(&members[1]).expect("the engine exists").alive = false;
    world.run(300);
    report_stalls(&mut world, &members[..1]);
    world.run(4_500);

    assert_eq!(count_groups(&world, "large"), 4);
    assert_eq!(count_free_engines(&world, other), 2);
}

/// A member of a large group and two small groups are lost at once. One of two large groups is left, and
/// its counterpart's survivor is free soon. Guards against small groups that use both reserves meanwhile
/// and leave the large model with half of its groups.
#[test]
fn the_model_farther_behind_gets_the_reserve() {
    let mut world = world_with_groups();
    let large = large_group(&world);
    let of_one = |group: &&hyssopfork_fleet::view::Group| group.members.len() == 1;
    let served = world.serving();
    let small: Vec<_> = served.iter().filter(of_one).take(2).collect();
    let lost = [&large[1], &small[0].members[0], &small[1].members[0]];

    for instance in lost {
        world.engines.get_mut(instance).expect("the engine exists").alive = false;
    }
    world.run(300);
    let heads = [large[0].clone(), lost[1].clone(), lost[2].clone()];
    report_stalls(&mut world, &heads);
    world.run(4_500);

    assert_eq!(count_groups(&world, "large"), 2);
}

/// A group of four loses a member while its domain has no reserve, and a small group is lost too. Guards
/// against the three survivors being used for the small model, which each could serve in a second:
/// clients of the large one would then wait for four engines to load its weights. The survivors must be
/// kept, and a small group of the domain closed to complete their group.
#[test]
fn survivors_are_kept_for_the_model_farther_behind() {
    let mut world = world::World::start(3, 1);
    world.run(2_500);
    assert!(world.declare(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR));
    world.add_engines(1..=10, "d1");
    world.add_engines(11..=20, "d2");
    world.run(36_000);
    let served = world.serving();
    let in_first = |instance: &name::Instance| {
        world.engines[instance].announcement.domain == name::Domain::from("d1")
    };
    let here: Vec<_> = served.iter().filter(|group| in_first(&group.members[0])).collect();
    let large = here.iter().find(|group| group.members.len() == 4).expect("there is one");
    let small = here.iter().find(|group| group.members.len() == 1).expect("there is one");
    let is_free = |instance: &&name::Instance| {
        in_first(instance) && !here.iter().any(|group| group.members.contains(instance))
    };
    let mut lost: Vec<name::Instance> = world.engines.keys().filter(is_free).cloned().collect();
    let heads = [large.members[0].clone(), small.members[0].clone()];
    lost.extend([large.members[1].clone(), small.members[0].clone()]);

    for instance in &lost {
        world.engines.get_mut(instance).expect("the engine exists").alive = false;
    }
    world.run(300);
    report_stalls(&mut world, &heads);
    world.run(8_000);

    assert_eq!(count_groups(&world, "large"), 2);
}

/// Guards against a leader that loses its lease by a pass over all engines after each event.
#[test]
fn changes_of_many_engines_are_handled_in_few_passes() {
    let mut world = world::World::declared(1, 0);
    world.add_engines(1..=250, "d1");
    let before = world.publications;

    world.run(100);

    let leader = world.leader().expect("the only process leads");
    let view = world.processes[&leader].view.as_ref().expect("it has a declaration");
    assert_eq!(view.upstreams.len(), 250);
    assert!(world.publications - before < 30, "{} views", world.publications - before);
}
