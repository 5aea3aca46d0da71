//! Entry role as a step function.
//!
//! An entry takes callers' requests, chooses upstreams and sees each request to exactly one final
//! answer: the whole answer, a cut that says so, or a refusal that says whether work ran.

pub mod action;
pub mod arrival;
pub mod attempt;
mod claims;
pub mod core;
mod ending;
pub mod estimate;
pub mod event;
pub mod measure;
pub mod notice;
mod offer;
pub mod pool;
pub mod request;
mod serve;
pub mod stream;
