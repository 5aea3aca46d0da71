//! Tests of the fleet's control, driven without network, clock or disk.

mod bootstrap;
mod dark_upstreams;
mod declaration;
mod demand;
mod document;
mod durable;
mod engine;
mod failure_detector;
mod fixture;
mod groups;
mod histories;
mod invariants;
mod large;
mod large_start;
mod loads;
mod moves;
mod plan;
mod publication;
mod quarantine;
mod random;
mod recovery;
mod registry;
mod relays;
mod replication;
mod saved_view;
mod world;
