//! Time that stands in for evidence: groups of sound engines beside changes of the leader and of links.

use crate::fixture;
use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::{self, order};
use hyssopfork_fleet::{declaration, peer, registry, view};
use hyssopfork_wire::{clock, name, number};
use std::collections::BTreeSet;
use std::time::Duration;

const EPOCH: u64 = 3 << 24;
const SIZE: u32 = 4;

/// A new leader and the engines of one group of an earlier leader.
struct Fleet {
    millis: u64,
    engines: Vec<Announcement>,
    registry: registry::Registry,
    groups: groups::Groups,
    declaration: declaration::Declaration,
    /// Engines that answer no probe and whose calls don't arrive.
    cut: BTreeSet<u32>,
    /// Orders that the leader has sent, and when.
    orders: Vec<(u64, name::Instance, order::Task)>,
}

fn engine(rank: u32, head: State) -> Announcement {
    Announcement {
        address: std::net::SocketAddr::from(([10, 1, 0, rank as u8 + 1], 8_000)),
        domain: name::Domain::from("d0"),
        loaded: Some(name::Model::from("large")),
        staged: vec![name::Model::from("large"), name::Model::from("small")],
        membership: Some(Membership {
            group: name::Group::from("g0"),
            epoch: EPOCH,
            rank,
            state: if rank == 0 { head } else { State::Ready },
        }),
        ..fixture::announcement(&format!("e{rank}"))
    }
}

impl Fleet {
    /// A leader that knows the group in `state` from a follower's view.
    fn new(state: view::GroupState, head: State) -> Fleet {
        let now = clock::Instant::from_millis(0);
        let mut declaration = fixture::declaration(fixture::FIRST_VERSION_WITH_LARGE_OF_FOUR);
        for pool in declaration.pools.values_mut() {
            let engine = pool.engine.as_mut().expect("the pool is one of engines");
            engine.models.retain(|model| model.size == SIZE);
        }
        let engines: Vec<Announcement> = (0..SIZE).map(|rank| engine(rank, head)).collect();
        let mut registry = registry::Registry::new(Duration::from_millis(2_760));
        for announcement in &engines {
            registry.adopt(
                now,
                view::Upstream {
                    announcement: announcement.clone(),
                    status: view::Status::Present,
                    last_model: None,
                    rate: None,
                },
            );
        }
        let mut groups = groups::Groups::new(now, number::Term(4), true);
        let known = view::Group {
            pool: engines[0].pool.clone(),
            model: name::Model::from("large"),
            members: engines.iter().map(|it| it.instance.clone()).collect(),
            epoch: EPOCH,
            state,
        };
        groups.adopt_from_follower(now, &name::Group::from("g0"), known, &registry);
        let (cut, orders) = (BTreeSet::new(), Vec::new());
        Fleet { millis: 0, engines, registry, groups, declaration, cut, orders }
    }

    fn now(&self) -> clock::Instant {
        clock::Instant::from_millis(self.millis)
    }

    /// Lets the engine call, unless it is cut off.
    fn call(&mut self, rank: u32) {
        let now = self.now();
        let engine = &mut self.engines[rank as usize];
        engine.sequence += 1;
        if !self.cut.contains(&rank) {
            let _outcome = self.registry.record_announcement(now, engine.clone());
        }
    }

    fn handle(&mut self, commands: Vec<groups::Command>) {
        for command in commands {
            match command {
                groups::Command::Order(order) => {
                    self.orders.push((self.millis, order.instance, order.task));
                }
                groups::Command::Probe(instance, ..) => {
                    let rank = self.engines.iter().position(|it| it.instance == instance);
                    let is_cut = rank.is_some_and(|rank| self.cut.contains(&(rank as u32)));
                    let result = match is_cut {
                        true => order::Liveness::TimedOut,
                        false => order::Liveness::Alive,
                    };
                    let at = clock::Instant::from_millis(self.millis + 80);
                    let next =
                        self.groups.on_probe_result(at, &instance, result, &mut self.registry);
                    self.handle(next);
                }
                groups::Command::RequestReport(instance, _) => {
                    let rank = self.engines.iter().position(|it| it.instance == instance);
                    let Some(rank) = rank.filter(|rank| !self.cut.contains(&(*rank as u32))) else {
                        continue;
                    };
                    let membership = self.engines[rank].membership.clone();
                    let report =
                        order::Report { start_time_ms: None, accepted_orders: 5, membership };
                    let now = self.now();
                    let next = self.groups.on_report(now, &instance, &report, &mut self.registry);
                    self.handle(next);
                }
                _ => {}
            }
        }
    }

