//! What was acknowledged outlasts what is to be borne.

use crate::{fixture, world};
use hyssopfork_fleet::{action, event, peer, quarantine, view};
use hyssopfork_wire::name;
use std::time::Duration;

#[test]
fn the_log_forms_from_three_seeds_in_any_order() {
    let mut world = world::World::start(3, 4);

    world.run(2_500);

    let leader = world.leader().expect("somebody leads");
    let progress = world.processes[&leader].core.as_ref().and_then(|core| core.progress());
    assert!(progress.is_some());
    for process in world.processes.values() {
        let leads_to = process.core.as_ref().and_then(|core| core.leader());
        assert_eq!(leads_to, Some(leader));
    }
}

#[test]
fn one_process_alone_forms_the_log_and_serves() {
    let mut world = world::World::start(1, 0);
    world.run(6_000);

    assert!(world.declare(1));
}

#[test]
fn a_folder_at_one_process_that_is_no_seed_is_found() {
    let mut world = world::World::start(0, 4);
    let last = fixture::address(4);
    world.processes.get_mut(&last).expect("it is there").has_folder = true;
    world.boot(last, true);
    world.run(6_000);

    assert!(world.declare(1));
}

#[test]
fn a_declaration_reaches_every_process() {
    let world = world::World::declared(3, 4);

    for process in world.processes.values() {
        assert_eq!(process.view.as_ref().map(|view| view.document), Some(1));
    }
}

#[test]
fn an_older_version_is_acknowledged_and_changes_nothing() {
    let mut world = world::World::declared(3, 0);
    assert!(world.declare(5));

    assert!(world.declare(3));

    assert_eq!(world.read(), Some(5));
}

/// The operator has an acknowledgement; at once every process loses its power, and all come back.
/// Reading, the operator must get what was acknowledged: it was on the disks of a majority.
#[test]
fn what_was_acknowledged_is_read_back_after_all_were_killed() {
    let mut world = world::World::declared(3, 2);
    assert!(world.declare(7));

    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.boot(*address, false));
    world.run(3_000);

    assert_eq!(world.read(), Some(7));
}

/// The leader acknowledges, and its machine comes back without its disk. The log must not forget:
/// the blank folder may not vote for a leader that lacks what it had acknowledged.
#[test]
fn a_leader_that_loses_its_disk_after_an_acknowledgement_loses_nothing() {
    let mut world = world::World::declared(3, 1);
    assert!(world.declare(9));
    let leader = world.leader().expect("somebody leads");

    world.kill(leader);
    world.wipe(leader);
    world.boot(leader, false);
    world.run(4_000);

    assert_eq!(world.read(), Some(9));
}

/// Guards against an upstream whose leaving was acknowledged before any follower knew of it: lost with
/// its leader, it would be sent more work.
#[test]
fn a_leaving_upstream_is_answered_once_followers_know() {
    let mut world = world::World::declared(3, 2);
    world.add_engines(1..=200, "d1");
    world.run(6_000);
    let leader = world.leader().expect("somebody leads");
    let leaving: Vec<name::Instance> = world.engines.keys().take(3).cloned().collect();

    let departed = |instance: &name::Instance| {
        event::Request::Register(peer::Registration::Departed(instance.clone()))
    };
    let calls: Vec<u64> = leaving.iter().map(|it| world.call(leader, departed(it))).collect();

    for (instance, call) in leaving.iter().zip(calls) {
        while !world.replies.contains_key(&call) {
            world.run(1);
        }
        assert!(matches!(world.replies[&call], action::Reply::Registered(_)));
        let others = world.processes.iter().filter(|(address, _)| **address != leader);
        let knows = |view: &&world::View| {
            view.upstreams.get(instance).is_some_and(|it| it.status == view::Status::Leaving)
        };
        let knowing = others.filter_map(|(_, process)| process.view.as_ref()).filter(knows);
        assert!(knowing.count() >= 2, "{instance} is not known to leave");
    }
}

/// Guards against entries that each take a whole limit of the fleet for theirs, since the new leader
/// knows only those that have turned to it.
#[test]
fn entries_share_limits_with_all_others_while_the_leader_changes() {
    let mut world = world::World::declared(3, 17);
    world.run(500);
    let leader = world.leader().expect("somebody leads");

    world.kill(leader);

    for _ in 0..2_000 {
        world.run(1);
        let living = world.processes.iter().filter(|(_, process)| process.core.is_some());
        for (address, process) in living {
            let entries = process.view.as_ref().map_or(0, |view| view.entries.len());
            assert!(entries >= 19, "{address} knows {entries} entries");
        }
    }
    world.run(4_000);
    let next = world.leader().expect("another leads");
    assert!(!world.processes[&next].view.as_ref().expect("told").entries.contains_key(&leader));
}

/// Guards against a verdict on an upstream that rests on the processes of one or two zones.
#[test]
fn processes_of_all_addresses_are_asked_about_an_upstream() {
    let mut world = world::World::declared(3, 37);
    world.add_engines(1..=4, "d1");
    world.run(8_000);
    let engine = world.engines.keys().next().expect("it is there").clone();

    world.cut_engine(&engine);
    world.run(6_000);

    let quarter = |host: &u8| world.asked_peers.contains(&fixture::address(*host));
    for hosts in [1..=10, 11..=20, 21..=30, 31..=40] {
        let asked = hosts.clone().filter(quarter).count();
        assert!((2..=6).contains(&asked), "{asked} of {hosts:?} were asked");
    }
}

