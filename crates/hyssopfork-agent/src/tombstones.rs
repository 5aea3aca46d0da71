//! Tombstones: identifiers of ended attempts, which must never start again.
//!
//! An offer can arrive long after the entry gave up the attempt, because the network delayed or
//! duplicated it. If the agent no longer knew that the attempt was cancelled or rejected, the
//! request would run although the client was told that it did not. So each ended identifier is
//! kept. If there are too many, the oldest ones of one entry process are compacted into a low-water
//! mark, below which no identifier of that process ever starts.

use hyssopfork_wire::attempt;
use std::collections::BTreeMap;

/// Maximum number of tombstones of all entry processes together, which take 0.77 MB. Above it, the
/// older half of the process with the most is compacted. An entry numbers its attempts in order, so
/// these were given up long ago: at 1000 attempts per second, at least 16 s ago.
pub const MAX_TOMBSTONES: usize = 32_768;

/// Maximum number of entry processes that are kept, each at least by its low-water mark.
pub const MAX_BOOTS: usize = 16_384;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It never started.
    NeverStarted,
    /// It started, and its response is incomplete.
    Started,
    /// It ran to completion.
    Finished,
}

/// Result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Never seen.
    Unseen,
    /// Ended, and how.
    Ended(End),
    /// Below the low-water mark: ended or never seen, which cannot be told apart; it never starts.
    Compacted,
}

#[derive(Clone, Debug, Default)]
struct Boot {
    low_water_mark: u64,
    tombstones: BTreeMap<u64, End>,
    last_used: u64,
}

/// Tombstones of all entry processes.
///
/// Invariant: an identifier that has ended or was compacted is never unseen again, as long as
/// attempts of fewer than [`MAX_BOOTS`] other entry processes have ended since one of its own
/// process.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    boots: BTreeMap<u64, Boot>,
    /// Invariant: the number of tombstones in all boots.
    total: usize,
    uses: u64,
}

impl Tombstones {
    /// Looks up `attempt`.
    pub fn lookup(&self, attempt: attempt::Identifier) -> Lookup {
        let Some(boot) = self.boots.get(&attempt.boot) else { return Lookup::Unseen };
        match boot.tombstones.get(&attempt.count) {
            Some(end) => Lookup::Ended(*end),
            None if attempt.count < boot.low_water_mark => Lookup::Compacted,
            None => Lookup::Unseen,
        }
    }

    /// Records that `attempt` has ended; the first recorded end stays.
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
