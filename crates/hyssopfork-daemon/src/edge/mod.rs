//! The shell of an edge process: entry and control of a fleet whose upstreams register themselves.
//!
//! One thread owns control state ([`control`]), one carries callers' traffic ([`traffic`]), one
//! writes the journal ([`folder`]).

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
