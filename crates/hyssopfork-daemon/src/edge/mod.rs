//! Edge process: runs the entry and control roles for upstreams that register themselves.
//!
//! One thread owns the control state ([`control`]), one serves client requests ([`traffic`]) and
//! one writes the journal ([`folder`]).

pub mod attempt;
pub mod control;
pub mod conversation;
pub mod doors;
pub mod engine;
pub mod folder;
pub mod peers;
pub mod pool;
pub mod process;
pub mod traffic;
pub mod web;