    /// Advances time; engines call every 1.2 s.
    fn run(&mut self, millis: u64) {
        let end = self.millis + millis;
        while self.millis < end {
            if self.millis.is_multiple_of(1_200) {
                (0..SIZE).for_each(|rank| self.call(rank));
            }
            self.review();
            self.millis += 100;
        }
    }

    fn review(&mut self) {
        let (peers, zones) = (BTreeSet::new(), BTreeSet::new());
        let now = self.now();
        let commands =
            self.groups.reconcile(now, &self.registry, &self.declaration, &peers, &zones);
        self.handle(commands);
    }

    fn report(&mut self, host: u16, busy: &[&str], stalled: &[&str]) {
        let named = |names: &[&str]| names.iter().map(|it| name::Instance::from(*it)).collect();
        let evidence = peer::Evidence {
            traffic: true,
            busy: named(busy),
            stalled: named(stalled),
            ..peer::Evidence::default()
        };
        self.groups.on_evidence(self.now(), fixture::address(host), &evidence);
    }

    fn disturbing_orders(&self) -> Vec<&(u64, name::Instance, order::Task)> {
        let disturbs = |task: &order::Task| matches!(task, order::Task::Leave | order::Task::Close);
        self.orders.iter().filter(|(.., task)| disturbs(task)).collect()
    }

    fn state(&self) -> Option<view::GroupState> {
        self.groups.to_views().get(&name::Group::from("g0")).map(|group| group.state)
    }
}

/// Guards against a new leader that aborts the requests of a group which the leader before was closing.
#[test]
fn a_closing_group_that_followers_know_finishes_its_requests() {
    let mut fleet = Fleet::new(view::GroupState::Closing, State::Closing);

    fleet.run(4_000);

    assert_eq!(fleet.disturbing_orders(), Vec::<&(u64, name::Instance, order::Task)>::new());
}

/// Guards against members that are ordered out of an open group because control was cut off from it for
/// longer than the stall timeout. The platform breaks a group whose member is cut off from its head.
#[test]
fn an_open_group_that_only_control_was_cut_off_from_goes_on() {
    assert_goes_on_after_cut(12_000);
}

/// Guards against a harness that disturbs the group by itself.
#[test]
fn an_open_group_that_control_was_cut_off_from_for_less_than_the_stall_timeout_goes_on() {
    assert_goes_on_after_cut(3_600);
}

fn assert_goes_on_after_cut(millis: u64) {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Open);
    fleet.run(3_000);
    fleet.cut = (0..SIZE).collect();
    fleet.run(millis);

    fleet.cut.clear();
    for rank in 0..SIZE {
        fleet.call(rank);
        fleet.review();
        fleet.millis += 100;
        fleet.review();
    }
    fleet.run(2_400);

    assert_eq!(fleet.disturbing_orders(), Vec::<&(u64, name::Instance, order::Task)>::new());
    assert_eq!(fleet.state(), Some(view::GroupState::Serving));
}

/// Guards against requests that are sent to a group whose head the leader has closed meanwhile.
#[test]
fn a_suspended_group_whose_head_is_closing_does_not_serve() {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Open);
    fleet.run(1_200);
    fleet.cut = [1].into();
    for _ in 0..25 {
        fleet.report(1, &[], &["e0"]);
        fleet.run(100);
    }
    let close = fleet.disturbing_orders().iter().any(|(.., task)| *task == order::Task::Close);
    assert!(close, "the head is ordered to close: {:?} {:?}", fleet.state(), fleet.orders);
    // A request arrived before the order, so the head finishes it first.
    fleet.engines[0].membership.as_mut().expect("it is a member").state = State::Closing;
    fleet.call(0);

    fleet.cut.clear();
    fleet.call(1);
    fleet.report(1, &["e0"], &[]);
    fleet.run(300);

    assert_ne!(fleet.state(), Some(view::GroupState::Serving));
}

/// Guards against a head that is closed although an entry, cut off from the leader, has requests there.
#[test]
fn a_suspended_group_with_requests_of_an_entry_that_is_cut_off_is_not_closed() {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Open);
    fleet.run(1_200);
    fleet.report(2, &["e0"], &["e0"]);
    fleet.cut = [1].into();
    for _ in 0..30 {
        fleet.report(1, &[], &[]);
        fleet.run(100);
    }

    assert_eq!(fleet.disturbing_orders(), Vec::<&(u64, name::Instance, order::Task)>::new());
}

