//! Fixtures and fakes at the interfaces: an engine, a plain service, a TCP relay.
//!
//! The fakes speak what real back ends speak (see docs/DEVELOPING.md, "Back ends") and take orders
//! of tests under `/fake/`. They are no simulator of a cluster: each is one process's peer.

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
