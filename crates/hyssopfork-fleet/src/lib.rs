//! Control of a fleet whose upstreams register themselves.
//!
//! Every process of the system holds a [`core::Core`]. Those with a data folder keep a replicated
//! log of what must survive (the declaration in force, zones taken out); the leader of that log
//! also keeps what can be learned anew (registered upstreams, serving groups) and publishes all of
//! it as one versioned [`view`], which the others follow.
//!
//! Where each decision stands: [`declaration`] (what operators may declare), [`durable`] (the
//! replicated state), [`registry`] (which call of an upstream counts), [`groups`] (which serving
//! groups there are and where), [`board`] (who is told what), [`seeking`] (how a process finds the
//! leader), [`founding`] (which folder forms the log).

pub mod action;
pub mod announcement;
pub mod bootstrap;
pub mod core;
pub mod declaration;
pub mod discovery;
pub mod document;
pub mod durable;
pub mod event;
pub mod groups;
pub mod notice;
pub mod peer;
pub mod publication;
pub mod quarantine;
pub mod rate;
pub mod registry;
pub mod settings;
pub mod view;
