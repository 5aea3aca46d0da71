//! Replication: acknowledged state survives the tolerated losses and changes of leader.

use crate::{fixture, world};
use hyssopfork_fleet::{action, event, peer, quarantine, view};
use hyssopfork_wire::name;
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn a_log_forms_from_three_seeds() {
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
fn a_folder_at_a_process_that_is_no_seed_is_discovered() {
    let mut world = world::World::start(0, 4);
    let last = fixture::address(4);
    world.processes.get_mut(&last).expect("it is there").has_folder = true;
    world.start_process(last, true);
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

    assert_eq!(world.read_version(), Some(5));
}

/// Guards against a follower that takes a declaration for the newest because the leader's answer
/// arrived late: a newer one was acknowledged after the leader had answered.
#[test]
fn a_late_answer_confirms_no_declaration_beyond_the_time_of_its_watch() {
    let mut world = world::World::declared(3, 2);
    world.watch_answer_delay = Duration::from_millis(700);

    for version in 2..8 {
        world.run(250);
        assert!(world.declare(version));
    }

    assert_eq!(world.read_version(), Some(7));
}

/// Guards against a small change that waits for as many rounds of transfers as a large one: each
/// round takes as long as a busy leader needs for an answer and the next watch.
#[test]
fn a_small_change_reaches_the_followers_of_a_busy_leader_at_once() {
    let mut world = world::World::declared(3, 40);
    world.watch_answer_delay = Duration::from_millis(400);
    world.run(1_000);

    assert!(world.declare(2));
    world.run(1_000);

    let lacks = |process: &&world::Process| process.view.as_ref().map(|it| it.document) != Some(2);
    assert_eq!(world.processes.values().filter(lacks).count(), 0);
}

/// Guards against a declaration that waits until a new leader has sent the whole view to all of its
/// followers.
#[test]
fn a_declaration_does_not_wait_for_the_views_of_a_new_leader() {
    let link = world::Bandwidth(1_000_000 / 8);
    let mut world = world::World::start_with_links(3, 40, |_| Some(link));
    world.run(5_000);
    assert!(world.declare(1));
    world.add_engines(1..=200, "d1");
    world.run(30_000);
    let leader = world.leader().expect("one leads");
    world.kill(leader);
    world.run(1_500);

    assert!(world.declare(2));
    world.run(1_000);

    let alive = world.processes.values().filter(|process| process.core.is_some());
    let lacks = |process: &&world::Process| process.view.as_ref().map(|it| it.document) != Some(2);
    assert_eq!(alive.filter(lacks).count(), 0);
}

/// All processes lose power right after an acknowledgement and restart. The acknowledged
/// declaration must be read back, since it was on the disks of a majority.
#[test]
fn an_acknowledged_declaration_survives_a_kill_of_all_processes() {
    let mut world = world::World::declared(3, 2);
    assert!(world.declare(7));

    let all: Vec<_> = world.processes.keys().copied().collect();
    all.iter().for_each(|address| world.kill(*address));
    all.iter().for_each(|address| world.start_process(*address, false));
    world.run(3_000);

    assert_eq!(world.read_version(), Some(7));
}

/// The leader restarts with a blank disk right after an acknowledgement. A blank folder must not
/// vote for a leader that lacks the acknowledged entry, or the entry would be lost.
#[test]
fn an_acknowledged_declaration_survives_the_loss_of_the_leaders_disk() {
    let mut world = world::World::declared(3, 1);
    assert!(world.declare(9));
    let leader = world.leader().expect("somebody leads");

    world.kill(leader);
    world.wipe_folder(leader);
    world.start_process(leader, false);
    world.run(4_000);

    assert_eq!(world.read_version(), Some(9));
}

/// Guards against losing what was acknowledged when one disk is lost and all other processes lose power at
/// the same moment, those without a disk included: no process is left that knows more than the disks, and
/// the blank one must not complete a quorum with the disk that lags.
#[test]
fn acknowledgements_survive_the_loss_of_a_disk_and_of_all_power() {
    for lost in (1..=3).map(fixture::address) {
        for is_first_back in [true, false] {
            let mut world = world::World::declared(3, 4);
            let zone = name::Zone::from("z1");
            assert!(world.call_until_done(&event::Request::TakeOut(zone.clone())));
            assert!(world.declare(9));

            let all: Vec<_> = world.processes.keys().copied().collect();
            all.iter().for_each(|address| world.kill(*address));
            world.wipe_folder(lost);
            let (first, later): (Vec<_>, Vec<_>) =
                all.into_iter().partition(|address| (*address == lost) == is_first_back);
            first.into_iter().for_each(|address| world.start_process(address, false));
            world.run(2_000);
            later.into_iter().for_each(|address| world.start_process(address, false));
            world.run(5_000);

            let view = world.leader().and_then(|leader| world.processes[&leader].view.as_ref());
            assert!(
                view.is_some_and(|view| view.out.contains(&zone)),
                "without the disk of {lost}"
            );
            assert_eq!(world.read_version(), Some(9), "without the disk of {lost}");
        }
    }
}

/// Guards against answering a departure before any follower has received it. If the leader were
/// then lost, the departed upstream would get new work.
#[test]
fn a_departure_is_answered_after_followers_have_received_it() {
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

/// Guards against entries that each use a whole fleet-wide limit because the new leader knows only
/// the entries that have already sent it a watch.
#[test]
fn all_entries_stay_known_while_the_leader_changes() {
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
    assert!(
        !world.processes[&next].view.as_ref().expect("it has a view").entries.contains_key(&leader)
    );
}

/// Guards against declaring an upstream dead on probes from only one or two zones.
#[test]
fn indirect_probes_are_spread_over_all_addresses() {
    let mut world = world::World::declared(3, 37);
    world.add_engines(1..=4, "d1");
    world.run(8_000);
    let engine = world.engines.keys().next().expect("it is there").clone();

    world.cut_engine(&engine);
    world.run(6_000);

    let quarter = |host: &u16| world.probe_peers.contains(&fixture::address(*host));
    for hosts in [1..=10, 11..=20, 21..=30, 31..=40] {
        let asked = hosts.clone().filter(quarter).count();
        assert!((2..=6).contains(&asked), "{asked} of {hosts:?} were asked");
    }
}

/// A voter is lost permanently while an empty machine is available at another address. The empty
/// machine must become a voter, so that the next loss is tolerated too.
#[test]
fn an_empty_machine_replaces_a_lost_voter() {
    let mut world = world::World::declared(4, 0);
    let lost = fixture::address(4);
    let leader = world.leader().expect("somebody leads");
    let removed = if leader == lost { fixture::address(1) } else { lost };

    world.kill(removed);
    world.run(6_000);
    assert!(world.declare(11));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(3_000);

    assert_eq!(world.read_version(), Some(11));
}

/// Addresses of the voters that a process knows.
fn voters_known_to(world: &world::World, host: u16) -> Vec<SocketAddr> {
    let view = world.processes[&fixture::address(host)].view.as_ref();
    view.map(|view| view.controls.clone()).unwrap_or_default()
}

/// A voter that runs, other than the leader.
fn other_voter(world: &world::World) -> SocketAddr {
    let leader = world.leader().expect("one leads");
    let voters = voters_known_to(world, 4);
    let runs = |it: &SocketAddr| world.processes[it].core.is_some();
    voters.into_iter().find(|it| *it != leader && runs(it)).expect("there are several voters")
}

/// Guards against a replacement that never votes because it finds the leader through a process that
/// keeps its greeting to itself: the next lost disk then ends control.
#[test]
fn a_replacement_whose_seeds_have_no_folder_becomes_a_voter() {
    let mut world = world::World::declared(3, 3);
    world.change_seeds(4..=6);
    world.run(2_000);
    let removed = other_voter(&world);
    world.kill(removed);
    world.run(2_000);

    world.add_process(7, true);
    world.run(8_000);

    assert!(voters_known_to(&world, 4).contains(&fixture::address(7)));
    assert!(world.declare(2));
    let wiped = other_voter(&world);
    world.kill(wiped);
    world.wipe_folder(wiped);
    world.run(1_000);
    world.start_process(wiped, false);
    world.run(4_000);
    assert_eq!(world.read_version(), Some(2));
}

/// Guards against a declaration that is acknowledged with one copy: the first seed is cut off at the first
/// start, forms the log alone, and loses its disk.
#[test]
fn a_first_seed_that_is_cut_off_acknowledges_nothing_alone() {
    let mut world = world::World::start(3, 1);
    let first = fixture::address(1);
    for other in [2, 3, 4].map(fixture::address) {
        world.blocked_links.insert((first, other));
        world.blocked_links.insert((other, first));
    }
    world.run(4_500);
    assert_eq!(world.leader(), Some(first));
    let declaration = Box::new(fixture::declaration(1));
    let call = world.call(first, event::Request::Declare(declaration, fixture::document(1)));
    world.run(1_000);
    assert!(!matches!(world.replies.get(&call), Some(action::Reply::Done)));

    world.blocked_links.clear();
    world.run(1_000);
    assert!(world.declare(2));
    world.kill(first);
    world.wipe_folder(first);
    world.start_process(first, false);
    world.run(4_000);

    assert_eq!(world.read_version(), Some(2));
}

/// Guards against a fleet that acknowledges nothing for good because one of three processes with a folder
/// is lost at the first start.
#[test]
fn two_of_three_voters_acknowledge_declarations() {
    let mut world = world::World::start(3, 1);
    world.kill(fixture::address(3));

    world.run(6_000);

    assert!(world.declare(1));
}

/// Guards against the seat of a process that was stopped for good after its replacement had joined: until
/// it is removed, the next lost disk ends control.
#[test]
fn a_lost_disk_is_tolerated_after_a_planned_replacement() {
    let mut world = world::World::declared(3, 1);
    world.add_process(7, true);
    world.run(6_000);
    let removed = other_voter(&world);
    world.stop(&[removed]);
    world.run(500);
    assert!(world.declare(2));

    let wiped = other_voter(&world);
    world.kill(wiped);
    world.wipe_folder(wiped);
    world.run(1_000);
    world.start_process(wiped, false);
    world.run(4_000);

    assert_eq!(world.read_version(), Some(2));
    assert!(world.declare(3));
}

/// Guards against the same where all processes with a folder are replaced at once, the leader among them.
#[test]
fn all_voters_can_be_replaced_at_once() {
    let mut world = world::World::declared(3, 1);
    (7..=9).for_each(|host| world.add_process(host, true));
    world.run(6_000);
    assert!(world.declare(2));

    world.stop(&[1, 2, 3].map(fixture::address));
    world.run(2_000);

    assert_eq!(world.read_version(), Some(2));
    assert!(world.declare(3));
}

/// Guards against a voter that is removed although it has started again.
#[test]
fn a_voter_that_restarts_keeps_its_seat() {
    let mut world = world::World::declared(3, 1);
    let restarted = other_voter(&world);

    world.stop(&[restarted]);
    world.start_process(restarted, false);
    world.run(1_000);
    world.add_process(7, true);
    world.run(6_000);

    assert!(voters_known_to(&world, 4).contains(&restarted));
}

/// Guards against a replacement that is known only to the leader that it greeted, which then dies.
#[test]
fn a_replacement_becomes_a_voter_under_the_next_leader() {
    let mut world = world::World::declared(3, 3);
    world.change_seeds(4..=6);
    let removed = other_voter(&world);
    world.kill(removed);
    world.add_process(7, true);
    world.run(300);
    let leader = world.leader().expect("one leads");
    world.kill(leader);
    world.run(1_000);
    world.start_process(leader, false);

    world.run(10_000);

    assert!(voters_known_to(&world, 4).contains(&fixture::address(7)));
}

/// Guards against processes that never find the leader because all of their seeds have restarted and
/// know only each other.
#[test]
fn seeds_without_a_folder_find_the_leader_after_all_of_them_restarted() {
    let mut world = world::World::declared(3, 4);
    world.change_seeds(4..=6);
    (4..=7).for_each(|host| world.kill(fixture::address(host)));
    world.run(3_000);

    (4..=7).for_each(|host| world.start_process(fixture::address(host), false));
    world.run(4_000);

    let leader = world.leader();
    assert!(leader.is_some());
    for host in 4..=7 {
        let core = world.processes[&fixture::address(host)].core.as_ref().expect("it runs");
        assert_eq!(core.leader(), leader, "process {host}");
    }
}

/// A leader that is partitioned from all others still believes that it leads. It must not answer a
/// read with its outdated declaration.
#[test]
fn a_partitioned_leader_answers_no_reads() {
    let mut world = world::World::declared(3, 1);
    let old = world.leader().expect("somebody leads");
    let others: Vec<_> = world.processes.keys().copied().filter(|it| *it != old).collect();
    for other in others {
        world.blocked_links.insert((old, other));
        world.blocked_links.insert((other, old));
    }
    world.run(3_000);
    assert!(world.declare(13), "the others go on");

    let call = world.call(old, event::Request::Read);
    world.run(300);

    let reply = world.replies.get(&call);
    assert!(matches!(reply, Some(action::Reply::NotLeader(_))), "{reply:?}");
}

#[test]
fn a_process_follows_the_leader_after_its_folder_failed() {
    let mut world = world::World::declared(3, 0);
    let leader = world.leader().expect("somebody leads");
    let other = *world.processes.keys().find(|it| **it != leader).expect("there are three");

    let failed = event::Event::FolderFailed;
    let core = world.processes.get_mut(&other).and_then(|it| it.core.as_mut()).expect("it runs");
    let _actions = core.step(world.now, failed);
    world.run(1_000);
    assert!(world.declare(15));

    assert_eq!(world.processes[&other].view.as_ref().map(|view| view.document), Some(15));
}

#[test]
fn zones_out_survive_a_change_of_leader() {
    let mut world = world::World::declared(3, 1);
    let zone = name::Zone::from("z1");

    assert!(world.call_until_done(&event::Request::TakeOut(zone.clone())));
    let leader = world.leader().expect("somebody leads");
    world.kill(leader);
    world.run(3_000);

    let next = world.leader().expect("another leads");
    assert!(world.processes[&next].view.as_ref().is_some_and(|view| view.out.contains(&zone)));
    assert!(world.call_until_done(&event::Request::BringIn(zone.clone())));
    assert!(world.processes[&next].view.as_ref().is_some_and(|view| view.out.is_empty()));
}

/// Evidence of an entry with the request in flight at the crash of this upstream.
fn crash_evidence(request: quarantine::Fingerprint, upstream: u64) -> peer::Evidence {
    let instance = name::Instance::new(format!("i-{upstream}"));
    let process = quarantine::Process { instance, start_time_ms: upstream };
    let requests = vec![quarantine::Request { fingerprint: request, parts: Vec::new() }];
    let crash = quarantine::Crash { process, age: Duration::ZERO, requests };
    peer::Evidence { crashes: vec![crash], ..peer::Evidence::default() }
}

/// Guards against losing a quarantine with the leader's process: followers took the restarted
/// process at the same address for the same leader and did not send it their state.
#[test]
fn a_leader_that_restarts_learns_what_its_followers_know() {
    let mut world = world::World::declared(1, 3);
    let request = quarantine::Fingerprint { length: 1, digest: [1; 16] };
    for upstream in 1..=3 {
        world.report_evidence(fixture::address(2), crash_evidence(request, upstream));
        world.run(300);
    }
    let verdict = |world: &world::World, host: u16| {
        let view = world.processes[&fixture::address(host)].view.as_ref();
        view.and_then(|view| view.quarantine.get(&quarantine::Cause::Request(request)).copied())
    };
    let before: Vec<_> = (1..=4).map(|host| verdict(&world, host)).collect();

    world.kill(fixture::address(1));
    world.run(200);
    world.start_process(fixture::address(1), false);
    world.run(4_000);

    let quarantined = Some(quarantine::Verdict::Quarantined { round: 1 });
    assert_eq!(before, [quarantined; 4]);
    let after: Vec<_> = (1..=4).map(|host| verdict(&world, host)).collect();
    assert_eq!(after, [quarantined; 4]);
}

/// Guards against upstreams that crash again after a restart of all processes, because the processes
/// have forgotten which request crashes them.
#[test]
fn a_quarantine_survives_a_restart_of_all_processes() {
    let mut world = world::World::declared(3, 2);
    let request = quarantine::Fingerprint { length: 1, digest: [1; 16] };
    for upstream in 1..=3 {
        world.report_evidence(fixture::address(2), crash_evidence(request, upstream));
        world.run(300);
    }
    world.run(1_200);

    world.restart_all();
    world.run(3_000);

    for (address, process) in &world.processes {
        let view = process.view.as_ref().expect("it follows the leader");
        let verdict = view.quarantine.get(&quarantine::Cause::Request(request)).copied();
        assert_eq!(verdict, Some(quarantine::Verdict::Quarantined { round: 1 }), "{address}");
    }
}

/// Guards against a leader that loses its lease while decoding the same state from a hundred
/// followers.
#[test]
fn a_new_leader_requests_state_from_few_followers() {
    let mut world = world::World::declared(1, 60);
    world.run(1_000);
    let before = world.state_transfers;

    world.kill(fixture::address(1));
    world.run(200);
    world.start_process(fixture::address(1), false);
    world.run(4_000);

    assert_eq!(world.leader(), Some(fixture::address(1)));
    let transfers = world.state_transfers - before;
    assert!((1..=4).contains(&transfers), "{transfers} of 60 followers sent their state");
}

/// Guards against losing state that only the failed donors were asked for.
#[test]
fn a_lost_donor_is_replaced_by_another_follower() {
    let mut world = world::World::declared(1, 8);
    let request = quarantine::Fingerprint { length: 1, digest: [1; 16] };
    for upstream in 1..=3 {
        world.report_evidence(fixture::address(2), crash_evidence(request, upstream));
        world.run(300);
    }
    let leader = fixture::address(1);
    world.kill(leader);
    world.run(200);
    world.start_process(leader, false);

    while world.state_transfers == 0 {
        world.run(1);
    }
    let donors: Vec<u16> =
        (2..=9).filter(|host| world.is_sending_state(fixture::address(*host))).collect();
    for host in &donors {
        world.drop_messages_of(fixture::address(*host));
        world.kill(fixture::address(*host));
    }
    world.run(3_000);

    assert!((1..=2).contains(&donors.len()), "{donors:?}");
    let left = (2..=9).find(|host| !donors.contains(host)).expect("others are left");
    let view = world.processes[&fixture::address(left)].view.as_ref().expect("it follows");
    assert_eq!(view.quarantine.len(), 1);
}

/// Guards against requests at full rate to upstreams that became cold while their zone was out and no
/// process led: the next leader knew them as warm, and the zone was brought back in before they called.
#[test]
fn upstreams_of_a_zone_that_is_out_count_as_cold_for_a_new_leader() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=4, "d1");
    world.run(20_000);
    let zone = name::Zone::from("z-d1");
    assert!(world.call_until_done(&event::Request::TakeOut(zone.clone())));
    let engines: Vec<name::Instance> = world.engines.keys().cloned().collect();
    engines.iter().for_each(|engine| world.cut_engine(engine));
    let leader = world.leader().expect("one leads");

    world.kill(leader);
    while world.leader().is_none() {
        world.run(1);
    }
    assert!(world.call_until_done(&event::Request::BringIn(zone)));

    let next = world.leader().expect("another leads");
    let view = world.processes[&next].view.as_ref().expect("it has a view");
    assert!(view.upstreams.values().all(|it| !it.announcement.cold.is_zero()));
}

