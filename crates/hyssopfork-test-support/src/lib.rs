//! Test support: fixtures, a fake engine, a fake plain service and a TCP relay.
//!
//! The fakes implement the interface of real upstreams and accept fault injection commands under
//! `/fake/`. They don't simulate a cluster: each is the peer of a single process.

pub mod engine;
pub mod fault_injection;
pub mod fixture;
pub mod http;
pub mod layout;
pub mod ports;
pub mod prefix_cache;
pub mod relay;
pub mod service;
pub mod token;
