//! Tests of edge processes through the interfaces of clients, operators and upstreams.

mod fleet;
mod fragile;
mod named_rate;
mod query_of_death;
mod scene;
mod soak;
mod support;
mod web;
mod whole;
