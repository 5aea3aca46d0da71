//! The latest steps of the view, kept to update watchers incrementally.

use hyssopfork_wire::{change, number};
use std::collections::VecDeque;

/// Most steps that are retained.
pub const MAX_STEPS: usize = 1_024;

/// Most encoded bytes of steps that are retained. A declaration of a large fleet takes about a
/// megabyte, and a thousand of them must not fill memory.
pub const MAX_BYTES: u64 = 8 << 20;

/// The latest steps.
#[derive(Debug)]
pub struct Steps {
    retained: VecDeque<(change::Step, u64)>,
    /// Invariant: a view of this version or newer is brought up to date by `retained`.
    base_version: number::Version,
    /// Invariant: the sum of the sizes in `retained`.
    bytes: u64,
}

impl Steps {
    /// Creates an empty list for a view at `version`.
    pub fn new(version: number::Version) -> Steps {
        Steps { retained: VecDeque::new(), base_version: version, bytes: 0 }
    }

    /// Adds a step and evicts the oldest ones beyond the limits.
    pub fn push(&mut self, step: change::Step) {
        let bytes = bincode::serialized_size(&step).unwrap_or(MAX_BYTES);
        self.bytes += bytes;
        self.retained.push_back((step, bytes));
        while self.retained.len() > MAX_STEPS || self.bytes > MAX_BYTES {
            let Some((step, bytes)) = self.retained.pop_front() else { return };
            self.base_version = step.version;
            self.bytes -= bytes;
        }
    }

    /// Oldest version from which the retained steps lead to the newest one.
    pub fn base_version(&self) -> number::Version {
        self.base_version
    }

    /// Update that brings a watcher from `version` to `view`; `None` when the watcher is ahead.
    pub fn update(&self, view: &change::View, version: number::Version) -> Option<change::Update> {
        // A holder is ahead only if this control lost entries that it had acknowledged, or belongs
        // to another fleet. Answered as current, the holder would get a lease on a view that
        // this control has never accepted.
        if version > view.version {
            return None;
        }
        if version == view.version {
            return Some(change::Update::Current);
        }
        // A watcher without a view gets the whole one: it is smaller than the steps to it.
        if version < self.base_version || version == number::Version::default() {
            return Some(change::Update::Whole(Box::new(view.clone())));
        }
        let newer = self.retained.iter().filter(|(step, _)| step.version > version);
        Some(change::Update::Steps(newer.map(|(step, _)| step.clone()).collect()))
    }
}
