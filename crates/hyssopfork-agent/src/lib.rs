//! Agent role as a step function.
//!
//! The agent is the one gate before its back end: entries are many and may know the fleet late,
//! so whatever must hold for one upstream is decided here.

pub mod action;
pub mod attempts;
pub mod core;
pub mod engine;
pub mod event;
pub mod gate;
pub mod grants;
mod group;
pub mod memory;
pub mod notice;
mod offers;
pub mod standing;
