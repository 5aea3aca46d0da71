//! Open-loop load generator: sends requests when they are due, regardless of earlier responses.
//!
//! Latency is measured from the due time, which avoids coordinated omission: a generator that waits
//! for a response before it sends the next request counts a stall only once. This one counts it for
//! every request that clients would have sent during the stall.

pub mod answer;
pub mod client;
pub mod plan;
pub mod run;
pub mod schedule;
pub mod summary;
