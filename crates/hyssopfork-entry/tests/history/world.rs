//! The loop: true time, processes with clocks of their own, and a network that loses, doubles,
//! delays and reorders.

use crate::{callers, control, shell, upstream};
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{
    attempt, clock, configuration, control as calls, member, name, number, timing,
};
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

pub const MILLI: u64 = 1_000;
pub const ENGINES: usize = 6;
pub const AGENTS: usize = 10;
pub const ENTRIES: usize = 2;

/// Repeated, the hash of the team's only token.
pub const TOKEN: &str = "ab";

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Agent(usize),
    Entry(usize),
    Control,
}

/// State of a process that its cores don't know.
#[derive(Clone, Debug)]
pub struct Process {
    pub life: u32,
    pub up: bool,
    pub paused_until: u64,
    /// Rate of its clock in thousandths; any two differ by less than a hundredth.
    rate: u64,
    offset: u64,
}

impl Process {
    pub fn clock(&self, now: u64) -> clock::Instant {
        clock::Instant::from_micros(self.offset + now * self.rate / 1_000)
    }
}

/// What happens next.
#[derive(Clone, Debug)]
pub enum Happening {
    TickAgent(usize),
    TickEntry(usize),
    Agent(usize, agent::event::Event),
    Entry(usize, entry::event::Event),
    Call { from: Node, call: u64, request: calls::Request },
    Stand { from: usize, call: u64, to: usize, request: member::Request },
    Offer { entry: usize, to: usize, offer: attempt::Offer, stream: bool },
    Frame { entry: usize, attempt: attempt::Identifier, index: usize, frame: shell::Frame },
    Cancel { entry: usize, to: usize, attempt: attempt::Identifier, boot: u64 },
    Reconnect { entry: usize, attempt: attempt::Identifier },
    Probe(usize),
    Work { at: usize, life: u32, attempt: attempt::Identifier, part: usize },
    Load { at: usize, fence: number::Fence },
    Rise(usize),
    Restart(Node),
    Manage,
    Fault,
    ZoneIn(name::Zone),
    Arrive,
    Gone { entry: usize, request: u64 },
}

/// A happening that is to come; dropped when the process it is for lives no more.
struct Planned {
    receiver: Option<(Node, u32)>,
    happening: Happening,
}

/// A watch that control holds until its view has moved past `have`.
pub struct Watch {
    pub node: Node,
    pub life: u32,
    pub call: u64,
    pub have: hyssopfork_wire::number::Version,
    pub request: hyssopfork_wire::control::Request,
}

