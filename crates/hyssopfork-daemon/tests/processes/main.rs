//! Tests with real processes on loopback, under kills, freezes and connections that go silent.

mod at_most_once;
mod groups;
mod soak;
mod stop;
mod support;
mod whole_path;
mod zones;
