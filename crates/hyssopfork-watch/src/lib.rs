//! Watcher of entries and agents: keeps the view current under a lease, and selects the control
//! instance to ask. A state machine without I/O.

pub mod lease;
pub mod notice;
pub mod target;
pub mod watcher;
