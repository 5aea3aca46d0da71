//! Edge process: runs the entry and control roles for upstreams that register themselves.
//!
//! One thread owns the control state ([`control`]), one serves client requests ([`traffic`]), one
//! writes the journal ([`journal`]) and one saves the view ([`view_store`]).

pub mod attempt;
pub mod connection_pool;
pub mod control;
pub mod endpoints;
pub mod engine;
pub mod handler;
pub mod http_server;
pub mod journal;
pub mod memory;
pub mod occupancy;
pub mod peers;
pub mod process;
pub mod traffic;
pub mod view_store;
