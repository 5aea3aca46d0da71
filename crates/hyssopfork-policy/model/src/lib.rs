//! A small model of upstreams and callers, for the benchmark and the tests of the policy package.
//!
//! A discrete-event run without network: seeded open-loop arrivals, upstreams that batch
//! continuously, and entries that decide either by the policy package ([`ours`]) or as a plain
//! proxy would ([`baseline`]). The same seed gives the same figures. Every figure of the model
//! stands in [`figures`]. Never a dependency of a program.

pub mod baseline;
pub mod engine;
pub mod entry;
pub mod parameters;
pub mod policy;
pub mod repair;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod traffic;
