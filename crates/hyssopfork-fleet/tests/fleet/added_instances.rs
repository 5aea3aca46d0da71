//! Instances that are added beside sound ones, so that the voters are fewer than the instances with a
//! folder, and losses and splits among all of them.
//!
//! What holds is counted from outside: of all instances with a folder that run, those that are in contact
//! with more than half of them must not serve by a declaration older than an acknowledged one.

use crate::{fixture, random, world};
use hyssopfork_fleet::{action, event};
use hyssopfork_wire::clock;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Default number of histories; `HYSSOPFORK_HISTORIES` overrides it.
const DEFAULT_HISTORIES: u64 = 30;

/// Seed that revealed a fault: a new leader did not wait for instances that it had not heard yet.
const REGRESSION_SEEDS: [u64; 1] = [165];

/// Host of the first instance that is added.
const FIRST_ADDED: u16 = 11;

/// Time after the last disturbance from which on instances count as in contact.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Time after an acknowledgement within which all instances in contact apply it.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time for which an instance counts as lost after it has started, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;

/// Time within which changes are acknowledged again after a disturbance, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Time between two changes, and between two checks, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 300;
const CHECK_INTERVAL_MS: u64 = 50;

/// Time between the end of an instance and the loss of a disk, in milliseconds.
const LOSS_DELAY_MS: u64 = 500;

/// A world whose acknowledgements are checked from outside.
struct Checked {
    world: world::World,
    /// All instances with a folder.
    core: Vec<SocketAddr>,
    disturbed_at: clock::Instant,
    version: u64,
}

impl Checked {
    fn new(world: world::World, folders: u16) -> Checked {
        let disturbed_at = world.now;
        let core = (1..=folders).map(fixture::address).collect();
        Checked { world, core, disturbed_at, version: 1 }
    }

    /// Starts an instance in the zone of another one.
    fn add(&mut self, of: SocketAddr) -> SocketAddr {
        let host = FIRST_ADDED + self.core.len() as u16;
        let zone = self.world.zone(of);
        self.world.add_in_zone(host, &zone);
        self.core.push(fixture::address(host));
        self.disturb();
        fixture::address(host)
    }

    fn disturb(&mut self) {
        self.disturbed_at = self.world.now;
    }

    /// Advances time while an operator submits changes to each instance in turn, and checks what those in
    /// contact serve by.
    fn run_with_changes(&mut self, millis: u64) {
        for step in 0..millis / CHECK_INTERVAL_MS {
            if (step * CHECK_INTERVAL_MS).is_multiple_of(CHANGE_INTERVAL_MS) {
                self.version += 1;
                for to in self.core.clone() {
                    let declaration = Box::new(fixture::declaration(self.version));
                    let document = fixture::document(self.version);
                    self.world.call(to, event::Request::Declare(declaration, document));
                }
            }
            self.world.run(CHECK_INTERVAL_MS);
            self.check();
        }
    }

    /// Instances in contact with more than half of all, if no disturbance is recent.
    fn in_contact(&self) -> Vec<SocketAddr> {
        if self.world.now.since(self.disturbed_at) < CONTACT_WINDOW {
            return Vec::new();
        }
        let runs = |it: &&SocketAddr| self.world.processes[it].core.is_some();
        let reach = |from: &SocketAddr| {
            let is_reached = |to: &&SocketAddr| {
                *to == from
                    || self.world.can_reach(*from, **to) && self.world.can_reach(**to, *from)
            };
            self.core.iter().filter(runs).filter(is_reached).count()
        };
        let is_in_contact = |it: &&SocketAddr| runs(it) && 2 * reach(it) > self.core.len();
        self.core.iter().filter(is_in_contact).copied().collect()
    }

