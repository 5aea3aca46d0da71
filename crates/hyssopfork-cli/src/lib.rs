//! Operators' program.