/// A machine of the core is gone for good and an empty one stands at another address. It takes the
/// place of the lost one, so that the next loss is borne too.
#[test]
fn an_empty_machine_takes_the_place_of_one_that_is_gone() {
    let mut world = world::World::declared(4, 0);
    let lost = fixture::address(4);
    let leader = world.leader().expect("somebody leads");
    let gone = if leader == lost { fixture::address(1) } else { lost };

    world.kill(gone);
    world.run(6_000);
    assert!(world.declare(11));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(3_000);

    assert_eq!(world.read(), Some(11));
}

/// The leader is cut off from all others and believes to lead. A caller that reads from it must not
/// get the older declaration: it says that it can't be sure.
#[test]
fn a_leader_that_is_cut_off_reads_nothing_back() {
    let mut world = world::World::declared(3, 1);
    let old = world.leader().expect("somebody leads");
    let others: Vec<_> = world.processes.keys().copied().filter(|it| *it != old).collect();
    for other in others {
        world.cuts.insert((old, other));
        world.cuts.insert((other, old));
    }
    world.run(3_000);
    assert!(world.declare(13), "the others go on");

    let call = world.call(old, event::Request::Read);
    world.run(300);

    let reply = world.replies.get(&call);
    assert!(matches!(reply, Some(action::Reply::NotLeader(_))), "{reply:?}");
}

#[test]
fn a_process_whose_folder_fails_goes_on_without_it_and_comes_back() {
    let mut world = world::World::declared(3, 0);
    let leader = world.leader().expect("somebody leads");
    let other = *world.processes.keys().find(|it| **it != leader).expect("there are three");

    let failed = event::Event::FolderFailed;
    let core = world.processes.get_mut(&other).and_then(|it| it.core.as_mut()).expect("it runs");
    let _told = core.step(world.now, failed);
    world.run(1_000);
    assert!(world.declare(15));

    assert_eq!(world.processes[&other].view.as_ref().map(|view| view.document), Some(15));
}

#[test]
fn zones_are_taken_out_and_back_in_whoever_leads() {
    let mut world = world::World::declared(3, 1);
    let zone = name::Zone::from("z1");

    assert!(world.insist(&event::Request::TakeOut(zone.clone())));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(3_000);

    let next = world.leader().expect("another leads");
    assert!(world.processes[&next].view.as_ref().is_some_and(|view| view.out.contains(&zone)));
    assert!(world.insist(&event::Request::BringIn(zone.clone())));
    assert!(world.processes[&next].view.as_ref().is_some_and(|view| view.out.is_empty()));
}

/// Evidence of an entry whose request was in flight at the crash of the upstream of this number.
fn crashed(request: quarantine::Fingerprint, upstream: u64) -> peer::Evidence {
    let instance = name::Instance::new(format!("i-{upstream}"));
    let process = quarantine::Process { instance, start_time_ms: upstream };
    let crash = quarantine::Crash { process, age: Duration::ZERO, requests: vec![request] };
    peer::Evidence { crashes: vec![crash], ..peer::Evidence::default() }
}

/// Guards against a quarantine that ends with its leader's process: followers took the next one at the same
/// address for the same, and told it nothing.
#[test]
fn a_leader_that_restarts_learns_what_its_followers_know() {
    let mut world = world::World::declared(1, 3);
    let request = quarantine::Fingerprint { length: 1, digest: [1; 16] };
    for upstream in 1..=3 {
        world.see(fixture::address(2), crashed(request, upstream));
        world.run(300);
    }
    let verdict = |world: &world::World, host: u8| {
        let view = world.processes[&fixture::address(host)].view.as_ref();
        view.and_then(|view| view.quarantine.get(&request).copied())
    };
    let before: Vec<_> = (1..=4).map(|host| verdict(&world, host)).collect();

    world.kill(fixture::address(1));
    world.run(200);
    world.boot(fixture::address(1), false);
    world.run(4_000);

    let quarantined = Some(quarantine::Verdict::Quarantined { round: 1 });
    assert_eq!(before, [quarantined; 4]);
    let after: Vec<_> = (1..=4).map(|host| verdict(&world, host)).collect();
    assert_eq!(after, [quarantined; 4]);
}

/// Guards against a leader that loses its lease over what a hundred followers tell it, all of them the same.
#[test]
fn a_new_leader_is_told_what_it_lacks_by_few() {
    let mut world = world::World::declared(1, 60);
    world.run(1_000);
    let before = world.disclosures;

    world.kill(fixture::address(1));
    world.run(200);
    world.boot(fixture::address(1), false);
    world.run(4_000);

    assert_eq!(world.leader(), Some(fixture::address(1)));
    let told = world.disclosures - before;
    assert!((1..=4).contains(&told), "{told} of 60 followers told all they know");
}

/// Guards against knowledge that is lost with the followers that were asked for it.
#[test]
fn another_follower_is_asked_in_place_of_one_that_is_gone() {
    let mut world = world::World::declared(1, 8);
    let request = quarantine::Fingerprint { length: 1, digest: [1; 16] };
    for upstream in 1..=3 {
        world.see(fixture::address(2), crashed(request, upstream));
        world.run(300);
    }
    let leader = fixture::address(1);
    world.kill(leader);
    world.run(200);
    world.boot(leader, false);

    while world.disclosures == 0 {
        world.run(1);
    }
    let told: Vec<u8> = (2..=9).filter(|host| world.tells(fixture::address(*host))).collect();
    for host in &told {
        world.drop_messages_of(fixture::address(*host));
        world.kill(fixture::address(*host));
    }
    world.run(3_000);

    assert!((1..=2).contains(&told.len()), "{told:?}");
    let left = (2..=9).find(|host| !told.contains(host)).expect("others are left");
    let view = world.processes[&fixture::address(left)].view.as_ref().expect("it follows");
    assert_eq!(view.quarantine.len(), 1);
}
