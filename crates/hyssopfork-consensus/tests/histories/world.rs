//! Nodes, a network that misbehaves and disks that sync late, on one true clock.

use hyssopfork_consensus::{action, event, node, write};
use hyssopfork_wire::{clock, consensus, name, number};
use rand::{RngExt, SeedableRng};
use std::collections;
use std::time::Duration;

const TICK: u64 = 20_000;

/// What may happen to messages and writes, in parts of a thousand and microseconds.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    pub late: u32,
    pub slow_sync: u32,
    pub blocked: collections::BTreeSet<(usize, usize)>,
}

#[derive(Clone, Debug)]
enum Item {
    Tick { slot: usize, life: u64 },
    Deliver(consensus::Packet),
    Synced { slot: usize, life: u64 },
}

/// One instance: its disk, and its process while it runs.
pub struct Slot {
    pub name: name::Instance,
    pub folder: u64,
    pub node: Option<node::Node>,
    pub durable: node::Durable,
    pub paused: bool,
    /// Fingerprint of the state after `applied`.
    pub chain: u64,
    pub applied: number::Index,
    pub tickets: collections::BTreeMap<u64, (number::Index, number::Term)>,
    life: u64,
    writes: collections::VecDeque<write::Write>,
    held: Vec<event::Event>,
    offset: u64,
    rate: u64,
}

/// Everything.
pub struct World {
    pub random: rand_chacha::ChaCha8Rng,
    pub now: u64,
    pub slots: Vec<Slot>,
    pub faults: Faults,
    pub settings: node::Settings,
    /// Committed entries and the state's fingerprint after each, as first applied anywhere.
    pub history: collections::BTreeMap<number::Index, (consensus::Entry, u64)>,
    pub acknowledged: Vec<u64>,
    pub rejected: Vec<u64>,
    /// Bytes added to each snapshot, so that it travels in parts.
    pub ballast: usize,
    queue: collections::BTreeMap<(u64, u64), Item>,
    order: u64,
}

fn mix(chain: u64, entry: &consensus::Entry) -> u64 {
    let mut hasher = crc32fast::Hasher::new_with_initial(chain as u32);
    hasher.update(format!("{entry:?}").as_bytes());
    (u64::from(hasher.finalize()) << 32) | (chain >> 32 ^ entry.index.0) & 0xffff_ffff
}

impl World {
    /// `listed` blank instances that list each other, and `others` that only list those.
    pub fn new(seed: u64, listed: usize, others: usize) -> World {
        let names: Vec<name::Instance> =
            (0..listed + others).map(|slot| name::Instance::new(format!("c{slot}"))).collect();
        let voters = names[..listed].to_vec();
        let settings = node::Settings { voters, retained_entries: 8, ..node::Settings::default() };
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let slots = names.into_iter().map(|name| slot(name, &mut random)).collect();
        World {
            random,
            now: 0,
            slots,
            faults: Faults::default(),
            settings,
            history: collections::BTreeMap::new(),
            acknowledged: Vec::new(),
            rejected: Vec::new(),
            ballast: 0,
            queue: collections::BTreeMap::new(),
            order: 0,
        }
    }

    /// A world whose log is formed and led.
    pub fn led(seed: u64, listed: usize, others: usize) -> World {
        let mut world = World::new(seed, listed, others);
        (0..listed + others).for_each(|slot| world.start(slot));
        world.run(Duration::from_secs(5));
        assert!(world.leader().is_some(), "the instances formed a log");
        world
    }

