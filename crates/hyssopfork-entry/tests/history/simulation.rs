//! Event loop of the simulation: true time, processes with clocks of their own, and a network that
//! loses, duplicates, delays and reorders messages.

use crate::{clients, control, shell, upstream};
use hyssopfork_agent as agent;
use hyssopfork_entry as entry;
use hyssopfork_wire::{
    attempt, clock, configuration, control as calls, member, name, number, timing,
};
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Microseconds per millisecond.
pub const MILLIS: u64 = 1_000;
pub const ENGINES: usize = 6;
pub const AGENTS: usize = 10;
pub const ENTRIES: usize = 2;

/// Unit that, repeated, forms the hash of the team's only token.
pub const TOKEN: &str = "ab";

/// A process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Agent(usize),
    Entry(usize),
    Control,
}

/// State of a process outside its core.
#[derive(Clone, Debug)]
pub struct Process {
    pub incarnation: u32,
    pub up: bool,
    pub paused_until: u64,
    /// Rate of its clock in thousandths; any two rates differ by less than a hundredth.
    rate: u64,
    offset: u64,
}

impl Process {
    pub fn clock(&self, now: u64) -> clock::Instant {
        clock::Instant::from_micros(self.offset + now * self.rate / 1_000)
    }
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum Event {
    TickAgent(usize),
    TickEntry(usize),
    Agent(usize, agent::event::Event),
    Entry(usize, entry::event::Event),
    Call { from: Node, call: u64, request: calls::Request },
    GrantRequest { from: usize, call: u64, to: usize, request: member::Request },
    Offer { entry: usize, to: usize, offer: attempt::Offer, stream: bool },
    Frame { entry: usize, attempt: attempt::Identifier, index: usize, frame: shell::Frame },
    Cancel { entry: usize, to: usize, attempt: attempt::Identifier, boot: u64 },
    Reconnect { entry: usize, attempt: attempt::Identifier },
    Probe(usize),
    SendPart { at: usize, incarnation: u32, attempt: attempt::Identifier, part: usize },
    LoadModel { at: usize, fence: number::Fence },
    RestartUpstream(usize),
    Restart(Node),
    Reconcile,
    InjectFault,
    ZoneIn(name::Zone),
    SendRequest,
    DisconnectClient { entry: usize, request: u64 },
}

/// A scheduled event; dropped if its receiver is no longer the same process.
struct Scheduled {
    receiver: Option<(Node, u32)>,
    event: Event,
}

/// A watch held by control until its view is newer than `version`.
pub struct HeldWatch {
    pub node: Node,
    pub incarnation: u32,
    pub call: u64,
    pub version: hyssopfork_wire::number::Version,
    pub request: hyssopfork_wire::control::Request,
}

pub struct Simulation {
    pub now: u64,
    pub random: rand_chacha::ChaCha8Rng,
    queue: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    pub agents: Vec<agent::core::Core>,
    pub entries: Vec<entry::core::Core>,
    pub processes: BTreeMap<Node, Process>,
    pub upstreams: Vec<upstream::Upstream>,
    pub control: control::Control,
    pub watches: Vec<HeldWatch>,
    pub clients: clients::Clients,
    pub shells: Vec<shell::Agent>,
    pub connections: Vec<BTreeMap<attempt::Identifier, shell::Connection>>,
    pub partitions: BTreeMap<(Node, Node), u64>,
    pub last_boot: u64,
    pub last_request: u64,
    pub faultless: bool,
    /// Members of every placement so far, by fencing number.
    pub placements: BTreeMap<number::Fence, Vec<name::Instance>>,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut processes = BTreeMap::new();
        let agents = (0..AGENTS).map(Node::Agent);
        for node in agents.chain((0..ENTRIES).map(Node::Entry)) {
            let rate = random.random_range(995..=1_004);
            let offset = random.random_range(0..1_000_000_000);
            processes
                .insert(node, Process { incarnation: 0, up: false, paused_until: 0, rate, offset });
        }
        let service = |index: usize| index >= ENGINES;
        let upstreams = (0..AGENTS)
            .map(|index| upstream::Upstream::new(!service(index), index % 2 == 0))
            .collect();
        let mut simulation = Simulation {
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
            clients: clients::Clients::default(),
            shells: (0..AGENTS).map(|_| shell::Agent::default()).collect(),
            connections: vec![BTreeMap::new(); ENTRIES],
            partitions: BTreeMap::new(),
            last_boot: seed << 20,
            last_request: 0,
            faultless: false,
            placements: BTreeMap::new(),
        };
        (0..AGENTS).for_each(|index| simulation.start(Node::Agent(index)));
        (0..ENTRIES).for_each(|index| simulation.start(Node::Entry(index)));
        simulation.schedule(0, Event::Reconcile);
        simulation.schedule(3_000 * MILLIS, Event::InjectFault);
        simulation.schedule(1_500 * MILLIS, Event::SendRequest);
        simulation
    }