pub struct World {
    pub now: u64,
    pub random: rand_chacha::ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Planned>,
    sequence: u64,
    pub agents: Vec<agent::core::Core>,
    pub entries: Vec<entry::core::Core>,
    pub processes: BTreeMap<Node, Process>,
    pub upstreams: Vec<upstream::Upstream>,
    pub control: control::Control,
    pub watches: Vec<Watch>,
    pub callers: callers::Callers,
    pub shells: Vec<shell::Agent>,
    pub connections: Vec<BTreeMap<attempt::Identifier, shell::Connection>>,
    pub cuts: BTreeMap<(Node, Node), u64>,
    pub boots: u64,
    pub requests: u64,
    pub quiet: bool,
    /// Members of every placement that there was, by fencing number.
    pub placements: BTreeMap<number::Fence, Vec<name::Instance>>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut processes = BTreeMap::new();
        let agents = (0..AGENTS).map(Node::Agent);
        for node in agents.chain((0..ENTRIES).map(Node::Entry)) {
            let rate = random.random_range(995..=1_004);
            let offset = random.random_range(0..1_000_000_000);
            processes.insert(node, Process { life: 0, up: false, paused_until: 0, rate, offset });
        }
        let service = |index: usize| index >= ENGINES;
        let upstreams = (0..AGENTS)
            .map(|index| upstream::Upstream::new(!service(index), index % 2 == 0))
            .collect();
        let mut world = World {
            now: 0,
            random,
            queue: BTreeMap::new(),
            sequence: 0,
            agents: Vec::new(),
            entries: Vec::new(),
            processes,
            upstreams,
            control: control::Control::new(declared()),
            watches: Vec::new(),
            callers: callers::Callers::default(),
            shells: (0..AGENTS).map(|_| shell::Agent::default()).collect(),
            connections: vec![BTreeMap::new(); ENTRIES],
            cuts: BTreeMap::new(),
            boots: seed << 20,
            requests: 0,
            quiet: false,
            placements: BTreeMap::new(),
        };
        (0..AGENTS).for_each(|index| world.start(Node::Agent(index)));
        (0..ENTRIES).for_each(|index| world.start(Node::Entry(index)));
        world.after(0, Happening::Manage);
        world.after(3_000 * MILLI, Happening::Fault);
        world.after(1_500 * MILLI, Happening::Arrive);
        world
    }

    /// Runs for `span` microseconds of true time.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((at, sequence), planned) = first.remove_entry();
            self.now = at;
            self.happen(sequence, planned.receiver, planned.happening);
        }
        self.now = end;
    }

    /// Starts a process, or the next one at the same addresses.
    pub fn start(&mut self, node: Node) {
        let process = self.processes.get_mut(&node).expect("all processes are known");
        process.life += 1;
        process.up = true;
        process.paused_until = 0;
        let now = process.clock(self.now);
        self.boots += 1;
        let seed = self.random.random();
        match node {
            Node::Agent(index) => {
                let core = agent::core::Core::new(self.agent_settings(index), seed, now);
                put(&mut self.agents, index, core);
                self.shells[index] = shell::Agent::default();
                self.at_node(node, 0, Happening::TickAgent(index));
                self.at_node(node, 0, Happening::Probe(index));
            }
            Node::Entry(index) => {
                let core = entry::core::Core::new(self.entry_settings(index), seed, now);
                put(&mut self.entries, index, core);
                self.connections[index].clear();
                self.at_node(node, 0, Happening::TickEntry(index));
            }
            Node::Control => {}
        }
    }

    /// Puts a happening into the future, whoever lives then.
    pub fn after(&mut self, delay: u64, happening: Happening) {
        self.push(delay, None, happening);
    }

    /// Puts a happening into the future of the process that lives at `node` now.
    pub fn at_node(&mut self, node: Node, delay: u64, happening: Happening) {
        let life = self.life(node);
        self.push(delay, Some((node, life)), happening);
    }

    /// As [`World::at_node`], for a given life of it.
    pub fn at_life(&mut self, node: Node, life: u32, delay: u64, happening: Happening) {
        self.push(delay, Some((node, life)), happening);
    }

    pub fn life(&self, node: Node) -> u32 {
        self.processes.get(&node).map_or(0, |process| process.life)
    }

    /// Time that a message takes from one process to another; `None` when it is lost.
    pub fn travel(&mut self, from: Node, to: Node) -> Option<u64> {
        if self.is_cut(from, to) || (!self.quiet && self.random.random_ratio(1, 50)) {
            return None;
        }
        let slow = !self.quiet && self.random.random_ratio(1, 30);
        let most = if slow { 900 * MILLI } else { 3 * MILLI };
        Some(self.random.random_range(200..most))
    }

    pub fn is_cut(&self, from: Node, to: Node) -> bool {
        let pair = (from.min(to), from.max(to));
        self.cuts.get(&pair).is_some_and(|until| *until > self.now)
    }

    fn push(&mut self, delay: u64, receiver: Option<(Node, u32)>, happening: Happening) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), Planned { receiver, happening });
    }

    fn happen(&mut self, sequence: u64, receiver: Option<(Node, u32)>, happening: Happening) {
        if let Some((node, life)) = receiver
            && let Some(process) = self.processes.get(&node)
        {
            if process.life != life || !process.up {
                return;
            }
            if process.paused_until > self.now {
                // What waited keeps its order.
                let at = (process.paused_until, sequence);
                self.queue.insert(at, Planned { receiver, happening });
                return;
            }
        }
        self.carry(happening);
    }

    fn agent_settings(&self, index: usize) -> agent::core::Settings {
        let announcement = shell::announcement(index, self.boots, &self.upstreams[index]);
        let control = vec![shell::address(1)];
        agent::core::Settings { announcement, control, stop_limit: timing::STOP_TIMEOUT }
    }

    fn entry_settings(&self, index: usize) -> entry::core::Settings {
        entry::core::Settings {
            instance: format!("entry-{index}").as_str().into(),
            zone: "zone-a".into(),
            control: vec![shell::address(1)],
            boot: self.boots,
            stop_limit: std::time::Duration::from_secs(10),
        }
    }
}

fn put<T>(list: &mut Vec<T>, index: usize, value: T) {
    if index < list.len() {
        list[index] = value;
    } else {
        list.push(value);
    }
}

fn declared() -> configuration::Configuration {
    let json = r#"{
        "zones": {"zone-a": {}, "zone-b": {}},
        "pools": {"engines": {"kind": "engine"}, "desk": {"kind": "service"}},
        "groups": {
            "g1": {"pool": "engines", "model": "m", "size": 2},
            "g2": {"pool": "engines", "model": "m", "size": 2}
        },
        "routes": {
            "write": {"prefix": "/write", "pool": "engines", "class": "interactive",
                      "repeatable": true, "deadline_ms": 4000},
            "once": {"prefix": "/once", "pool": "engines", "class": "batch",
                     "deadline_ms": 3000},
            "lodge": {"prefix": "/lodge", "pool": "desk", "class": "status",
                      "deadline_ms": 3000}
        },
        "teams": {"clerks": {"token_sha256": ["TOKEN"]}}
    }"#;
    serde_json::from_str(&json.replace("TOKEN", &TOKEN.repeat(32)))
        .expect("the declaration is well-formed")
}

impl World {
    /// Ends all faults: links join, paused processes go on, zones are in, everybody is up.
    pub fn calm(&mut self) {
        self.quiet = true;
        self.cuts.clear();
        for zone in ["zone-a", "zone-b"] {
            self.control.set_zone(self.now, &zone.into(), false);
        }
    }
}

impl World {
    /// Runs for `span` while callers ask the entries that are up.
    pub fn serve(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let route = ["/write", "/once", "/lodge"][self.random.random_range(0..3)];
            let entry = self.random.random_range(0..ENTRIES);
            if self.processes[&Node::Entry(entry)].up {
                self.ask(entry, route, None);
            }
            self.run(20 * MILLI);
        }
    }

    /// First members of the two groups.
    pub fn first_members(&self) -> Vec<usize> {
        let placements = self.control.view().placements.values();
        placements.map(|placement| index(&placement.members[0])).collect()
    }

    /// A member that is not the first of its group.
    pub fn other_member(&self) -> usize {
        let placement = self.control.view().placements.values().next();
        index(&placement.expect("groups are placed").members[1])
    }
}

fn index(instance: &name::Instance) -> usize {
    instance.as_str()[1..].parse().expect("instances are numbered")
}
