//! Processes, engines and the network between them, one millisecond after the other.

pub mod engines;

use crate::{engine, fixture, invariants};
use hyssopfork_consensus::node;
use hyssopfork_fleet::groups::order;
use hyssopfork_fleet::{action, core, event, notice, peer, quarantine, settings, view};
use hyssopfork_wire::{clock, consensus, name};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time on the way between any two.
const WAY: Duration = Duration::from_millis(1);
/// Time of a sync.
const SYNC: Duration = Duration::from_millis(2);
/// Time between an engine's calls.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a call without an answer has failed.
const LOST: Duration = Duration::from_millis(400);

/// Bytes a second that a process's link carries in each direction.
#[derive(Clone, Copy, Debug)]
pub struct Bandwidth(pub u64);

/// When the link of a process is free again, in each direction.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    sending: Option<clock::Instant>,
    receiving: Option<clock::Instant>,
}

/// A process.
pub struct Process {
    pub core: Option<core::Core>,
    pub durable: node::Durable,
    pub has_folder: bool,
    /// What its entry was told last.
    pub view: Option<View>,
    folder: u64,
    /// Who waits for each call's reply.
    calls: BTreeMap<u64, Caller>,
    /// The watch that is waited for.
    watch: u64,
    /// Counts its starts: what was on its way to an earlier one is lost.
    starts: u64,
    /// `None` carries everything at once.
    pub bandwidth: Option<Bandwidth>,
    link: Link,
}

/// What an entry knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub document: u64,
    pub out: BTreeSet<name::Zone>,
    pub upstreams: BTreeMap<name::Instance, view::Upstream>,
    pub groups: BTreeMap<name::Group, view::Group>,
    pub entries: BTreeMap<SocketAddr, ()>,
    pub quarantine: BTreeMap<quarantine::Fingerprint, quarantine::Verdict>,
}

#[derive(Clone, Debug)]
enum Caller {
    Outside(u64),
    Greeting(SocketAddr),
    Watch(SocketAddr, u64),
    Relay(SocketAddr, u64),
}

#[derive(Clone, Debug)]
enum Delivery {
    Event(Box<event::Event>),
    Call(Box<event::Request>, Caller),
    Order(SocketAddr, order::Order),
    /// The answer to the watch of this number.
    Watched(u64, SocketAddr, Box<peer::Answer>),
    /// The time of a watch of this number is over.
    Overdue(u64, SocketAddr),
}

/// The world.
pub struct World {
    pub now: clock::Instant,
    pub processes: BTreeMap<SocketAddr, Process>,
    pub engines: BTreeMap<name::Instance, engine::Engine>,
    /// Pairs that don't reach each other, in this direction.
    pub cuts: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Engines at which new connections are reset while those of clients go on.
    pub resets: BTreeSet<SocketAddr>,
    /// Engines whose answers to orders are this much later than what they announce.
    pub slow_answers: BTreeMap<SocketAddr, Duration>,
    /// Engines' orders get no answer and are carried out this much later.
    pub late_orders: Option<Duration>,
    /// Each order meets a fault of its own.
    pub order_faults: Option<engines::OrderFaults>,
    pub notices: Vec<(SocketAddr, notice::Notice)>,
    /// Processes that were asked whether they reach an upstream.
    pub asked_peers: BTreeSet<SocketAddr>,
    pub replies: BTreeMap<u64, action::Reply>,
    /// Views that entries were given.
    pub publications: usize,
    /// Watches that told a leader all that the follower knows.
    pub disclosures: usize,
    queue: BTreeMap<(clock::Instant, u64), (SocketAddr, u64, Delivery)>,
    count: u64,
    folders: u64,
}

impl World {
    /// `folders` processes with a folder and `others` without start for the first time.
    pub fn start(folders: u8, others: u8) -> World {
        let mut world = World {
            now: fixture::at(1_000),
            processes: BTreeMap::new(),
            engines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            resets: BTreeSet::new(),
            slow_answers: BTreeMap::new(),
            late_orders: None,
            order_faults: None,
            notices: Vec::new(),
            asked_peers: BTreeSet::new(),
            replies: BTreeMap::new(),
            publications: 0,
            disclosures: 0,
            queue: BTreeMap::new(),
            count: 0,
            folders: 0,
        };
        for host in 1..=folders + others {
            let host_address = fixture::address(host);
            let process = Process {
                core: None,
                durable: node::Durable::default(),
                has_folder: host <= folders,
                view: None,
                folder: 0,
                calls: BTreeMap::new(),
                watch: 0,
                starts: 0,
                bandwidth: None,
                link: Link::default(),
            };
            world.processes.insert(host_address, process);
            world.wipe(host_address);
            world.boot(host_address, true);
        }
        world
    }

