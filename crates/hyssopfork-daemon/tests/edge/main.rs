//! Edge processes as callers, operators and upstreams meet them.

mod fleet;
mod fragile;
mod query_of_death;
mod soak;
mod support;
mod web;
mod whole;
