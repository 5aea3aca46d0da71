//! The latest steps of the view, kept to update watchers incrementally.

use hyssopfork_wire::{change, number};
use std::collections::VecDeque;

/// Most steps that are retained.
pub const COUNT_LIMIT: usize = 1_024;

/// Most encoded bytes of steps that are retained. A declaration of a large fleet takes about a
/// megabyte, and a thousand of them must not fill memory.
pub const WEIGHT_LIMIT: u64 = 8 << 20;

/// The latest steps.
#[derive(Debug)]
pub struct Steps {
    kept: VecDeque<(change::Step, u64)>,
    /// Invariant: a view of this version or newer is brought up to date by `retained`.
    floor: number::Version,
    /// Invariant: the sum of the sizes in `retained`.
    weight: u64,
}

impl Steps {
    /// Creates an empty list for a view at `version`.
    pub fn new(version: number::Version) -> Steps {
        Steps { kept: VecDeque::new(), floor: version, weight: 0 }
    }

    /// Adds a step and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, step: change::Step) {
        let weight = bincode::serialized_size(&step).unwrap_or(WEIGHT_LIMIT);
        self.weight += weight;
        self.kept.push_back((step, weight));
        while self.kept.len() > COUNT_LIMIT || self.weight > WEIGHT_LIMIT {
            let Some((step, weight)) = self.kept.pop_front() else { return };
            self.floor = step.version;
            self.weight -= weight;
        }
    }

    /// Oldest version from which the retained steps lead to the newest one.
    pub fn floor(&self) -> number::Version {
        self.floor
    }

    /// Update that brings a watcher from `version` to `view`; `None` when the watcher is ahead.
    pub fn update(&self, view: &change::View, have: number::Version) -> Option<change::Update> {
        // A holder is ahead only if this control lost entries that it had acknowledged, or belongs
        // to another fleet. Answered as current, the holder would get a lease on a view that
        // this control has never accepted.
        if have > view.version {
            return None;
        }
        if have == view.version {
            return Some(change::Update::Current);
        }
        // A watcher without a view gets the whole one: it is smaller than the steps to it.
        if have < self.floor || have == number::Version::default() {
            return Some(change::Update::Whole(Box::new(view.clone())));
        }
        let newer = self.kept.iter().filter(|(step, _)| step.version > have);
        Some(change::Update::Steps(newer.map(|(step, _)| step.clone()).collect()))
    }
}
