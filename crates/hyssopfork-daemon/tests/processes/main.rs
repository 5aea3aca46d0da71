//! Tests with real processes on loopback, under kills, freezes and connections that go silent.

mod at_most_once;
mod cut_answers;
mod groups;
mod limits;
<<<<<<< HEAD
mod soak;
=======
mod metrics;
>>>>>>> 62eb60b (Feed the gauges of lease, configuration, consensus and queue)
mod stop;
mod support;
mod whole_path;
mod zones;
