//! Tests of the replicated state, one module for each aggregate.

mod aggregates;
mod fixture;
