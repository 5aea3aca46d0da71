//! Back end of one instance, which checks in true time what it is given.

use hyssopfork_wire::{attempt, number};
use std::collections::BTreeMap;

/// Concurrent work that a cold back end bears.
const COLD_BEARS: f64 = 2.0;

/// Growth of what it bears with each completed piece of work.
const WARMS_BY: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct Running {
    pub fence: Option<number::Fence>,
    pub parts: Vec<String>,
    pub stream: bool,
}

pub struct Upstream {
    pub life: u32,
    pub alive: bool,
    pub engine: bool,
    pub cancels: bool,
    pub concurrency: u32,
    /// Fencing number of the last order that it took, also a late one.
    pub loaded: Option<number::Fence>,
    pub running: BTreeMap<attempt::Identifier, Running>,
    bears: f64,
    /// True time of the last start.
    pub started: u64,
    /// True time of the last end, while it is down or had its model taken.
    pub fell: Option<u64>,
}

impl Upstream {
    pub fn new(engine: bool, cancels: bool) -> Upstream {
        Upstream {
            life: 1,
            alive: true,
            engine,
            cancels,
            concurrency: 6,
            loaded: None,
            running: BTreeMap::new(),
            bears: COLD_BEARS,
            started: 0,
            fell: None,
        }
    }

    pub fn bears(&self) -> u32 {
        self.bears.min(f64::from(self.concurrency)) as u32
    }

    pub fn complete(&mut self, attempt: attempt::Identifier) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        self.bears += WARMS_BY;
        Some(running)
    }

    /// Takes an order, whatever its fencing number.
    pub fn load(&mut self, fence: number::Fence) {
        if self.loaded != Some(fence) {
            self.running.clear();
        }
        self.loaded = Some(fence);
        self.bears = COLD_BEARS;
    }

    /// Dies and, unless it stays away, is back at once as a new process.
    pub fn fall(&mut self, now: u64) {
        self.alive = false;
        self.fell = Some(now);
        self.running.clear();
    }

    pub fn rise(&mut self, now: u64) {
        self.alive = true;
        self.life += 1;
        self.loaded = None;
        self.bears = COLD_BEARS;
        self.started = now;
    }
}
