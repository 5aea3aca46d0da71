//! One rule a test, against one node.

mod entries;
mod fixture;
mod founding;
mod members;
mod votes;
