//! Entry role as a step function.
//!
//! An entry takes callers' requests, chooses upstreams and sees each request to exactly one final
//! answer: the whole answer, a cut that says so, or a refusal that says whether work ran.

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
