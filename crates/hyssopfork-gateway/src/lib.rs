//! Entry that sends callers' requests straight to upstreams, as a step function.
//!
//! It stands where no process of the system runs beside an upstream. Each request gets one final
//! answer: the upstream's whole answer, a refusal that is true, or a broken connection.
//!
//! Where each decision stands:
//!
//! - [`table`]: whose a request is and where it may go
//! - [`choice`]: which upstream gets it, and whether any may
//! - [`load`]: how full an upstream is; [`limit`]: how full it may be
//! - [`rendezvous`]: which upstreams an entry prefers, and which entries share one
//! - [`cold`]: how much an upstream gets after a start; [`rate_limit`]: where it names a limit itself
//! - [`health`]: whether it answers; [`moves`]: how many requests leave one on suspicion
//! - [`budget`]: how often work may be sent again; [`returns`]: when rejected requests return
//! - [`content`]: by what a request is known again when it crashes upstreams
//! - [`core`]: a request's way from arrival to its end; [`scanner`]: whole events of a stream

pub mod action;
pub mod arrival;
pub mod concurrency_limit;
pub mod content;
pub mod core;
pub mod event;
pub mod health;
pub mod load;
pub mod measurement;
pub mod moves;
pub mod notice;
pub mod rate_limit;
pub mod rendezvous;
pub mod request;
pub mod response;
pub mod retry_budget;
pub mod retry_schedule;
pub mod routing;
pub mod scanner;
pub mod selection;
pub mod settings;
pub mod slow_start;
pub mod target;
