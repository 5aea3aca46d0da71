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
pub const KEPT: usize = 32_768;

/// Entry processes that are remembered, each at least by its floor.
pub const BOOTS: usize = 16_384;

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
pub enum Recall {
    /// Nothing: it was never seen.
    Unseen,
    /// It is dead, and this was its end.
    Dead(End),
    /// It is below the floor: dead or never seen, nobody can say, and it never starts.
    Folded,
}

#[derive(Clone, Debug, Default)]
struct Boot {
    floor: u64,
    dead: BTreeMap<u64, End>,
    touched: u64,
}

/// The memory.
///
/// Invariant: an identifier that was once dead or folded is never unseen again, while fewer than
/// [`BOOTS`] other entry processes have been heard since its own was.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    boots: BTreeMap<u64, Boot>,
    /// Invariant: the number of identifiers kept singly, in all boots.
    kept: usize,
    clock: u64,
}

impl Memory {
    /// What is remembered of `attempt`.
    pub fn recall(&self, attempt: attempt::Identifier) -> Recall {
        let Some(boot) = self.boots.get(&attempt.boot) else { return Recall::Unseen };
        match boot.dead.get(&attempt.count) {
            Some(end) => Recall::Dead(*end),
            None if attempt.count < boot.floor => Recall::Folded,
            None => Recall::Unseen,
        }
    }

    /// Remembers that `attempt` is dead; the first end that was told stays.
    pub fn bury(&mut self, attempt: attempt::Identifier, end: End) {
        self.clock += 1;
        let boot = self.boots.entry(attempt.boot).or_default();
        boot.touched = self.clock;
        let before = boot.dead.len();
        boot.dead.entry(attempt.count).or_insert(end);
        self.kept += boot.dead.len() - before;
        if self.kept > KEPT {
            self.fold_largest();
        }
        if self.boots.len() > BOOTS {
            self.forget_oldest();
        }
    }

    fn fold_largest(&mut self) {
        let Some(boot) = self.boots.values_mut().max_by_key(|boot| boot.dead.len()) else { return };
        let half = boot.dead.len().div_ceil(2);
        for _ in 0..half {
            let Some((count, _)) = boot.dead.pop_first() else { break };
            boot.floor = boot.floor.max(count + 1);
        }
        self.kept -= half;
    }

    fn forget_oldest(&mut self) {
        let oldest = self.boots.iter().min_by_key(|(_, boot)| boot.touched);
        if let Some(boot) = oldest.map(|(boot, _)| *boot) {
            let forgotten = self.boots.remove(&boot);
            self.kept -= forgotten.map_or(0, |boot| boot.dead.len());
        }
    }
}
