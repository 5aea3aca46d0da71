//! Settings of one process, in JSON with comments (JSONC).
//!
//! All faults of a file are reported at once, each with its line and column, so that they can be
//! fixed in one pass. Each section of the file has its own module.

pub mod agent;
pub mod control;
pub mod edge;
pub mod entry;
pub mod error;
pub mod fault;
pub mod jsonc;
pub mod log;
pub mod section;
pub mod settings;
