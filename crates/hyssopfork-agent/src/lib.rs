//! Agent role as a step function.
//!
//! The agent is the one gate before its back end: entries are many and may know the fleet late,
//! so whatever must hold for one upstream is decided here.

pub mod action;
pub mod admission;
pub mod attempts;
pub mod core;
pub mod event;
pub mod given_grants;
mod group;
pub mod held_grants;
pub mod monitor;
pub mod notice;
mod offers;
pub mod tombstones;
