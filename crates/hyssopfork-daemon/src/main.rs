//! The daemon of the control, entry and agent roles.

fn main() {}
