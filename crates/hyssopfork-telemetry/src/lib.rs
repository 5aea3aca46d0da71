//! Telemetry of a process: numbered log events and metrics.

pub mod label;
pub mod log;
pub mod metrics;
