//! Daemon of the control, entry and agent roles.
//!
//! This crate does the input and output: it passes what comes from sockets, files and timers to the
//! roles' step functions as events and performs the actions that these return. All decisions are
//! made in the role packages.

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
