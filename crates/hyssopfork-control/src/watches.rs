//! Calls that are held until the view moves.

use hyssopfork_wire::{clock, number, timing};
use std::collections::BTreeMap;
use std::mem;

/// Most calls that are held; at the size foreseen 380 daemons and 4,800 agents hold one each.
pub const LIMIT: usize = 16_384;

/// A held call.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The call.
    pub call: u64,
    /// Version that the watcher has.
    pub have: number::Version,
    /// When it is answered at the latest.
    pub until: clock::Instant,
}

/// Held calls.
#[derive(Debug, Default)]
pub struct Watches {
    held: BTreeMap<u64, Watch>,
}

impl Watches {
    /// Holds a call; returns whether there was room.
    pub fn hold(&mut self, now: clock::Instant, call: u64, have: number::Version) -> bool {
        if self.held.len() >= LIMIT {
            return false;
        }
        let until = now + timing::WATCH_HOLD;
        self.held.insert(call, Watch { call, have, until });
        true
    }

    /// Lets go of a call whose connection closed.
    pub fn abandon(&mut self, call: u64) {
        self.held.remove(&call);
    }

    /// Takes the calls whose time is up.
    pub fn due(&mut self, now: clock::Instant) -> Vec<Watch> {
        self.held.extract_if(.., |_, watch| watch.until <= now).map(|(_, watch)| watch).collect()
    }

    /// Takes all calls.
    pub fn drain(&mut self) -> Vec<Watch> {
        mem::take(&mut self.held).into_values().collect()
    }
}
