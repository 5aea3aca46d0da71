//! Benchmark of a leader's reconciliation pass by the number of engines: while all groups form, when
//! nothing has changed, and after the loss of a member. Run by
//! `cargo bench -p hyssopfork-fleet --bench review`.

use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::{self, order};
use hyssopfork_fleet::{declaration, peer, publication, registry};
use hyssopfork_wire::{clock, name, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::{Duration, Instant};

/// Engines of one domain.
const DOMAIN_SIZE: u32 = 19;
/// Measured passes without a change.
const QUIET_PASSES: u32 = 50;
/// Measured losses of a member.
const LOSSES: u32 = 20;
/// Simulated time between two passes.
const PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Most passes until all groups serve.
const MAX_PASSES: u32 = 500;

fn declaration() -> declaration::Declaration {
    let model = |name: &str, size| declaration::Model {
        name: name::Model::from(name),
        size,
        share: 0.5,
        pace: 1.0,
        load: Duration::from_secs(10),
        warmup: Duration::from_secs(1),
    };
    let engine = declaration::Engine {
        slots: 28,
        models: vec![model("large", 8), model("small", 4)],
        loads_per_second: 32.0,
        loads_at_once: 47,
        formation: Duration::from_millis(300),
        performance: None,
    };
    let pool = declaration::Pool { connections: 100, cold: None, engine: Some(engine) };
    declaration::Declaration {
        version: 1,
        pools: [(name::Pool::from("engines"), pool)].into(),
        ..declaration::Declaration::default()
    }
}

fn announcement(number: u32) -> Announcement {
    let host = net::Ipv4Addr::from(0x0a10_0000 + number);
    Announcement {
        instance: name::Instance::new(format!("engine-{number:05}")),
        pool: name::Pool::from("engines"),
        address: net::SocketAddr::from((host, 8_000)),
        zone: name::Zone::new(format!("z{}", number / DOMAIN_SIZE % 5)),
        domain: name::Domain::new(format!("d{:04}", number / DOMAIN_SIZE)),
        slots: 28,
        draining: false,
        cold: Duration::ZERO,
        start_time_ms: 1,
        sequence: 1,
        loaded: None,
        staged: vec![name::Model::from("large"), name::Model::from("small")],
        membership: None,
    }
}

/// A leader and its engines, which carry out orders immediately.
struct Fleet {
    declaration: declaration::Declaration,
    registry: registry::Registry,
    groups: groups::Groups,
    board: publication::Publisher,
    engines: BTreeMap<name::Instance, Announcement>,
    now: clock::Instant,
}

impl Fleet {
    fn new(engines: u32) -> Fleet {
        let now = clock::Instant::from_millis(10_000);
        let mut fleet = Fleet {
            declaration: declaration(),
            registry: registry::Registry::new(Duration::from_secs(3_600)),
            groups: groups::Groups::new(now, number::Term(1), false),
            board: publication::Publisher::new(number::Term(1), None),
            engines: BTreeMap::new(),
            now,
        };
        for number in 0..engines {
            let announcement = announcement(number);
            fleet.engines.insert(announcement.instance.clone(), announcement.clone());
            fleet.registry.record_announcement(now, announcement);
        }
        fleet
    }

    /// Makes one pass with its publication; returns its duration and the number of its commands.
    fn reconcile(&mut self) -> (Duration, usize) {
        self.now = self.now + PASS_INTERVAL;
        let no_zones = BTreeSet::new();
        let start = Instant::now();
        let commands = self.groups.reconcile(
            self.now,
            &self.registry,
            &self.declaration,
            &BTreeSet::new(),
            &no_zones,
        );
        let upstreams = self.registry.published(self.now);
        self.board.publish(publication::FleetState::default(), upstreams, &self.groups.to_views());
        let elapsed = start.elapsed();
        let command_count = commands.len();
        for command in commands {
            self.carry_out(command);
        }
        (elapsed, command_count)
    }

    fn carry_out(&mut self, command: groups::Command) {
        match command {
            groups::Command::Order(order) => {
                self.handle_order(&order);
                let accepted = order::Outcome::Accepted;
                self.groups.on_order_outcome(order.id, accepted, &mut self.registry);
            }
            groups::Command::RequestReport(instance, _) => {
                let membership = self.engines[&instance].membership.clone();
                let report = order::Report { start_time_ms: None, accepted_orders: 0, membership };
                self.groups.on_report(self.now, &instance, &report, &mut self.registry);
            }
            _ => {}
        }
    }

    fn handle_order(&mut self, order: &order::Order) {
        let Some(announcement) = self.engines.get_mut(&order.instance) else { return };
        let membership = |rank: usize, state| Membership {
            group: order.group.clone(),
            epoch: order.epoch,
            rank: rank as u32,
            state,
        };
        match &order.task {
            order::Task::Join { model, members } => {
                let rank = members.iter().position(|it| *it == order.instance).unwrap_or(0);
                announcement.loaded = Some(model.clone());
                announcement.membership = Some(membership(rank, State::Ready));
            }
            order::Task::Open => announcement.membership = Some(membership(0, State::Open)),
            order::Task::Close => announcement.membership = Some(membership(0, State::Ready)),
            order::Task::Leave => announcement.membership = None,
            order::Task::Stage(model) => announcement.staged.push(model.clone()),
        }
        announcement.sequence += 1;
        let announcement = announcement.clone();
        self.registry.record_announcement(self.now, announcement);
    }

    fn count_serving_groups(&self) -> usize {
        self.groups.to_views().values().filter(|group| group.is_serving()).count()
    }
}

fn main() {
    println!("{:>8} {:>8} {:>14} {:>14} {:>14}", "engines", "groups", "forming", "quiet", "loss");
    for engines in [30, 300, 1_000, 3_000] {
        let mut fleet = Fleet::new(engines);
        let mut forming = Duration::ZERO;
        let mut idle_passes = 0;
        for _ in 0..MAX_PASSES {
            let (elapsed, command_count) = fleet.reconcile();
            forming += elapsed;
            idle_passes = if command_count == 0 { idle_passes + 1 } else { 0 };
            if idle_passes > 40 {
                break;
            }
        }
        let from = net::SocketAddr::from(([10, 0, 0, 1], 7_000));
        let evidence = peer::Evidence { traffic: true, ..peer::Evidence::default() };
        fleet.groups.on_evidence(fleet.now, from, &evidence);
        for _ in 0..MAX_PASSES {
            fleet.reconcile();
        }
        let quiet: Duration = (0..QUIET_PASSES).map(|_| fleet.reconcile().0).sum();
        let mut loss = Duration::ZERO;
        for number in 0..LOSSES {
            let lost = announcement(number * 7 % engines).instance;
            fleet.registry.mark_dead(&lost);
            loss += (0..5).map(|_| fleet.reconcile().0).sum::<Duration>();
        }
        println!(
            "{engines:>8} {:>8} {:>14?} {:>14?} {:>14?}",
            fleet.count_serving_groups(),
            forming,
            quiet / QUIET_PASSES,
            loss / LOSSES,
        );
    }
}
