//! One rule a test, against one node.

mod entries;
mod fixture;
mod members;
mod votes;