    /// The slot that leads in the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |slot: &usize| self.slots[*slot].node.as_ref().is_some_and(|n| n.is_leader());
        let term = |slot: &usize| self.slots[*slot].node.as_ref().map(|node| node.term());
        (0..self.slots.len()).filter(leads).max_by_key(term)
    }

    pub fn node(&self, slot: usize) -> &node::Node {
        self.slots[slot].node.as_ref().expect("the process runs")
    }

    pub fn identity(&self, slot: usize) -> consensus::Voter {
        let Slot { name, folder, .. } = &self.slots[slot];
        consensus::Voter { instance: name.clone(), folder: *folder }
    }

    /// Voters as the process, or else the disk, of an instance knows them.
    pub fn voters(&self, slot: usize) -> Vec<consensus::Voter> {
        let Slot { node, durable, .. } = &self.slots[slot];
        if let Some(node) = node {
            return node.voters().to_vec();
        }
        let listed = |entry: &consensus::Entry| match &entry.payload {
            consensus::Payload::Voters(voters) => Some(voters.clone()),
            _ => None,
        };
        let snapshot = || durable.snapshot.as_ref().map(|snapshot| snapshot.voters.clone());
        durable.entries.iter().rev().find_map(listed).or_else(snapshot).unwrap_or_default()
    }

    /// Voters among `voters` whose folders are lost; a vacant seat counts.
    pub fn gone(&self, voters: &[consensus::Voter]) -> usize {
        let identities: Vec<_> = (0..self.slots.len()).map(|slot| self.identity(slot)).collect();
        voters.iter().filter(|voter| !identities.contains(voter)).count()
    }

    pub fn is_seated(&self, slot: usize) -> bool {
        let newest = self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let newest = newest.max_by_key(|node| node.committed());
        newest.is_some_and(|node| node.voters().contains(&self.identity(slot)))
    }

    pub fn start(&mut self, slot: usize) {
        let (now, seed) = (self.local(slot), self.random.random());
        let identity = self.identity(slot);
        let state = &mut self.slots[slot];
        state.life += 1;
        state.paused = false;
        state.chain = 0;
        state.applied = number::Index(0);
        let durable = state.durable.clone();
        let settings = self.settings.clone();
        state.node = Some(node::Node::new(identity, durable, settings, seed, now));
        let life = state.life;
        self.push(0, Item::Tick { slot, life });
    }

    /// Ends a process; of the writes not reported as synced a random number was made.
    pub fn crash(&mut self, slot: usize) {
        let made = self.random.random_range(0..=self.slots[slot].writes.len());
        let state = &mut self.slots[slot];
        state.node = None;
        state.tickets.clear();
        state.held.clear();
        let writes: Vec<write::Write> = state.writes.drain(..).collect();
        writes.iter().take(made).for_each(|write| state.durable.apply(write));
    }

    pub fn lose_disk(&mut self, slot: usize) {
        self.crash(slot);
        self.slots[slot].durable = node::Durable::default();
        self.slots[slot].folder = self.random.random_range(1..u64::MAX);
    }

    pub fn pause(&mut self, slot: usize) {
        self.slots[slot].paused = true;
    }

    pub fn resume(&mut self, slot: usize) {
        self.slots[slot].paused = false;
        for event in std::mem::take(&mut self.slots[slot].held) {
            self.step(slot, event);
        }
    }

    /// Cuts an instance off from all others, both ways.
    pub fn isolate(&mut self, slot: usize) {
        for other in 0..self.slots.len() {
            self.faults.blocked.insert((slot, other));
            self.faults.blocked.insert((other, slot));
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while let Some((&(at, order), _)) = self.queue.first_key_value()
            && at <= end
        {
            self.now = self.now.max(at);
            let item = self.queue.remove(&(at, order)).expect("it was just seen");
            self.happen(item);
        }
        self.now = end;
    }

    /// Hands an event to a process, if it runs; carries out what it asks.
    pub fn step(&mut self, slot: usize, event: event::Event) {
        if self.slots[slot].paused {
            self.slots[slot].held.push(event);
            return;
        }
        let now = self.local(slot);
        let Some(node) = &mut self.slots[slot].node else {
            return;
        };
        let actions = node.step(now, event);
        for action in actions {
            self.carry_out(slot, action);
        }
        self.check_leases();
    }

    pub fn snapshot(&mut self, slot: usize) {
        let state = &self.slots[slot];
        let index = state.applied;
        let mut data = state.chain.to_le_bytes().to_vec();
        data.resize(data.len() + self.ballast, 7);
        self.step(slot, event::Event::Snapshotted { index, data });
    }

    fn happen(&mut self, item: Item) {
        match item {
            Item::Tick { slot, life } => {
                if self.slots[slot].life == life && self.slots[slot].node.is_some() {
                    self.push(TICK, Item::Tick { slot, life });
                    if !self.slots[slot].paused {
                        self.step(slot, event::Event::Tick);
                    }
                }
            }
            Item::Deliver(packet) => {
                let to = self.slots.iter().position(|slot| slot.name == packet.to);
                if let Some(slot) = to {
                    self.step(slot, event::Event::Received(packet));
                }
            }
            Item::Synced { slot, life } => self.synced(slot, life),
        }
    }

    fn synced(&mut self, slot: usize, life: u64) {
        let state = &mut self.slots[slot];
        if state.life != life || state.node.is_none() {
            return;
        }
        let Some(write) = state.writes.pop_front() else {
            return;
        };
        state.durable.apply(&write);
        self.step(slot, event::Event::Persisted(write.number));
    }

    fn carry_out(&mut self, slot: usize, action: action::Action) {
        match action {
            action::Action::Send(packet) => self.send(slot, packet),
            action::Action::Persist(write) => {
                let slow = self.random.random_range(0..1000) < self.faults.slow_sync;
                let delay = self.random.random_range(if slow { 0..900_000 } else { 100..3_000 });
                let life = self.slots[slot].life;
                self.slots[slot].writes.push_back(write);
                self.push(delay, Item::Synced { slot, life });
            }
            action::Action::Apply(entry) => self.apply(slot, entry),
            action::Action::Restore(snapshot) => self.restore(slot, &snapshot),
            action::Action::Proposed { ticket, index, term } => {
                self.slots[slot].tickets.insert(ticket, (index, term));
            }
            action::Action::Rejected { ticket, .. } => self.rejected.push(ticket),
            action::Action::Notice(_) => {}
        }
    }

    fn send(&mut self, slot: usize, packet: consensus::Packet) {
        check_size(&packet);
        let to = self.slots.iter().position(|slot| slot.name == packet.to);
        let blocked = to.is_none_or(|to| self.faults.blocked.contains(&(slot, to)));
        if blocked || self.random.random_range(0..1000) < self.faults.lost {
            return;
        }
        let copies = if self.random.random_range(0..1000) < self.faults.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.random.random_range(0..1000) < self.faults.late;
            let delay = self.random.random_range(if late { 0..4_000_000 } else { 200..2_000 });
            self.push(delay, Item::Deliver(packet.clone()));
        }
    }

    /// Every process applies the same entry at an index, in order and without gaps.
    fn apply(&mut self, slot: usize, entry: consensus::Entry) {
        let state = &mut self.slots[slot];
        assert_eq!(entry.index, state.applied.next(), "applied in order");
        state.applied = entry.index;
        state.chain = mix(state.chain, &entry);
        let place = (entry.index, entry.term);
        let done: Vec<u64> =
            state.tickets.iter().filter(|(_, at)| **at == place).map(|(id, _)| *id).collect();
        state.tickets.retain(|_, at| *at != place);
        self.acknowledged.extend(done);
        let chain = state.chain;
        let first = self.history.entry(entry.index).or_insert_with(|| (entry.clone(), chain));
        assert_eq!(first, &(entry, chain), "one entry at an index");
    }

    fn restore(&mut self, slot: usize, snapshot: &write::Snapshot) {
        let chain = u64::from_le_bytes(snapshot.data[..8].try_into().expect("eight bytes"));
        assert_eq!(chain, self.history[&snapshot.index].1, "a snapshot is of the one history");
        self.slots[slot].chain = chain;
        self.slots[slot].applied = snapshot.index;
    }

    /// At most one process holds an unexpired quorum lease, also one that is paused.
    fn check_leases(&self) {
        let holds = |slot: &usize| {
            let now = self.local(*slot);
            let node = self.slots[*slot].node.as_ref();
            node.is_some_and(|node| node.is_leader() && node.quorum_lease(now).is_some())
        };
        let holders: Vec<usize> = (0..self.slots.len()).filter(holds).collect();
        assert!(holders.len() <= 1, "quorum leases of {holders:?} at {}", self.now);
    }

    pub fn local(&self, slot: usize) -> clock::Instant {
        let state = &self.slots[slot];
        clock::Instant::from_micros(state.offset + self.now / 1_000 * state.rate)
    }

    fn push(&mut self, delay: u64, item: Item) {
        self.order += 1;
        self.queue.insert((self.now + delay, self.order), item);
    }
}

/// An instance with an empty disk and a clock that errs by up to half the allowed difference.
fn slot(name: name::Instance, random: &mut rand_chacha::ChaCha8Rng) -> Slot {
    Slot {
        name,
        folder: random.random_range(1..u64::MAX),
        node: None,
        durable: node::Durable::default(),
        paused: false,
        chain: 0,
        applied: number::Index(0),
        tickets: collections::BTreeMap::new(),
        life: 0,
        writes: collections::VecDeque::new(),
        held: Vec::new(),
        offset: random.random_range(0..1_000_000_000),
        rate: random.random_range(995..=1_005),
    }
}

fn check_size(packet: &consensus::Packet) {
    match &packet.message {
        consensus::Message::Snapshot { data, .. } => assert!(data.len() <= 64 << 10),
        consensus::Message::Append { entries, .. } => {
            assert!(entries.len() <= 1 || entries.len() * 32 <= 64 << 10);
        }
        _ => {}
    }
}
