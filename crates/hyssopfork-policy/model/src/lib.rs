//! Discrete-event model of upstreams and clients, for the benchmark and the tests of the policy
//! package.
//!
//! It runs without network: seeded open-loop arrivals, upstreams with continuous batching, and
//! entry processes that decide either by the policy package ([`policy`]) or as a plain proxy would
//! ([`baseline`]). The same seed gives the same results. All parameters are in [`parameters`].
//! Programs must not depend on this package.

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
