//! Long polls: calls that are held until the view changes.

use hyssopfork_wire::{clock, name, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Most calls held at once; at the planned size 380 daemons and 4,800 agents hold one each.
pub const MAX_WATCHES: usize = 16_384;

/// Least time between two rounds of responses, for each held call.
///
/// When a fleet starts or a zone returns, thousands of instances announce themselves within a
/// second. Sending each change to every watcher by itself would take 4,800 times 5,000 responses
/// and leave the leader no time for anything else. In rounds, each watcher gets all changes since
/// the last round in one response. 30 watchers wait a millisecond for the next round, 5,000 a tenth
/// of a second.
pub const MIN_ROUND_INTERVAL_PER_WATCH: Duration = Duration::from_micros(20);

/// A held call.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Number of the call.
    pub call: u64,
    /// Version of the watcher's view.
    pub version: number::Version,
    /// When the call is answered even if nothing has changed.
    pub deadline: clock::Instant,
    /// Instance whose part of the view is watched; `None` for the whole view.
    pub scope: Option<name::Instance>,
}

/// The held calls.
#[derive(Debug, Default)]
pub struct Watches {
    watches: BTreeMap<u64, Watch>,
    /// Whether a watcher's view may be stale.
    maybe_stale: bool,
    /// When the last round of responses was given.
    last_round: clock::Instant,
}

impl Watches {
    /// Holds a call; returns whether there was room.
    pub fn hold(&mut self, watch: Watch) -> bool {
        if self.watches.len() >= MAX_WATCHES {
            return false;
        }
        self.watches.insert(watch.call, watch);
        true
    }

    /// Records that the view has changed, so that watchers may be stale.
    pub fn mark_stale(&mut self) {
        self.maybe_stale = !self.watches.is_empty();
    }

    /// If a round is due, removes the calls for which `is_stale` holds and returns them.
    pub fn take_stale(
        &mut self,
        now: clock::Instant,
        is_stale: impl Fn(&Watch) -> bool,
    ) -> Vec<Watch> {
        let min_interval = MIN_ROUND_INTERVAL_PER_WATCH * self.watches.len() as u32;
        if !self.maybe_stale || now.since(self.last_round) < min_interval {
            return Vec::new();
        }
        self.maybe_stale = false;
        self.last_round = now;
        self.watches.extract_if(.., |_, watch| is_stale(watch)).map(|(_, watch)| watch).collect()
    }

    /// Removes a call whose connection closed.
    pub fn remove(&mut self, call: u64) {
        self.watches.remove(&call);
    }

    /// Removes the calls whose deadline has passed and returns them.
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<Watch> {
        self.watches
            .extract_if(.., |_, watch| watch.deadline <= now)
            .map(|(_, watch)| watch)
            .collect()
    }

    /// Removes all calls and returns them.
    pub fn take_all(&mut self) -> Vec<Watch> {
        mem::take(&mut self.watches).into_values().collect()
    }
}