    fn check(&self) {
        let now = self.world.now;
        let in_contact = self.in_contact();
        let owed =
            clock::Instant::ORIGIN + now.since(clock::Instant::ORIGIN).saturating_sub(APPLY_TIME);
        let acknowledged = self.world.acknowledged_before(owed);
        for address in in_contact {
            let view = self.world.processes[&address].view.as_ref();
            let version = view.map_or(acknowledged, |view| view.document);
            assert!(
                version >= acknowledged,
                "{address} serves by version {version}, {acknowledged} is acknowledged"
            );
        }
    }

    /// Checks that changes are acknowledged again and that the newest one is read back.
    fn check_recovery(&mut self, after: &str) {
        let start = self.world.now;
        loop {
            self.version += 1;
            if self.world.declare(self.version) {
                break;
            }
            let elapsed = self.world.now.since(start).as_millis() as u64;
            assert!(elapsed < RECOVERY_MS, "no change is acknowledged after: {after}");
        }
        assert_eq!(self.world.read_version(), Some(self.version), "{after}");
    }

    fn heal(&mut self) {
        self.world.blocked_links.clear();
        self.disturb();
    }
}

/// Three instances in three zones, and one added in the zones of the first `added`.
fn with_added(added: u16) -> Checked {
    let mut checked = Checked::new(world::World::declared(3, 1), 3);
    for host in 1..=added {
        checked.add(fixture::address(host));
        checked.world.run(200);
    }
    checked.world.run(6_000);
    checked.version += 1;
    assert!(checked.world.declare(checked.version));
    checked
}

/// All sets of one to all but one of `core`.
fn sides(core: &[SocketAddr]) -> Vec<BTreeSet<SocketAddr>> {
    let pick = |mask: usize| {
        let picked = core.iter().enumerate().filter(|(index, _)| mask >> index & 1 == 1);
        picked.map(|(_, address)| *address).collect()
    };
    (1..(1 << core.len()) - 1).map(pick).collect()
}

/// Guards against a majority of the voters that acknowledges changes while most of the instances, without
/// a leader, go on to serve by the declaration before.
#[test]
fn most_instances_never_serve_by_an_older_declaration_in_a_split() {
    for added in [1, 2, 3] {
        let count = sides(&with_added(added).core).len();
        for index in (0..count).step_by(if added == 3 { 3 } else { 1 }) {
            let mut checked = with_added(added);
            let side = sides(&checked.core)[index].clone();
            checked.world.split(&side);
            checked.disturb();
            checked.run_with_changes(6_000);
            checked.heal();
            checked.run_with_changes(2_000);
            checked.check_recovery(&format!("{added} added, split off: {side:?}"));
        }
    }
}

/// Guards against an instance that counts as ended because it was killed right before a split, and starts
/// again on the larger side.
#[test]
fn an_instance_that_restarts_on_the_larger_side_of_a_split_counts() {
    for killed in 0..3 {
        for before_ms in [100, 600, 1_500] {
            let mut checked = with_added(2);
            let (killed, smaller) = (checked.core[killed], [checked.core[3], checked.core[4]]);
            checked.world.kill(killed);
            checked.world.run(before_ms);
            checked.world.split(&BTreeSet::from(smaller));
            checked.world.run(300);
            checked.world.start_process(killed, false);
            checked.disturb();
            checked.run_with_changes(8_000);
            checked.heal();
            checked.check_recovery(&format!("{killed} killed {before_ms} ms before"));
        }
    }
}

/// Guards against changes that wait for good where one instance is added and any one is lost.
#[test]
fn a_lost_instance_beside_an_added_one_is_tolerated() {
    for added in [1, 2] {
        for index in 0..3 + usize::from(added) {
            for is_silent in [false, true] {
                let mut checked = with_added(added);
                let lost = checked.core[index];
                match is_silent {
                    true => checked.world.power_off(lost),
                    false => checked.world.kill(lost),
                }
                checked.check_recovery(&format!("{added} added, {lost} lost, {is_silent}"));
            }
        }
    }
}

