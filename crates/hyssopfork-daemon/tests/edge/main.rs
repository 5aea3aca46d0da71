//! Edge processes as callers, operators and upstreams meet them.

mod fleet;
mod soak;
mod support;
mod web;
mod whole;
