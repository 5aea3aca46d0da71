//! Edge processes as callers, operators and upstreams meet them.

mod support;
mod web;
mod whole;
