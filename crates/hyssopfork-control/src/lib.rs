//! Control role as a step function.
//!
//! [`core::Core`] holds a node of the replicated log and the state machine that the log drives. It
//! answers calls, grants leases and, while it leads, maintains the fleet by proposing commands. The
//! modules: [`calls`] (pending proposals and the calls that wait for them), [`steps`] (differences
//! for watchers), [`interests`] (which instances a difference affects), [`watches`] (long polls),
//! [`holders`] (lease holders and their reports), [`presence`] (failure detection), [`groups`]
//! (placement of groups).

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
