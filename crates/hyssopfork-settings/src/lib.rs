//! Settings of one process: JSON with comments, checked whole.
//!
//! Every fault of a file is reported at once, each with its line and column, so that a file is
//! mended in one go. A module per section of the file.

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
