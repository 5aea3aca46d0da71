//! Replicated log as a step function, and its journal on disk.

pub mod write;
