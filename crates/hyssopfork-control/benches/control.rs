//! Cost of a leader's operations (renewals, watches, presence checks and plans) in microseconds and
//! bytes, by the number of agents. Run by `cargo bench -p hyssopfork-control`.

use hyssopfork_consensus::node;
use hyssopfork_control::{action, core, event};
use hyssopfork_state::machine;
use hyssopfork_wire::{
    clock, configuration, consensus, control, fleet, name, number, patch, timing,
};
use std::collections::BTreeMap;
use std::net;
use std::time::{Duration, Instant};

/// Members of a group, as at the planned size.
const GROUP_SIZE: u32 = 8;

/// Concurrent weight loads: eight groups in each round of renewals.
const MAX_CONCURRENT_LOADS: u32 = 64;

/// Limit on the rounds of renewals while groups are placed, so that the run ends.
const MAX_ROUNDS: u32 = 40;

/// A leader that is a quorum by itself, without a disk.
struct Leader {
    core: core::Core,
    now: clock::Instant,
    calls: u64,
    replies: Vec<control::Response>,
}

impl Leader {
    fn new() -> Leader {
        let now = clock::Instant::from_millis(1_000);
        let instance = name::Instance::from("c1");
        let identity = consensus::Voter { instance: instance.clone(), folder: 1 };
        let settings = node::Settings { voters: vec![instance.clone()], ..Default::default() };
        let node = node::Node::new(identity, node::Durable::default(), settings, 1, now);
        let mut settings = core::Settings::new(instance, BTreeMap::new());
        settings.max_concurrent_loads = MAX_CONCURRENT_LOADS;
        let core = core::Core::new(settings, node, machine::Machine::new(), now);
        let mut leader = Leader { core, now, calls: 0, replies: Vec::new() };
        leader.advance(Duration::from_secs(3));
        leader
    }

    fn step(&mut self, event: event::Event) {
        for action in self.core.step(self.now, event) {
            match action {
                action::Action::Persist(write) => self.step(event::Event::Persisted(write.number)),
                action::Action::Reply { response, .. } => self.replies.push(response),
                _ => {}
            }
        }
    }

    /// Lets time pass with ticks, and returns the duration of the longest one.
    fn advance(&mut self, time: Duration) -> Duration {
        let until = self.now + time;
        let mut longest = Duration::ZERO;
        while self.now < until {
            self.now = self.now + action::TICK_INTERVAL;
            let start = Instant::now();
            self.step(event::Event::Tick);
            longest = longest.max(start.elapsed());
        }
        longest
    }

    fn call(&mut self, request: control::Request) {
        self.calls += 1;
        self.step(event::Event::Request { call: self.calls, request });
    }

    fn submit(&mut self, operations: Vec<patch::Operation>) {
        let identifier = patch::Identifier(format!("patch-{}", self.calls));
        let base = self.core.machine().view().configuration.number;
        let patch = patch::Patch { identifier, base, author: "desk".into(), operations };
        self.call(control::Request::Submit(patch));
    }

    fn version(&self) -> number::Version {
        self.core.machine().view().version
    }

    /// Lets agents renew; their engines have loaded the models of their placements by then.
    fn renew(&mut self, agents: impl IntoIterator<Item = u32>) {
        let mut joined: BTreeMap<name::Instance, number::Fence> = BTreeMap::new();
        for placement in self.core.machine().view().placements.values() {
            joined.extend(placement.members.iter().map(|it| (it.clone(), placement.fence)));
        }
        for count in agents {
            let announcement = announcement(count);
            let joined = joined.get(&announcement.instance).copied().unwrap_or_default();
            let report = fleet::Report { alive: true, joined, ..Default::default() };
            let holder = control::Holder::Agent(Box::new(announcement), report);
            let version = self.version();
            self.call(control::Request::Renew(control::Renewal {
                holder,
                version,
                leaving: false,
            }));
        }
    }
}

fn main() {
    for agents in [30, 600, 4_800] {
        measure(agents);
    }
}

