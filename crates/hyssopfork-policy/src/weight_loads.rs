//! Concurrency limit for model weight loads from a rate-limited weight store.
//!
//! When a rack or a fabric domain is lost, many members must load weights from a store with a fixed
//! total rate. If all loads ran at once they would share that rate and all end at the very end:
//! with twenty groups to repair, no group would serve before the time of twenty loads.
//!
//! Only as many loads run at once as the store serves at full speed each. The others are left
//! undecided, so that the next load is chosen by the state at that time.

/// Capacity of the weight store, and its use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Loads (one instance each) that the store serves at full speed at once; at least 1.
    pub limit: u32,
    /// Loads in progress.
    pub running: u32,
}

impl Budget {
    /// Whether `loads` more may start together. A set larger than the whole limit starts when no
    /// load is in progress: it could never start otherwise.
    pub fn allows(&self, loads: u32) -> bool {
        loads == 0 || self.running == 0 || self.running + loads <= self.limit.max(1)
    }

    /// Counts `loads` that start.
    pub fn start(&mut self, loads: u32) {
        self.running += loads;
    }
}
