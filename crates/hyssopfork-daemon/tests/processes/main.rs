//! Tests with real processes on loopback that are killed, paused or lose their connections.

mod aborted_responses;
mod at_most_once;
mod clients;
mod control_failures;
mod end_to_end;
mod graceful_stop;
mod groups;
mod limits;
mod metrics;
mod paused_processes;
mod silent_connections;
mod soak;
mod support;
mod zones;