/// Guards against a refused order that is forgotten because the engine has just answered a probe.
#[test]
fn an_engine_that_refuses_an_order_is_probed() {
    use hyssopfork_fleet::groups::failure_detector::Detector;
    let instance = name::Instance::from("e0");
    let mut detector = Detector::default();
    assert!(detector.start_probe(fixture::at(0), &instance, &BTreeSet::new()));
    detector.on_probe_result(fixture::at(50), &instance, order::Liveness::Alive);
    detector.suspect(&instance);

    let is_probed = (1..=5).any(|pass| {
        let now = fixture::at(pass * 100);
        let suspects: Vec<_> = detector.suspects().cloned().collect();
        suspects.iter().any(|it| detector.start_probe(now, it, &BTreeSet::new()))
    });

    assert!(is_probed);
}

/// Guards against a group that gets requests although one of its members is unreachable, because the new
/// leader has not heard of that member's membership yet.
#[test]
fn a_group_with_an_unresponsive_member_that_has_not_called_is_suspended() {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Open);
    let mut stale = fleet.engines[1].clone();
    stale.membership = None;
    let now = fleet.now();
    fleet.registry = registry::Registry::new(Duration::from_millis(2_760));
    for announcement in [&fleet.engines[0], &stale, &fleet.engines[2], &fleet.engines[3]] {
        let upstream = view::Upstream {
            announcement: announcement.clone(),
            status: view::Status::Present,
            last_model: None,
            rate: None,
        };
        fleet.registry.adopt(now, upstream);
    }
    fleet.cut = [1].into();
    for _ in 0..20 {
        fleet.report(1, &["e0"], &["e0"]);
        fleet.run(100);
    }

    assert_eq!(fleet.state(), Some(view::GroupState::Suspended));
}

/// Guards against an upstream that counts as dead later than the stall timeout and a round of probes.
#[test]
fn a_dark_upstream_is_dead_soon_after_the_stall_timeout() {
    use hyssopfork_fleet::groups::failure_detector::{Detector, Verdict};
    let instance = name::Instance::from("e0");
    let mut detector = Detector::new(Duration::from_secs(5));
    let mut probes = 0;
    let mut dead_at = None;
    for millis in (0..12_000).step_by(100) {
        let now = fixture::at(millis);
        if detector.start_probe(now, &instance, &BTreeSet::new()) {
            probes += 1;
            for offset in [80, 160, 240] {
                let at = fixture::at(millis + offset);
                match detector.on_probe_result(at, &instance, order::Liveness::TimedOut) {
                    Verdict::Unresponsive => detector.on_unresponsive(at, &instance),
                    Verdict::Dead => dead_at = dead_at.or(Some(millis + offset)),
                    Verdict::ProbeAgain => continue,
                    _ => {}
                }
                break;
            }
        }
    }

    let dead_at = dead_at.expect("it is dead");
    assert!(dead_at <= 5_240 + 400, "dead after {dead_at} ms, {probes} probes");
}

/// Guards against stall reports of an entry that has died since, on which a sound group is ended.
#[test]
fn an_idle_group_is_not_ended_by_a_report_of_an_entry_that_is_gone() {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Open);
    fleet.registry = registry::Registry::new(Duration::from_millis(2_760));
    fleet.groups = groups::Groups::new(fleet.now(), number::Term(4), true);
    // Only the calls of the last member don't arrive. The head calls throughout and is open.
    fleet.cut = [3].into();
    fleet.run(1_000);
    fleet.report(2, &["e0"], &["e0"]);
    for _ in 0..140 {
        fleet.report(1, &[], &[]);
        fleet.run(100);
    }

    assert_eq!(fleet.disturbing_orders(), Vec::<&(u64, name::Instance, order::Task)>::new());
}

/// Guards against a head that joins another group while it opens its own, for `FormationMs`, by an order
/// of a leader that was cut off: its report counts that order already and still shows it as ready.
#[test]
fn a_head_that_may_be_opening_joins_no_other_group() {
    let mut fleet = Fleet::new(view::GroupState::Serving, State::Ready);
    fleet.registry = registry::Registry::new(Duration::from_millis(2_760));
    fleet.groups = groups::Groups::new(fleet.now(), number::Term(4), true);
    (1..SIZE as usize).for_each(|rank| fleet.engines[rank].membership = None);

    fleet.run(1_200);

    let joins = |(_, instance, task): &&(u64, name::Instance, order::Task)| {
        *instance == name::Instance::from("e0") && matches!(task, order::Task::Join { .. })
    };
    assert_eq!(fleet.orders.iter().filter(joins).collect::<Vec<_>>().len(), 0);
}
