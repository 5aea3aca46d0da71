//! Seeded histories of three control instances under faults.

pub mod check;
mod claimer;
mod client;
mod holder;
mod operator;
mod slot;
pub mod world;
