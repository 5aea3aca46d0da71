//! Open-loop load: requests are sent when they are due, whatever became of those before.
//!
//! Latency is measured from when a request was *due*. A generator that waits for an answer before
//! it sends the next counts a stall once; one that measures from the due time counts it for every
//! request that callers would have sent meanwhile.

pub mod answer;
pub mod client;
pub mod plan;
pub mod run;
pub mod schedule;
pub mod summary;
