//! Long polls: calls that are held until the view changes.

use hyssopfork_wire::{clock, name, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Most calls held at once; at the planned size 380 daemons and 4,800 agents hold one each.
pub const LIMIT: usize = 16_384;

/// Least time between two rounds of responses, for each held call.
///
/// When a fleet starts or a zone returns, thousands of instances announce themselves within a
/// second. Sending each change to every watcher by itself would take 4,800 times 5,000 responses
/// and leave the leader no time for anything else. In rounds, each watcher gets all changes since
/// the last round in one response. 30 watchers wait a millisecond for the next round, 5,000 a tenth
/// of a second.
pub const PAUSE_EACH: Duration = Duration::from_micros(20);

/// A held call.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Number of the call.
    pub call: u64,
    /// Version of the watcher's view.
    pub have: number::Version,
    /// When the call is answered even if nothing has changed.
    pub until: clock::Instant,
    /// Instance whose part of the view is watched; `None` for the whole view.
    pub scope: Option<name::Instance>,
}

/// The held calls.
#[derive(Debug, Default)]
pub struct Watches {
    held: BTreeMap<u64, Watch>,
    /// Whether a watcher's view may be stale.
    behind: bool,
    /// When the last round of responses was given.
    answered: clock::Instant,
}

impl Watches {
    /// Holds a call; returns whether there was room.
    pub fn hold(&mut self, watch: Watch) -> bool {
        if self.held.len() >= LIMIT {
            return false;
        }
        self.held.insert(watch.call, watch);
        true
    }

    /// Records that the view has changed, so that watchers may be stale.
    pub fn fall_behind(&mut self) {
        self.behind = !self.held.is_empty();
    }

    /// If a round is due, removes the calls for which `is_stale` holds and returns them.
    pub fn round(&mut self, now: clock::Instant, behind: impl Fn(&Watch) -> bool) -> Vec<Watch> {
        let pause = PAUSE_EACH * self.held.len() as u32;
        if !self.behind || now.since(self.answered) < pause {
            return Vec::new();
        }
        self.behind = false;
        self.answered = now;
        self.held.extract_if(.., |_, watch| behind(watch)).map(|(_, watch)| watch).collect()
    }

    /// Removes a call whose connection closed.
    pub fn abandon(&mut self, call: u64) {
        self.held.remove(&call);
    }

    /// Removes the calls whose deadline has passed and returns them.
    pub fn due(&mut self, now: clock::Instant) -> Vec<Watch> {
        self.held.extract_if(.., |_, watch| watch.until <= now).map(|(_, watch)| watch).collect()
    }

    /// Removes all calls and returns them.
    pub fn drain(&mut self) -> Vec<Watch> {
        mem::take(&mut self.held).into_values().collect()
    }
}