    /// A world whose first declaration is in force.
    pub fn declared(folders: u8, others: u8) -> World {
        let mut world = World::start(folders, others);
        world.run(2_500);
        assert!(world.declare(1), "the first declaration is acknowledged");
        world
    }

    /// Starts a process on what its folder holds.
    pub fn boot(&mut self, address: SocketAddr, first_start: bool) {
        let seeds: Vec<SocketAddr> = (1..=3).map(fixture::address).collect();
        let now = self.now;
        let process = self.processes.get_mut(&address).expect("it is there");
        let settings = settings::Settings {
            address,
            seeds,
            first_start,
            has_folder: process.has_folder,
            tolerated_losses: 1,
            heartbeat_interval: HEARTBEAT,
        };
        process.core = Some(core::Core::new(settings, fixture::decode, now));
        process.starts += 1;
        process.calls.clear();
        process.view = None;
        if process.has_folder {
            let durable = Box::new(process.durable.clone());
            let (folder, seed) = (process.folder, process.folder * 31 + process.starts);
            self.send(
                address,
                Duration::ZERO,
                event::Event::FolderOpened { folder, durable, seed },
            );
        }
    }

    /// Ends a process at once; what it had synced stays.
    pub fn kill(&mut self, address: SocketAddr) {
        if let Some(process) = self.processes.get_mut(&address) {
            process.core = None;
        }
    }

    /// Replaces a process's folder by a blank one.
    pub fn wipe(&mut self, address: SocketAddr) {
        self.folders += 1;
        let process = self.processes.get_mut(&address).expect("it is there");
        process.durable = node::Durable::default();
        process.folder = self.folders;
    }

