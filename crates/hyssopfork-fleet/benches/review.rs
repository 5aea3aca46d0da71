//! What a leader's review costs, by the number of engines: while all groups form, when nothing has
//! changed, and after the loss of a member. Run by `cargo bench -p hyssopfork-fleet --bench review`.

use hyssopfork_fleet::announcement::{Announcement, Membership, State};
use hyssopfork_fleet::groups::{self, order};
use hyssopfork_fleet::{declaration, peer, publication, registry};
use hyssopfork_wire::{clock, name, number};
use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::{Duration, Instant};

const DOMAIN: u32 = 19;
const QUIET_REVIEWS: u32 = 50;
const LOSSES: u32 = 20;
const PAUSE: Duration = Duration::from_millis(20);
/// Longest simulated time until all groups serve.
const MAX_REVIEWS: u32 = 500;

fn declared() -> declaration::Declaration {
    let model = |name: &str, size| declaration::Model {
        name: name::Model::from(name),
        size,
        share: 0.5,
        load: Duration::from_secs(10),
        warmup: Duration::from_secs(1),
    };
    let engine = declaration::Engine {
        slots: 28,
        models: vec![model("large", 8), model("small", 4)],
        loads_per_second: 32.0,
        loads_at_once: 47,
        formation: Duration::from_millis(300),
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
        zone: name::Zone::new(format!("z{}", number / DOMAIN % 5)),
        domain: name::Domain::new(format!("d{:04}", number / DOMAIN)),
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

/// A leader and its engines, which carry out orders at once.
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
            declaration: declared(),
            registry: registry::Registry::new(Duration::from_secs(3_600)),
            groups: groups::Groups::new(now, number::Term(1), false),
            board: publication::Publisher::new(number::Term(1), None),
            engines: BTreeMap::new(),
            now,
        };
        for number in 0..engines {
            let told = announcement(number);
            fleet.engines.insert(told.instance.clone(), told.clone());
            fleet.registry.record_announcement(now, told);
        }
        fleet
    }

    /// One review with its publication; its time and how many orders it gave.
    fn review(&mut self) -> (Duration, usize) {
        self.now = self.now + PAUSE;
        let nowhere = BTreeSet::new();
        let began = Instant::now();
        let commands = self.groups.look(
            self.now,
            &self.registry,
            &self.declaration,
            &BTreeSet::new(),
            &nowhere,
        );
        let upstreams = self.registry.published(self.now);
        self.board.publish(publication::FleetState::default(), upstreams, &self.groups.published());
        let spent = began.elapsed();
        let orders = commands.len();
        for command in commands {
            self.carry_out(command);
        }
        (spent, orders)
    }

    fn carry_out(&mut self, command: groups::Command) {
        match command {
            groups::Command::Order(order) => {
                self.obey(&order);
                let accepted = order::Outcome::Accepted;
                self.groups.ordered(order.ticket, accepted, &mut self.registry);
            }
            groups::Command::Ask(instance, _) => {
                let membership = self.engines[&instance].membership.clone();
                let report = order::Report { orders: 0, membership };
                self.groups.reported(self.now, &instance, &report, &mut self.registry);
            }
            _ => {}
        }
    }

    fn obey(&mut self, order: &order::Order) {
        let Some(told) = self.engines.get_mut(&order.instance) else { return };
        let member = |rank: usize, state| Membership {
            group: order.group.clone(),
            epoch: order.epoch,
            rank: rank as u32,
            state,
        };
        match &order.task {
            order::Task::Join { model, members } => {
                let rank = members.iter().position(|it| *it == order.instance).unwrap_or(0);
                told.loaded = Some(model.clone());
                told.membership = Some(member(rank, State::Ready));
            }
            order::Task::Open => told.membership = Some(member(0, State::Open)),
            order::Task::Close => told.membership = Some(member(0, State::Ready)),
            order::Task::Leave => told.membership = None,
            order::Task::Stage(model) => told.staged.push(model.clone()),
        }
        told.sequence += 1;
        let told = told.clone();
        self.registry.record_announcement(self.now, told);
    }

    fn serving(&self) -> usize {
        self.groups.published().values().filter(|group| group.serving).count()
    }
}

fn main() {
    println!("{:>8} {:>8} {:>14} {:>14} {:>14}", "engines", "groups", "forming", "quiet", "loss");
    for engines in [30, 300, 1_000, 3_000] {
        let mut fleet = Fleet::new(engines);
        let mut forming = Duration::ZERO;
        let mut idle = 0;
        for _ in 0..MAX_REVIEWS {
            let (spent, orders) = fleet.review();
            forming += spent;
            idle = if orders == 0 { idle + 1 } else { 0 };
            if idle > 40 {
                break;
            }
        }
        let from = net::SocketAddr::from(([10, 0, 0, 1], 7_000));
        let evidence = peer::Evidence { traffic: true, ..peer::Evidence::default() };
        fleet.groups.saw(fleet.now, from, &evidence);
        for _ in 0..MAX_REVIEWS {
            fleet.review();
        }
        let quiet: Duration = (0..QUIET_REVIEWS).map(|_| fleet.review().0).sum();
        let mut loss = Duration::ZERO;
        for number in 0..LOSSES {
            let lost = announcement(number * 7 % engines).instance;
            fleet.registry.mark_dead(&lost);
            loss += (0..5).map(|_| fleet.review().0).sum::<Duration>();
        }
        println!(
            "{engines:>8} {:>8} {:>14?} {:>14?} {:>14?}",
            fleet.serving(),
            forming,
            quiet / QUIET_REVIEWS,
            loss / LOSSES,
        );
    }
}
