//! Calls that are held until the view moves.

use hyssopfork_wire::{clock, name, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

/// Most calls that are held; at the size foreseen 380 daemons and 4,800 agents hold one each.
pub const LIMIT: usize = 16_384;

/// Least time between two rounds of answers for each held call.
///
/// When a fleet starts or a zone comes back, thousands of instances announce themselves within a
/// second and every watcher would be told of each by itself: 4,800 times 5,000 answers, and the
/// leader would send nothing else. Answered in rounds, each watcher gets the changes of a round in
/// one answer. 30 watchers wait a millisecond for the next round, 5,000 a tenth of a second.
pub const PAUSE_EACH: Duration = Duration::from_micros(20);

/// A held call.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The call.
    pub call: u64,
    /// Version that the watcher has.
    pub have: number::Version,
    /// When it is answered at the latest.
    pub until: clock::Instant,
    /// Instance that the watcher needs to hear of; `None` for the whole view.
    pub scope: Option<name::Instance>,
}

/// Held calls.
#[derive(Debug, Default)]
pub struct Watches {
    held: BTreeMap<u64, Watch>,
    /// Whether some watcher may be behind the view.
    behind: bool,
    /// When the last round of answers was given.
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

    /// Notes that watchers may be behind the view.
    pub fn fall_behind(&mut self) {
        self.behind = !self.held.is_empty();
    }

    /// Takes the calls of watchers that are `behind`, if a round of answers is due.
    pub fn round(&mut self, now: clock::Instant, behind: impl Fn(&Watch) -> bool) -> Vec<Watch> {
        let pause = PAUSE_EACH * self.held.len() as u32;
        if !self.behind || now.since(self.answered) < pause {
            return Vec::new();
        }
        self.behind = false;
        self.answered = now;
        self.held.extract_if(.., |_, watch| behind(watch)).map(|(_, watch)| watch).collect()
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
