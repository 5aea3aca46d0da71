//! Edge processes as callers, operators and upstreams meet them.

mod fleet;
mod fragile;
mod named_rate;
mod query_of_death;
mod scene;
mod soak;
mod support;
mod web;
mod whole;
