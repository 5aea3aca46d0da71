//! The operators' program.

fn main() {}
