//! Identifiers that must never start any more.
//!
//! An offer can arrive long after the entry has given the attempt up: held back by the network,
//! or sent twice. If the agent had forgotten by then that the attempt was cancelled or refused,
//! the work would run although the caller was told that it didn't. So a dead identifier is kept,
//! and when there are too many the oldest of one entry's process are folded into a floor below
//! which that process's identifiers never start.

use hyssopfork_wire::attempt;
use std::collections::BTreeMap;

/// Identifiers kept singly, of all entry processes together: 0.77 MB measured. Over it, the
/// process with the most loses the older half of its. An entry numbers its attempts in order, so
/// what is folded was given up long ago: at a thousand attempts a second, 16 s ago and more.
pub const MAX_TOMBSTONES: usize = 32_768;

/// Entry processes that are remembered, each at least by its floor.
pub const MAX_BOOTS: usize = 16_384;

/// How an attempt died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It never started.
    NeverStarted,
    /// It started, and its answer did not come whole.
    Started,
    /// It ran to its end.
    Finished,
}

/// What is remembered of an identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing: it was never seen.
    Unseen,
    /// It is dead, and this was its end.
    Ended(End),
    /// It is below the floor: dead or never seen, nobody can say, and it never starts.
    Compacted,
}

#[derive(Clone, Debug, Default)]
struct Boot {
    low_water_mark: u64,
    tombstones: BTreeMap<u64, End>,
    last_used: u64,
}

/// The memory.
///
/// Invariant: an identifier that was once dead or folded is never unseen again, while fewer than
/// [`BOOTS`] other entry processes have been heard since its own was.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    boots: BTreeMap<u64, Boot>,
    /// Invariant: the number of identifiers kept singly, in all boots.
    total: usize,
    uses: u64,
}

impl Tombstones {
    /// What is remembered of `attempt`.
    pub fn lookup(&self, attempt: attempt::Identifier) -> Lookup {
        let Some(boot) = self.boots.get(&attempt.boot) else { return Lookup::Unseen };
        match boot.tombstones.get(&attempt.count) {
            Some(end) => Lookup::Ended(*end),
            None if attempt.count < boot.low_water_mark => Lookup::Compacted,
            None => Lookup::Unseen,
        }
    }

    /// Remembers that `attempt` is dead; the first end that was told stays.
    pub fn insert(&mut self, attempt: attempt::Identifier, end: End) {
        self.uses += 1;
        let boot = self.boots.entry(attempt.boot).or_default();
        boot.last_used = self.uses;
        let before = boot.tombstones.len();
        boot.tombstones.entry(attempt.count).or_insert(end);
        self.total += boot.tombstones.len() - before;
        if self.total > MAX_TOMBSTONES {
            self.compact_largest();
        }
        if self.boots.len() > MAX_BOOTS {
            self.evict_least_recent();
        }
    }

    fn compact_largest(&mut self) {
        let Some(boot) = self.boots.values_mut().max_by_key(|boot| boot.tombstones.len()) else {
            return;
        };
        let half = boot.tombstones.len().div_ceil(2);
        for _ in 0..half {
            let Some((count, _)) = boot.tombstones.pop_first() else { break };
            boot.low_water_mark = boot.low_water_mark.max(count + 1);
        }
        self.total -= half;
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.boots.iter().min_by_key(|(_, boot)| boot.last_used);
        if let Some(boot) = oldest.map(|(boot, _)| *boot) {
            let evicted = self.boots.remove(&boot);
            self.total -= evicted.map_or(0, |boot| boot.tombstones.len());
        }
    }
}