fn measure(agents: u32) {
    println!("{agents} agents, {} groups of {GROUP_SIZE}", agents / 16);
    let mut leader = Leader::new();
    leader.submit(vec![patch::Operation::Declare(Box::new(declaration(agents)))]);
    let start = Instant::now();
    leader.renew(0..agents);
    report("announce and first lease, each", start.elapsed(), agents);

    let mut planning = Duration::ZERO;
    for _ in 0..(agents / 16).min(MAX_ROUNDS) + 4 {
        leader.renew(0..agents);
        planning = planning.max(leader.advance(timing::RENEWAL_INTERVAL));
    }
    let placed = leader.core.machine().view().placements.len();
    println!("  groups placed                  {placed:>10}");
    report("longest tick while placing", planning, 1);

    leader.replies.clear();
    let start = Instant::now();
    leader.renew(0..agents);
    report("renewal, each", start.elapsed(), agents);
    let bytes = |response: &control::Response| bincode::serialized_size(response).unwrap_or(0);
    println!("  lease without news             {:>10} bytes", bytes(&leader.replies[0]));
    let holder = control::Holder::Agent(Box::new(announcement(1)), fleet::Report::default());
    let renewal = control::Renewal { holder, version: leader.version(), leaving: false };
    let request_bytes = bincode::serialized_size(&control::Request::Renew(renewal)).unwrap_or(0);
    println!("  renewal asked for              {request_bytes:>10} bytes");
    report("longest tick when nothing changes", leader.advance(timing::RENEWAL_INTERVAL), 1);

    let mut repairing = Duration::ZERO;
    for _ in 0..8 {
        leader.renew((0..agents).filter(|count| count / 16 % 15 != 0));
        repairing = repairing.max(leader.advance(timing::RENEWAL_INTERVAL));
    }
    report("longest tick with a zone dark", repairing, 1);

    let version = leader.version();
    (0..agents).for_each(|_| leader.call(control::Request::Watch(version)));
    leader.replies.clear();
    let start = Instant::now();
    leader.submit(vec![patch::Operation::SetDrained("instance-00001".into(), true)]);
    report("patch and its answer to every watch", start.elapsed(), 1);
    println!("  one watch's answer             {:>10} bytes", bytes(&leader.replies[1]));

    let holder = control::Holder::Entry("entry".into());
    let renewal = control::Renewal { holder, version: number::Version(0), leaving: false };
    let start = Instant::now();
    leader.call(control::Request::Renew(renewal));
    report("whole view for one holder", start.elapsed(), 1);
}

fn report(label: &str, time: Duration, count: u32) {
    println!("  {label:<34} {:>8.1} us", time.as_secs_f64() * 1e6 / f64::from(count));
}

fn declaration(agents: u32) -> configuration::Configuration {
    let mut declared = configuration::Configuration::default();
    for zone in 0..15 {
        declared.zones.insert(name::Zone::new(format!("zone-{zone}")), Default::default());
    }
    let pool = configuration::Pool { kind: configuration::Kind::Engine, zones: Default::default() };
    declared.pools.insert("engines".into(), pool);
    for count in 0..agents / 16 {
        let group = configuration::Group {
            pool: "engines".into(),
            model: "model".into(),
            size: GROUP_SIZE,
            priority: 1,
        };
        declared.groups.insert(name::Group::new(format!("group-{count:04}")), group);
    }
    declared
}

fn announcement(count: u32) -> fleet::Announcement {
    let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
    let domain = count / 16;
    fleet::Announcement {
        instance: name::Instance::new(format!("instance-{count:05}")),
        zone: name::Zone::new(format!("zone-{}", domain % 15)),
        domain: name::Domain::new(format!("domain-{domain:04}")),
        pool: "engines".into(),
        traffic: address,
        peer: address,
        profile: fleet::Profile {
            kind: configuration::Kind::Engine,
            checks_fence: true,
            resumes: true,
            cancels: true,
            accelerators: 4,
            concurrency: 16,
        },
        boot: 1,
    }
}
