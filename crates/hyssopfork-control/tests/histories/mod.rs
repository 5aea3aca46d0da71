//! Simulated histories of three control instances under faults, by seed.

pub mod check;
mod claimer;
mod client;
mod holder;
mod operator;
mod slot;
pub mod world;
