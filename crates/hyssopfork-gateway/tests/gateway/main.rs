//! Decisions of the entry, tested without network or clock.

mod concurrency_limit;
mod crash;
mod demand;
mod fixture;
mod health;
mod large_response;
mod leaving;
mod moves;
mod overload;
mod pause;
mod queue;
mod rate_limit;
mod response;
mod retry_budget;
mod retry_schedule;
mod routing;
mod scanner;
mod selection;
mod serve;
mod slow_start;
