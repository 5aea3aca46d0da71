//! Groups that a leader was opening or closing when another one took its place.

use crate::world;
use hyssopfork_fleet::announcement::State;
use hyssopfork_fleet::groups::group;
use hyssopfork_fleet::notice;
use hyssopfork_wire::name;
use std::net::SocketAddr;
use std::time::Duration;

fn world_with_groups() -> world::World {
    let mut world = world::World::declared(3, 2);
    world.probe_timeout = world::engines::DAEMON_PROBE_TIMEOUT;
    world.add_engines(1..=10, "d1");
    world.run(26_000);
    world
}

/// Members of a serving group of two.
fn pair(world: &world::World) -> Vec<name::Instance> {
    let pair = world.serving().into_iter().find(|group| group.members.len() == 2);
    pair.expect("a group of two serves").members
}

fn cut_off(world: &mut world::World, process: SocketAddr) {
    let others: Vec<SocketAddr> = world.processes.keys().copied().collect();
    for other in others.into_iter().filter(|other| *other != process) {
        world.blocked_links.insert((process, other));
        world.blocked_links.insert((other, process));
    }
}

/// Guards against a new leader that orders the members of a closing group to leave, which cuts the
/// requests that the head is about to finish.
#[test]
fn a_closing_group_finishes_its_requests_under_the_next_leader() {
    let mut world = world_with_groups();
    let members = pair(&world);
    let head = |world: &world::World| world.engines[&members[0]].announcement.membership.clone();
    let before = head(&world).expect("it is in a group");
    let end = world.now + Duration::from_secs(5);
    world.engines.get_mut(&members[0]).expect("it exists").work_until = end;
    world.set_draining(&members[1], true);
    world.run(500);
    assert_eq!(head(&world).map(|it| it.state), Some(State::Closing));

    let leader = world.leader().expect("there is a leader");
    world.kill(leader);
    while world.now + Duration::from_millis(10) < end {
        world.run(10);
        let now = head(&world);
        let is_closing =
            now.as_ref().is_some_and(|it| it.epoch == before.epoch && it.state == State::Closing);
        assert!(is_closing, "{now:?} at {:?}", world.now);
    }
    world.run(3_000);

    assert_ne!(head(&world).map(|it| it.epoch), Some(before.epoch), "the group has ended");
}

/// Guards against a head that is ordered out of its open group, and into another one, by a call from
/// before it joined: the leader knew the group from reports, which are newer than the call.
#[test]
fn a_late_call_does_not_undo_a_membership_known_from_reports() {
    let mut world = world_with_groups();
    let leader = world.leader().expect("there is a leader");
    world.kill(leader);
    world.held_announcements = Some(Vec::new());
    world.run(2_000);
    let lost = pair(&world)[1].clone();
    world.engines.get_mut(&lost).expect("it exists").alive = false;
    world.run(9_000);
    let sound = |world: &world::World| {
        let serving = world.serving().into_iter().filter(|it| !it.members.contains(&lost));
        serving.map(|group| group.epoch).collect::<Vec<_>>()
    };
    let before = sound(&world);

    world.release_announcements(Duration::from_millis(2));
    world.run(3_000);

    let after = sound(&world);
    assert!(before.len() >= 4, "{before:?}");
    assert!(before.iter().all(|epoch| after.contains(epoch)), "{before:?}, then {after:?}");
    assert!(world.wrongful_leaves.is_empty(), "{:?}", world.wrongful_leaves);
}

/// Guards against a head that joins another group while its own opens: the leader that ordered it to open
/// was cut off and could tell nobody, and the head reported that it was ready.
#[test]
fn a_head_that_a_leader_opened_while_cut_off_joins_no_other_group() {
    for delay_ms in (0..400).step_by(20) {
        let mut world = world_with_groups();
        let members = pair(&world);
        let leader = world.leader().expect("there is a leader");
        let seen = world.notices.len();
        world.stop_engine(&members[1]);
        let is_joining = |(_, notice): &(_, notice::Notice)| {
            matches!(notice, notice::Notice::Formed(_, _, _, group::Phase::Joining))
        };
        while !world.notices[seen..].iter().any(is_joining) {
            world.run_with_entries(1, &[leader]);
        }

        world.run(delay_ms);
        cut_off(&mut world, leader);
        world.run(6_000);
        world.blocked_links.clear();
        world.run(3_000);
    }
}
