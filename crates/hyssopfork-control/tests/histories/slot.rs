//! One control instance: its process, its disk and its clock.

use hyssopfork_consensus::{node, write};
use hyssopfork_control::{action, core, event};
use hyssopfork_state::machine;
use hyssopfork_wire::{clock, consensus, name};
use std::collections::{BTreeMap, VecDeque};

/// Largest drift of a clock from true time: half of the drift allowed between two clocks.
pub const MAX_DRIFT_PPM: i64 = 5_000;

/// A clock that converts true microseconds to local ones.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: u64,
    /// Drift in parts per million; positive when the clock runs fast.
    pub drift_ppm: i64,
}

impl Clock {
    pub fn local(&self, now: u64) -> clock::Instant {
        let drift = now as i64 * self.drift_ppm / 1_000_000;
        clock::Instant::from_micros(self.offset + (now as i64 + drift) as u64)
    }
}

/// A control instance.
pub struct Slot {
    pub name: name::Instance,
    pub core: Option<core::Core>,
    /// Number of processes started so far.
    pub boot: u64,
    pub folder: u64,
    pub clock: Clock,
    pub paused_until: u64,
    durable: node::Durable,
    unsynced: VecDeque<write::Write>,
}

impl Slot {
    pub fn new(index: usize, clock: Clock) -> Slot {
        Slot {
            name: names()[index].clone(),
            core: None,
            boot: 0,
            folder: index as u64 + 1,
            clock,
            paused_until: 0,
            durable: node::Durable::default(),
            unsynced: VecDeque::new(),
        }
    }

    pub fn start(&mut self, now: u64, seed: u64) {
        let identity = consensus::Voter { instance: self.name.clone(), folder: self.folder };
        let settings =
            node::Settings { voters: names(), retained_entries: 20, ..Default::default() };
        let local = self.clock.local(now);
        let node = node::Node::new(identity, self.durable.clone(), settings, seed, local);
        let mut settings = core::Settings::new(self.name.clone(), BTreeMap::new());
        settings.snapshot_interval_entries = 50;
        self.core = Some(core::Core::new(settings, node, machine::Machine::new(), local));
        self.boot += 1;
    }

    /// Ends the process; of the writes not yet synced, the first `kept` reach the disk.
    pub fn crash(&mut self, kept: usize) {
        for write in self.unsynced.drain(..).take(kept) {
            self.durable.apply(&write);
        }
        self.unsynced.clear();
        self.core = None;
    }

    /// Replaces the disk by an empty one.
    pub fn wipe(&mut self, folder: u64) {
        self.durable = node::Durable::default();
        self.folder = folder;
    }

    pub fn write(&mut self, write: write::Write) {
        self.unsynced.push_back(write);
    }

    /// Syncs the writes up to a number.
    pub fn sync(&mut self, mark: u64) {
        while self.unsynced.front().is_some_and(|write| write.number <= mark) {
            let write = self.unsynced.pop_front().expect("looked at");
            self.durable.apply(&write);
        }
    }

    pub fn step(&mut self, now: u64, event: event::Event) -> Vec<action::Action> {
        let local = self.clock.local(now);
        self.core.as_mut().map_or_else(Vec::new, |core| core.step(local, event))
    }
}

/// Names of the control instances.
pub fn names() -> Vec<name::Instance> {
    ["c1", "c2", "c3"].into_iter().map(name::Instance::from).collect()
}
