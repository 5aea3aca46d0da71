//! HTTP entry that forwards requests directly to upstreams, as a step function.
//!
//! It runs where no process of the system runs beside an upstream. Each request gets exactly one
//! final result: the upstream's complete response, a rejection whose claims hold, or an aborted
//! connection.
//!
//! Modules by decision:
//!
//! - [`routing`]: route and team of a request, and the pool that it goes to
//! - [`selection`]: load balancing among the upstreams, and rejection without capacity
//! - [`load`]: estimated load of an upstream; [`concurrency_limit`]: its AIMD limit
//! - [`engine_model`]: predicted times of a request at a group of engines; [`output_length`]: expected
//!   length of its output
//! - [`occupancy`]: exact load of the groups, which the entries tell each other
//! - [`demand`]: demand for a model, by which the leader plans its groups
//! - [`rendezvous`]: which upstreams an entry prefers, and how entries divide an upstream's rate
//! - [`slow_start`]: rate after a start; [`rate_limit`]: rate that an upstream names itself
//! - [`pause`]: pauses that upstreams ask for; [`leaving`]: upstreams that state that they leave
//! - [`health`]: outlier ejection and backoff; [`moves`]: limit on moves of stalled requests
//! - [`fleet_limit`]: how entries divide a limit over a window
//! - [`retry_budget`]: limit on retries; [`retry_schedule`]: `Retry-After` of rejected requests
//! - [`scheduler`]: order of requests when there is too little capacity; [`rank_reserve`]: capacity
//!   that is left to more urgent ones
//! - [`content`]: fingerprint that identifies a request which crashes upstreams; [`prompt`]: parts of
//!   its prompt
//! - [`readiness`]: what an entry lacks that can't decide about a request
//! - [`core`]: a request from arrival to end; [`scanner`]: complete events of a stream

pub mod action;
pub mod arrival;
pub mod concurrency_limit;
pub mod content;
pub mod core;
pub mod demand;
pub mod ending;
pub mod engine_model;
pub mod event;
pub mod fleet_limit;
pub mod health;
pub mod leaving;
pub mod load;
pub mod measurement;
pub mod moves;
pub mod notice;
pub mod occupancy;
pub mod output_length;
pub mod pause;
pub mod prompt;
pub mod rank_reserve;
pub mod rate_limit;
pub mod readiness;
pub mod rendezvous;
pub mod request;
pub mod response;
pub mod retry_budget;
pub mod retry_schedule;
pub mod routing;
pub mod scanner;
pub mod scheduler;
pub mod selection;
pub mod settings;
pub mod size;
pub mod slow_start;
pub mod target;
