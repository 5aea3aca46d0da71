//! Tests with real processes on loopback, under kills, freezes and connections that go silent.

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
