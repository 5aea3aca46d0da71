//! Decisions of the entry, tested without network or clock.

mod concurrency_limit;
mod costs;
mod crash;
mod demand;
mod engine_model;
mod fixture;
mod health;
mod leaving;
mod moves;
mod output_length;
mod overload;
mod pause;
mod queue;
mod rate_limit;
mod response;
mod retry_budget;
mod retry_schedule;
mod routing;
mod scanner;
mod scarcity;
mod scheduler;
mod scheduling;
mod selection;
mod serve;
mod slow_start;
