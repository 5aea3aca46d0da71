//! Pacing of weight loads under a rate-limited weight store.
//!
//! *Pattern.* A rack or domain goes; many members must load weights at once from a store that
//! gives a fixed number of bytes a second in all.
//!
//! *Without it.* All loads share the store's rate and all end together, at the very end: with
//! twenty groups to mend, no group serves before the time of twenty loads.
//!
//! *Rule.* Only as many loads run at once as the store serves at full speed each; the others wait
//! undecided, so that what is loaded next is chosen by what is known then.

/// What the weight store bears and what runs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Loads (one instance each) that the store serves at full speed at once; at least 1.
    pub limit: u32,
    /// Loads that run now.
    pub running: u32,
}

impl Budget {
    /// Whether `loads` more may start together. What is larger than the whole limit starts when
    /// nothing else runs: it could never start otherwise.
    pub fn allows(&self, loads: u32) -> bool {
        loads == 0 || self.running == 0 || self.running + loads <= self.limit.max(1)
    }

    /// Counts `loads` that start.
    pub fn start(&mut self, loads: u32) {
        self.running += loads;
    }
}
