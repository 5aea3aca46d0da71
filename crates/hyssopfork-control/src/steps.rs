//! The newest steps of the view, kept to lead watchers on by differences.

use hyssopfork_wire::{change, number};
use std::collections::VecDeque;

/// Most steps that are kept.
pub const COUNT_LIMIT: usize = 1_024;

/// Most bytes of steps that are kept, as encoded. A declaration of a large fleet takes about a
/// megabyte, and a thousand of them must not fill memory.
pub const WEIGHT_LIMIT: u64 = 8 << 20;

/// The newest steps.
#[derive(Debug)]
pub struct Steps {
    kept: VecDeque<(change::Step, u64)>,
    /// Invariant: a view of this version or newer is led to the newest one by `kept`.
    floor: number::Version,
    /// Invariant: the sum of the weights in `kept`.
    weight: u64,
}

impl Steps {
    /// No steps yet after `version`.
    pub fn new(version: number::Version) -> Steps {
        Steps { kept: VecDeque::new(), floor: version, weight: 0 }
    }

    /// Keeps a step.
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

    /// Version that a view must have at least to be led on by the kept steps.
    pub fn floor(&self) -> number::Version {
        self.floor
    }

    /// What leads a watcher at version `have` to `view`; `None` when it is ahead of it.
    pub fn update(&self, view: &change::View, have: number::Version) -> Option<change::Update> {
        // A holder can be ahead only of an instance that lost what it had acknowledged, or of
        // another fleet's control. Answered as "current", it would hold a lease on a view that
        // this control has never accepted.
        if have > view.version {
            return None;
        }
        if have == view.version {
            return Some(change::Update::Current);
        }
        // A watcher without a view gets it whole: it is smaller than the steps that made it.
        if have < self.floor || have == number::Version::default() {
            return Some(change::Update::Whole(Box::new(view.clone())));
        }
        let newer = self.kept.iter().filter(|(step, _)| step.version > have);
        Some(change::Update::Steps(newer.map(|(step, _)| step.clone()).collect()))
    }
}
