//! Histories of several nodes on one true clock.

mod random;
mod scenarios;
mod world;
