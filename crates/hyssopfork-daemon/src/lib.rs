//! Daemon of the control, entry and agent roles.
//!
//! A thin shell: sockets, files and timers are turned into events for the roles' step functions,
//! and their actions back. What decides stands in the role packages.

pub mod agent;
pub mod clock;
pub mod command;
pub mod control;
pub mod edge;
pub mod entry;
pub mod http;
pub mod listener;
pub mod log;
pub mod mailbox;
pub mod monitor;
pub mod notice;
pub mod problem;
pub mod process;
pub mod rpc;
pub mod running;
