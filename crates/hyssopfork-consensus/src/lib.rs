//! Replicated log as a step function, and its journal on disk.
//!
//! [`node::Node`] decides and touches neither network, clock nor disk; [`journal::Journal`] keeps
//! what it asks to be written. The owner of both carries events in and actions out:
//!
//! 1. open the journal, hand its identity and what it recovered to [`node::Node::new`];
//! 2. step the node with each message, with each finished write, and with a tick at least every
//!    20 ms;
//! 3. carry out the actions in order. Messages may be lost; a write that fails ends the process.

pub mod action;
pub mod error;
pub mod event;
pub mod journal;
mod log;
pub mod node;
pub mod notice;
pub mod proposals;
pub mod recovery;
pub mod voters;
pub mod write;
