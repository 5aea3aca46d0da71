//! Control of a fleet whose upstreams register themselves.
//!
//! Every process of the system runs a [`core::Core`]. Processes with a data folder replicate a log
//! of the state that must survive restarts: the declaration in force and the zones taken out. The
//! leader of that log also holds the state that upstreams report again after a restart (registered
//! upstreams, serving groups) and publishes everything as one versioned [`view`], which the other
//! processes follow.
//!
//! - [`declaration`]: what operators may declare
//! - [`durable`]: the replicated state
//! - [`registry`]: which upstream calls are applied and which are stale
//! - [`precedence`]: which of an upstream's calls and reports is newer
//! - [`heartbeats`]: which heartbeats followers accept in place of the leader
//! - [`groups`]: which serving groups exist and where
//! - [`publication`]: which changes each follower is sent
//! - [`delta`]: how an update is transferred
//! - [`link`]: how much of a process's link updates may use
//! - [`discovery`]: how a process finds the leader
//! - [`read_refusal`]: what is logged of reads that are refused
//! - [`bootstrap`]: which data folder forms the log on the first start

pub mod acknowledgement;
pub mod action;
pub mod announcement;
pub mod bootstrap;
pub mod core;
pub mod declaration;
pub mod delta;
pub mod discovery;
pub mod document;
pub mod durable;
pub mod event;
pub mod groups;
pub mod heartbeats;
pub mod link;
pub mod notice;
pub mod peer;
pub mod precedence;
pub mod publication;
pub mod quarantine;
pub mod rate;
pub mod read_refusal;
pub mod registry;
pub mod relays;
pub mod seats;
pub mod settings;
pub mod view;
