//! Back end of one instance. It checks the work that it is given in true time.

use hyssopfork_wire::{attempt, number};
use std::collections::BTreeMap;

/// Concurrent work of a cold back end.
const COLD_CAPACITY: f64 = 2.0;

/// Growth of the capacity per completed piece of work.
const WARM_UP_STEP: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct Running {
    pub fence: Option<number::Fence>,
    pub parts: Vec<String>,
    pub stream: bool,
}

pub struct Upstream {
    pub incarnation: u32,
    pub alive: bool,
    pub engine: bool,
    pub cancels: bool,
    pub concurrency: u32,
    /// Fencing number of the last order that it executed, even a late one.
    pub loaded_fence: Option<number::Fence>,
    pub running: BTreeMap<attempt::Identifier, Running>,
    warm_capacity: f64,
    /// True time of the last start.
    pub started_at: u64,
    /// True time of the last crash.
    pub failed_at: Option<u64>,
}

impl Upstream {
    pub fn new(engine: bool, cancels: bool) -> Upstream {
        Upstream {
            incarnation: 1,
            alive: true,
            engine,
            cancels,
            concurrency: 6,
            loaded_fence: None,
            running: BTreeMap::new(),
            warm_capacity: COLD_CAPACITY,
            started_at: 0,
            failed_at: None,
        }
    }

    pub fn capacity(&self) -> u32 {
        self.warm_capacity.min(f64::from(self.concurrency)) as u32
    }

    pub fn complete(&mut self, attempt: attempt::Identifier) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        self.warm_capacity += WARM_UP_STEP;
        Some(running)
    }

    /// Executes an order, whatever its fencing number.
    pub fn load(&mut self, fence: number::Fence) {
        if self.loaded_fence != Some(fence) {
            self.running.clear();
        }
        self.loaded_fence = Some(fence);
        self.warm_capacity = COLD_CAPACITY;
    }

    /// Crashes, and stays down until [`Upstream::restart`].
    pub fn crash(&mut self, now: u64) {
        self.alive = false;
        self.failed_at = Some(now);
        self.running.clear();
    }

    pub fn restart(&mut self, now: u64) {
        self.alive = true;
        self.incarnation += 1;
        self.loaded_fence = None;
        self.warm_capacity = COLD_CAPACITY;
        self.started_at = now;
    }
}
