//! Lease, view and choice of control instance of entries and agents, as a step function.

pub mod lease;
pub mod notice;
pub mod target;
pub mod watcher;