/// Guards against requests at full rate to upstreams that became cold right before their zone is brought
/// back in: the leader knows them as warm until their next calls.
#[test]
fn upstreams_of_a_zone_that_is_brought_in_count_as_cold_until_they_call() {
    let mut world = world::World::declared(3, 1);
    world.add_engines(1..=4, "d1");
    world.run(20_000);
    let zone = name::Zone::from("z-d1");
    assert!(world.call_until_done(&event::Request::TakeOut(zone.clone())));
    world.run(8_000);
    let are_cold = |world: &world::World| {
        let views = world.processes.values().filter_map(|process| process.view.as_ref());
        let upstreams: Vec<bool> = views
            .filter(|view| view.out.is_empty())
            .flat_map(|view| view.upstreams.values())
            .map(|upstream| !upstream.announcement.cold.is_zero())
            .collect();
        upstreams
    };
    assert!(are_cold(&world).is_empty());
    world.engines.keys().cloned().collect::<Vec<_>>().iter().for_each(|it| world.cut_engine(it));

    let leader = world.leader().expect("one leads");
    world.call(leader, event::Request::BringIn(zone));
    for _ in 0..500 {
        world.run(1);
        assert!(are_cold(&world).into_iter().all(|is_cold| is_cold));
    }

    assert!(!are_cold(&world).is_empty());
}

/// Guards against a log that every process with a folder votes on: its heartbeats, and requests to join
/// that each folder sent to each other, grew with the square of the fleet.
#[test]
fn a_log_has_few_voters_however_many_folders_there_are() {
    let mut world = world::World::declared(60, 1);
    world.run(6_000);
    let leader = world.leader().expect("one leads");
    let voters = |world: &world::World| {
        let view = world.processes[&fixture::address(61)].view.as_ref().expect("it follows");
        view.controls.clone()
    };
    let before = voters(&world);
    let lost = *before.iter().find(|voter| **voter != leader).expect("there are others");

    world.kill(lost);
    world.run(12_000);

    let after = voters(&world);
    assert_eq!((before.len(), after.len()), (13, 13));
    assert!(!after.contains(&lost), "a folder that waited replaces the lost voter");
    assert!(world.declare(11));
}
