//! Entry role as a deterministic state machine: events in, actions out.
//!
//! An entry accepts clients' requests, chooses upstreams and gives each request exactly one final
//! response: the complete response, an aborted one that is marked as such, or a rejection that says
//! whether the work may have run.

pub mod action;
pub mod attempt;
mod attempt_events;
mod claims;
mod completion;
pub mod core;
mod dispatch;
pub mod estimate;
pub mod event;
pub mod measurement;
pub mod notice;
pub mod pool;
pub mod request;
pub mod routing;
pub mod sse;
