//! The fleet's control, driven without network, clock or disk.

mod board;
mod declaration;
mod document;
mod durable;
mod engine;
mod failure_detector;
mod fixture;
mod founding;
mod groups;
mod histories;
mod invariants;
mod large;
mod loads;
mod plan;
mod quarantine;
mod random;
mod registry;
mod replication;
mod world;
