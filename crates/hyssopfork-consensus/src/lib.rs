//! Raft consensus: a replicated log as a step function, and its journal on disk.
//!
//! [`node::Node`] is a deterministic state machine without access to network, clock or disk;
//! [`journal::Journal`] stores the writes that it requests. The owner of both passes events in and
//! carries out the resulting actions:
//!
//! 1. open the journal and pass its identity and the recovered state to [`node::Node::new`];
//! 2. step the node with each received message, each completed write, and a tick at least every
//!    20 ms;
//! 3. carry out the actions in order. Messages may be lost; a failed write must end the process.

pub mod action;
pub mod error;
pub mod event;
pub mod journal;
mod log;
pub mod node;
pub mod notice;
pub mod proposals;
mod quorum;
pub mod recovery;
pub mod report;
pub mod voters;
pub mod write;