    /// Lets time pass, in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for step in 0..millis {
            self.now = self.now + Duration::from_millis(1);
            self.deliver();
            if step.is_multiple_of(20) {
                let alive: Vec<SocketAddr> = self.processes.keys().copied().collect();
                for address in alive {
                    self.step(address, event::Event::Tick);
                }
            }
            self.run_engines();
        }
    }

    /// Who answers for the fleet.
    pub fn leader(&self) -> Option<SocketAddr> {
        let leads =
            |process: &Process| process.core.as_ref().is_some_and(core::Core::is_active_leader);
        self.processes.iter().find(|(_, process)| leads(process)).map(|(address, _)| *address)
    }

    /// Calls a process from outside and gives the number of the call.
    pub fn call(&mut self, to: SocketAddr, request: event::Request) -> u64 {
        self.count += 1;
        let call = self.count;
        self.push(to, WAY, Delivery::Call(Box::new(request), Caller::Outside(call)));
        call
    }

    /// Calls as an operator does, at every process in turn, until it is done; whether it was.
    pub fn insist(&mut self, request: &event::Request) -> bool {
        for _ in 0..8 {
            let mut to = self.leader();
            to = to.or_else(|| self.processes.keys().next().copied());
            let Some(to) = to else { return false };
            let call = self.call(to, request.clone());
            self.run(500);
            if matches!(self.replies.get(&call), Some(action::Reply::Done)) {
                return true;
            }
        }
        false
    }

    pub fn declare(&mut self, version: u64) -> bool {
        let declaration = Box::new(fixture::declaration(version));
        self.insist(&event::Request::Declare(declaration, fixture::document(version)))
    }

    /// Version that the leader reads back; `None` when nobody can be sure.
    pub fn read(&mut self) -> Option<u64> {
        let leader = self.leader()?;
        let call = self.call(leader, event::Request::Read);
        self.run(300);
        match self.replies.get(&call) {
            Some(action::Reply::Document(document)) => Some(document.version),
            _ => None,
        }
    }

    /// Groups that serve, by the leader's word.
    pub fn serving(&self) -> Vec<view::Group> {
        let leader = self.leader().and_then(|leader| self.processes[&leader].view.as_ref());
        let groups = leader.into_iter().flat_map(|view| view.groups.values());
        groups.filter(|group| group.serving).cloned().collect()
    }

    /// Whether what the process tells a leader is on its way.
    pub fn tells(&self, from: SocketAddr) -> bool {
        self.queue.values().any(|(_, _, delivery)| {
            let Delivery::Call(request, _) = delivery else { return false };
            let event::Request::Watch(watch) = request.as_ref() else { return false };
            watch.from == from && watch.known.is_some()
        })
    }

    /// Forgets what a process has sent and has not arrived.
    pub fn drop_messages_of(&mut self, from: SocketAddr) {
        self.queue.retain(|_, (_, _, delivery)| {
            let Delivery::Call(request, _) = delivery else { return true };
            let event::Request::Watch(watch) = request.as_ref() else { return true };
            watch.from != from
        });
    }

    /// Hands a process what its entry saw.
    pub fn see(&mut self, address: SocketAddr, evidence: peer::Evidence) {
        self.send(address, Duration::ZERO, event::Event::EvidenceReported(address, evidence));
    }

    fn send(&mut self, to: SocketAddr, after: Duration, event: event::Event) {
        self.push(to, after, Delivery::Event(Box::new(event)));
    }

    fn push(&mut self, to: SocketAddr, after: Duration, delivery: Delivery) {
        self.count += 1;
        let starts = self.processes.get(&to).map_or(0, |process| process.starts);
        self.queue.insert((self.now + after, self.count), (to, starts, delivery));
    }

    /// Time until a message between two processes has arrived: each link carries one after the other.
    fn transfer(&mut self, from: SocketAddr, to: SocketAddr, message: &impl Serialize) -> Duration {
        let bytes = bincode::serialized_size(message).expect("messages are plain data");
        let now = self.now;
        let mut carry = |address: SocketAddr, at: clock::Instant, receives: bool| {
            let Some(process) = self.processes.get_mut(&address) else { return at };
            let Some(Bandwidth(rate)) = process.bandwidth else { return at };
            let link = &mut process.link;
            let free = if receives { &mut link.receiving } else { &mut link.sending };
            let begins = free.map_or(at, |free| free.max(at));
            let done = begins + Duration::from_micros(bytes * 1_000_000 / rate);
            *free = Some(done);
            done
        };
        let sent = carry(from, now, false);
        carry(to, sent, true).since(now) + WAY
    }

    fn reaches(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.cuts.contains(&(from, to))
            && self.processes.get(&to).is_none_or(|it| it.core.is_some())
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now + Duration::from_micros(1), 0));
        for (_, (to, starts, delivery)) in std::mem::replace(&mut self.queue, later) {
            if self.processes.get(&to).is_some_and(|process| process.starts != starts) {
                continue;
            }
            match delivery {
                Delivery::Event(event) => self.step(to, *event),
                Delivery::Call(request, caller) => {
                    self.count += 1;
                    let call = self.count;
                    if let Some(process) = self.processes.get_mut(&to) {
                        process.calls.insert(call, caller);
                    }
                    self.step(to, event::Event::Called { call, request: *request });
                }
                Delivery::Order(from, order) => self.obey(from, &order),
                Delivery::Watched(number, from, answer) => {
                    let process = self.processes.get_mut(&to).expect("it is there");
                    if process.watch == number {
                        process.watch = 0;
                        let answer = Some(*answer);
                        self.step(to, event::Event::WatchAnswered { from, answer });
                    }
                }
                Delivery::Overdue(number, leader) => {
                    if self.processes.get(&to).is_some_and(|process| process.watch == number) {
                        let lost = event::Event::WatchAnswered { from: leader, answer: None };
                        self.step(to, lost);
                    }
                }
            }
        }
    }

    fn step(&mut self, address: SocketAddr, event: event::Event) {
        let now = self.now;
        let core = self.processes.get_mut(&address).and_then(|process| process.core.as_mut());
        let Some(core) = core else { return };
        for action in core.step(now, event) {
            self.act(address, action);
        }
    }

    fn act(&mut self, from: SocketAddr, action: action::Action) {
        match action {
            action::Action::Send(packet) => self.deliver_packet(from, packet),
            action::Action::Persist(write) => {
                let process = self.processes.get_mut(&from).expect("it acts");
                process.durable.apply(&write);
                self.send(from, SYNC, event::Event::Persisted(write.mark));
            }
            action::Action::Reply(call, reply) => self.reply(from, call, reply),
            action::Action::Greet(to, hello) => {
                self.ask(from, to, event::Request::Greet(hello), Caller::Greeting(from));
            }
            action::Action::Watch(to, watch) => {
                self.disclosures += usize::from(watch.known.is_some());
                self.count += 1;
                let number = self.count;
                self.processes.get_mut(&from).expect("it acts").watch = number;
                self.push(from, action::WATCH_TIMEOUT, Delivery::Overdue(number, to));
                self.ask(from, to, event::Request::Watch(watch), Caller::Watch(from, number));
            }
            action::Action::Relay { call, to, registration } => {
                let request = event::Request::RegisterRelayed(registration);
                if !self.ask(from, to, request, Caller::Relay(from, call)) {
                    self.send(from, LOST, event::Event::RelayAnswered { call, accepted: false });
                }
            }
            action::Action::SendEvidence(to, evidence) => {
                if self.reaches(from, to) {
                    self.send(to, WAY, event::Event::EvidenceReported(from, evidence));
                }
            }
            action::Action::Order(order) => self.carry_order(from, order),
            action::Action::Probe(instance, to) => {
                let sign = self.probe(from, to);
                let after = if sign == order::Sign::Missing { LOST } else { WAY };
                self.send(from, after, event::Event::Probed(instance, sign));
            }
            action::Action::RequestReport(instance, to) => {
                if self.probe(from, to) == order::Sign::Alive {
                    let report = self.engines[&instance].report();
                    self.send(from, WAY * 2, event::Event::Reported(instance, report));
                }
            }
            action::Action::ProbeViaPeer { peer, instance, address } => {
                self.asked_peers.insert(peer);
                let alive =
                    self.reaches(from, peer) && self.probe(peer, address) == order::Sign::Alive;
                self.send(from, LOST, event::Event::PeerProbed(peer, instance, alive));
            }
            action::Action::Publish(update, declaration) => {
                let version = declaration.map(|declaration| declaration.version);
                self.publish(from, *update, version);
            }
            action::Action::Notice(notice) => self.notices.push((from, notice)),
        }
    }

    fn deliver_packet(&mut self, from: SocketAddr, packet: consensus::Packet) {
        let to = core::address_of(&packet.to).expect("names are addresses");
        if self.reaches(from, to) {
            let after = self.transfer(from, to, &packet);
            self.send(to, after, event::Event::Received(packet));
        }
    }

    fn ask(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        request: event::Request,
        caller: Caller,
    ) -> bool {
        let reaches = self.reaches(from, to);
        if reaches {
            self.push(to, WAY, Delivery::Call(Box::new(request), caller));
        }
        reaches
    }

    fn reply(&mut self, from: SocketAddr, call: u64, reply: action::Reply) {
        let caller = self.processes.get_mut(&from).and_then(|process| process.calls.remove(&call));
        match (caller, reply) {
            (Some(Caller::Outside(call)), reply) => drop(self.replies.insert(call, reply)),
            (Some(Caller::Greeting(to)), action::Reply::Greeting(greeting)) => {
                self.back(from, to, event::Event::GreetingAnswered(greeting));
            }
            (Some(Caller::Watch(to, number)), action::Reply::Watched(answer)) => {
                let waits = self.processes[&to].watch == number;
                if waits && self.reaches(from, to) {
                    let after = self.transfer(from, to, &answer);
                    self.push(to, after, Delivery::Watched(number, from, Box::new(answer)));
                }
            }
            (Some(Caller::Relay(to, call)), reply) => {
                let accepted = matches!(reply, action::Reply::Registered(_));
                self.back(from, to, event::Event::RelayAnswered { call, accepted });
            }
            _ => {}
        }
    }

    fn back(&mut self, from: SocketAddr, to: SocketAddr, event: event::Event) {
        if self.reaches(from, to) {
            self.send(to, WAY, event);
        }
    }

    fn publish(&mut self, address: SocketAddr, update: view::Update, version: Option<u64>) {
        self.publications += 1;
        let process = self.processes.get_mut(&address).expect("it acts");
        let view = process.view.get_or_insert_default();
        if let Some(version) = version {
            assert!(version > view.document, "no process goes back");
            view.document = version;
        }
        if update.is_full {
            view.upstreams.clear();
            view.groups.clear();
            view.entries.clear();
            view.quarantine.clear();
        }
        view::merge(&mut view.entries, update.entries);
        view::merge(&mut view.quarantine, update.quarantine);
        for (instance, upstream) in update.upstreams {
            match upstream {
                Some(upstream) => drop(view.upstreams.insert(instance, upstream)),
                None => drop(view.upstreams.remove(&instance)),
            }
        }
        for (name, group) in update.groups {
            match group {
                Some(group) => drop(view.groups.insert(name, group)),
                None => drop(view.groups.remove(&name)),
            }
        }
        view.out = update.zones_out;
        invariants::check_groups(&view.groups);
    }
}

/// Evidence of an entry that sees an upstream stand still.
pub fn stalled(instance: &name::Instance) -> peer::Evidence {
    peer::Evidence { stalled: vec![instance.clone()], traffic: true, ..peer::Evidence::default() }
}
