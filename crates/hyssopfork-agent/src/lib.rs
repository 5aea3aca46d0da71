//! Agent role: admission control in front of one upstream, as a state machine without I/O.
//!
//! Every request to the upstream passes its agent. There are many entries, and their views of the
//! fleet may be stale, so each condition that must hold for one upstream is enforced here.

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