/// Guards against the end of control after a planned replacement by an instance of any zone, and a lost
/// disk right after it: the vote of the instance that stops is missing, though another one has the log.
#[test]
fn a_lost_disk_is_tolerated_after_a_replacement_in_any_zone() {
    for zone in 1..=3 {
        for stopped in 1..=3 {
            for wiped in (1..=3).chain([0]).filter(|wiped| *wiped != stopped) {
                let mut checked = Checked::new(world::World::declared(3, 1), 3);
                let successor = checked.add(fixture::address(zone));
                checked.world.run(6_000);
                let wiped = if wiped == 0 { successor } else { fixture::address(wiped) };
                let stopped = fixture::address(stopped);
                let case =
                    format!("successor in the zone of {zone}, {stopped} stops, {wiped} wiped");
                checked.version += 1;
                assert!(checked.world.declare(checked.version), "{case}");

                checked.world.stop(&[stopped]);
                checked.world.run(LOSS_DELAY_MS);
                checked.version += 1;
                assert!(checked.world.declare(checked.version), "{case}");
                checked.world.kill(wiped);
                checked.world.wipe_folder(wiped);
                checked.world.run(1_000);
                checked.world.start_process(wiped, false);

                checked.world.run(CATCH_UP_MS);
                assert_eq!(checked.world.read_version(), Some(checked.version), "{case}");
                checked.check_recovery(&case);
            }
        }
    }
}

/// Guards against changes that wait for instances that were replaced and have ended, once another one is
/// lost: those that refuse connections, and those that have been silent for long.
#[test]
fn replaced_instances_that_ended_are_not_waited_for() {
    for (is_silent, delay_ms) in [(false, 0), (false, 1_000), (true, 6_000), (true, 20_000)] {
        for lost in 0..3 {
            let mut checked = with_added(2);
            for replaced in [1, 2].map(fixture::address) {
                match is_silent {
                    true => checked.world.power_off(replaced),
                    false => checked.world.kill(replaced),
                }
            }
            checked.world.run(delay_ms);
            let lost = checked.core[2 + lost];
            checked.world.kill(lost);

            checked.check_recovery(&format!("{is_silent}, {delay_ms} ms, {lost} lost"));
        }
    }
}

/// Guards against changes that wait until an instance is back, where two instances were replaced, their
/// hosts were removed without notice, and a third one is down before they count as gone.
#[test]
fn a_loss_right_after_two_replaced_hosts_were_removed_is_tolerated() {
    for lost in 0..3 {
        let mut checked = with_added(2);
        [1, 2].map(fixture::address).into_iter().for_each(|it| checked.world.power_off(it));
        let lost = checked.core[2 + lost];
        checked.world.power_off(lost);

        checked.check_recovery(&format!("{lost} lost"));
    }
}

/// Guards against a list of voters that shrinks with each outage: an instance that was down takes the seat
/// of the sound one in its zone.
#[test]
fn outages_leave_a_seat_for_each_instance_of_the_start() {
    for is_restarted in [false, true] {
        let mut world = world::World::declared_in_zones(6, 3, 2);
        for host in [1, 5, 3, 4] {
            let down = fixture::address(host);
            if is_restarted {
                world.kill(down);
            } else {
                world.split(&BTreeSet::from([down]));
            }
            world.run(6_000);
            if is_restarted {
                world.start_process(down, false);
            }
            world.blocked_links.clear();
            world.run(CATCH_UP_MS);
        }
        assert!(world.declare(2));
        world.run(1_000);

        let leader = world.leader().expect("one leads");
        let controls = &world.processes[&leader].view.as_ref().expect("it has one").controls;
        assert_eq!(controls.len(), 6, "{is_restarted}: {controls:?}");
    }
}