    /// Runs for `span` microseconds of true time.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((at, sequence), scheduled) = first.remove_entry();
            self.now = at;
            self.deliver(sequence, scheduled.receiver, scheduled.event);
        }
        self.now = end;
    }

    /// Starts a process, or restarts it at the same addresses.
    pub fn start(&mut self, node: Node) {
        let process = self.processes.get_mut(&node).expect("the process is known");
        process.incarnation += 1;
        process.up = true;
        process.paused_until = 0;
        let now = process.clock(self.now);
        self.last_boot += 1;
        let seed = self.random.random();
        match node {
            Node::Agent(index) => {
                let core = agent::core::Core::new(self.agent_settings(index), seed, now);
                set_or_push(&mut self.agents, index, core);
                self.shells[index] = shell::Agent::default();
                self.schedule_for(node, 0, Event::TickAgent(index));
                self.schedule_for(node, 0, Event::Probe(index));
            }
            Node::Entry(index) => {
                let core = entry::core::Core::new(self.entry_settings(index), seed, now);
                set_or_push(&mut self.entries, index, core);
                self.connections[index].clear();
                self.schedule_for(node, 0, Event::TickEntry(index));
            }
            Node::Control => {}
        }
    }

    /// Schedules an event regardless of which processes are then up.
    pub fn schedule(&mut self, delay: u64, event: Event) {
        self.push(delay, None, event);
    }

    /// Schedules an event for the current incarnation of `node`.
    pub fn schedule_for(&mut self, node: Node, delay: u64, event: Event) {
        let incarnation = self.incarnation(node);
        self.push(delay, Some((node, incarnation)), event);
    }

    /// Schedules an event for the given incarnation of `node`.
    pub fn schedule_for_incarnation(
        &mut self,
        node: Node,
        incarnation: u32,
        delay: u64,
        event: Event,
    ) {
        self.push(delay, Some((node, incarnation)), event);
    }

    pub fn incarnation(&self, node: Node) -> u32 {
        self.processes.get(&node).map_or(0, |process| process.incarnation)
    }

    /// Delay of a message between two processes; `None` when it is lost.
    pub fn message_delay(&mut self, from: Node, to: Node) -> Option<u64> {
        if self.is_partitioned(from, to) || (!self.faultless && self.random.random_ratio(1, 50)) {
            return None;
        }
        let is_slow = !self.faultless && self.random.random_ratio(1, 30);
        let max_delay = if is_slow { 900 * MILLIS } else { 3 * MILLIS };
        Some(self.random.random_range(200..max_delay))
    }

    pub fn is_partitioned(&self, from: Node, to: Node) -> bool {
        let pair = (from.min(to), from.max(to));
        self.partitions.get(&pair).is_some_and(|until| *until > self.now)
    }

    fn push(&mut self, delay: u64, receiver: Option<(Node, u32)>, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), Scheduled { receiver, event });
    }

    fn deliver(&mut self, sequence: u64, receiver: Option<(Node, u32)>, event: Event) {
        if let Some((node, incarnation)) = receiver
            && let Some(process) = self.processes.get(&node)
        {
            if process.incarnation != incarnation || !process.up {
                return;
            }
            if process.paused_until > self.now {
                // Deferred events keep their order.
                let at = (process.paused_until, sequence);
                self.queue.insert(at, Scheduled { receiver, event });
                return;
            }
        }
        self.handle_event(event);
    }

    fn agent_settings(&self, index: usize) -> agent::core::Settings {
        let announcement = shell::announcement(index, self.last_boot, &self.upstreams[index]);
        let control = vec![shell::address(1)];
        agent::core::Settings { announcement, control, stop_limit: timing::STOP_TIMEOUT }
    }

    fn entry_settings(&self, index: usize) -> entry::core::Settings {
        entry::core::Settings {
            instance: format!("entry-{index}").as_str().into(),
            zone: "zone-a".into(),
            control: vec![shell::address(1)],
            boot: self.last_boot,
            stop_timeout: std::time::Duration::from_secs(10),
        }
    }
}

fn set_or_push<T>(list: &mut Vec<T>, index: usize, value: T) {
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

impl Simulation {
    /// Ends all faults: partitions heal, and the zones are in.
    pub fn end_faults(&mut self) {
        self.faultless = true;
        self.partitions.clear();
        for zone in ["zone-a", "zone-b"] {
            self.control.set_zone(self.now, &zone.into(), false);
        }
    }
}

impl Simulation {
    /// Runs for `span` while clients send requests to the entries that are up.
    pub fn run_with_requests(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let route = ["/write", "/once", "/lodge"][self.random.random_range(0..3)];
            let entry = self.random.random_range(0..ENTRIES);
            if self.processes[&Node::Entry(entry)].up {
                self.send_request(entry, route, None);
            }
            self.run(20 * MILLIS);
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
