//! Control role as a step function.
//!
//! [`core::Core`] holds a node of the replicated log and the state that the log leads. It answers
//! calls, gives leases, and, while it leads, keeps the fleet in order by proposing commands. Where
//! each decision stands: [`calls`] (proposals and who waits for them), [`steps`] (what watchers are
//! told), [`watches`] (held calls), [`holders`] (leases and reports), [`presence`] (who fell
//! silent), [`groups`] (where groups stand).

pub mod action;
pub mod calls;
pub mod core;
pub mod event;
pub mod groups;
pub mod holders;
pub mod interests;
pub mod notice;
pub mod presence;
pub mod steps;
pub mod watches;