/// Guards against a zone without a vote for good, where the voter of it restarts on request and a superseded
/// instance has its seat meanwhile.
#[test]
fn a_voter_that_restarts_on_request_gets_its_seat_back() {
    for restarted in [2, 3].map(fixture::address) {
        let mut checked = with_added(1);
        checked.world.stop(&[restarted]);
        checked.world.run(500);
        checked.world.start_process(restarted, false);
        checked.world.run(CATCH_UP_MS);

        let leader = checked.world.leader().expect("one leads");
        let controls =
            &checked.world.processes[&leader].view.as_ref().expect("it has one").controls;
        assert_eq!(controls.len(), 3, "{controls:?}");
        assert!(controls.contains(&restarted), "{controls:?}");
    }
}

/// Guards against a change that is acknowledged while an instance in contact has not received it: a split
/// right after would leave it with the declaration before, without a leader.
#[test]
fn an_acknowledged_declaration_has_reached_all_instances_in_contact() {
    let mut checked = with_added(2);
    for _ in 0..20 {
        checked.version += 1;
        let leader = checked.world.leader().expect("one leads");
        let declaration = Box::new(fixture::declaration(checked.version));
        let request = event::Request::Declare(declaration, fixture::document(checked.version));
        let call = checked.world.call(leader, request);
        while !checked.world.replies.contains_key(&call) {
            checked.world.run(1);
        }

        let reply = &checked.world.replies[&call];
        assert!(matches!(reply, action::Reply::Done), "{reply:?}");
        for address in &checked.core {
            let view = checked.world.processes[address].view.as_ref();
            assert_eq!(view.map(|view| view.document), Some(checked.version), "{address}");
        }
        checked.world.run(137);
    }
}

/// One random history: additions, splits by any line (also beside an instance that restarts), outages and lost
/// disks.
fn run_history(seed: u64) {
    let mut random = random::Random(seed * 7_919);
    let mut checked = Checked::new(world::World::declared(3, 1), 3);
    for round in 0..6 {
        if checked.core.len() < 7 && random.below(2) == 0 {
            let of = random.pick(&checked.core);
            checked.add(of);
            checked.run_with_changes(CATCH_UP_MS);
        }
        match random.below(4) {
            0 | 1 => {
                let core = checked.core.clone();
                let down = (random.below(3) == 0).then(|| random.pick(&core));
                if let Some(down) = down {
                    checked.world.kill(down);
                    checked.disturb();
                    checked.run_with_changes(random.below(2_500));
                }
                let side = core.into_iter().filter(|_| random.below(2) == 0).collect();
                checked.world.split(&side);
                checked.disturb();
                if let Some(down) = down {
                    checked.run_with_changes(random.below(1_500));
                    checked.world.start_process(down, false);
                    checked.disturb();
                }
                checked.run_with_changes(3_000 + random.below(6_000));
                checked.heal();
            }
            2 => {
                let down = random.pick(&checked.core);
                checked.world.kill(down);
                checked.disturb();
                if random.below(2) == 0 {
                    checked.world.wipe_folder(down);
                }
                checked.run_with_changes(500 + random.below(6_000));
                checked.world.start_process(down, false);
                checked.disturb();
            }
            _ => {
                checked.world.restart_all();
                checked.disturb();
            }
        }
        checked.run_with_changes(CATCH_UP_MS);
        checked.check_recovery(&format!("round {round}"));
    }
}

/// Guards against declarations that most instances do not serve by, though they are acknowledged, in any
/// order of additions, splits and outages.
#[test]
fn most_instances_serve_by_acknowledged_declarations_in_random_histories() {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let seeds: Vec<u64> = match number("HYSSOPFORK_HISTORY") {
        Some(seed) => vec![seed],
        None => (1..=number("HYSSOPFORK_HISTORIES").unwrap_or(DEFAULT_HISTORIES))
            .chain(REGRESSION_SEEDS)
            .collect(),
    };
    let failed: Vec<u64> = seeds
        .into_iter()
        .filter(|seed| std::panic::catch_unwind(|| run_history(*seed)).is_err())
        .collect();
    assert!(failed.is_empty(), "seeds {failed:?} failed");
}
