//! Tests with real processes on loopback, under kills, freezes and connections that go silent.

mod at_most_once;
mod callers;
mod cut_answers;
mod groups;
mod limits;
mod lost_control;
mod metrics;
mod paused;
mod silent_connections;
mod soak;
mod stop;
mod support;
mod whole_path;
mod zones;
