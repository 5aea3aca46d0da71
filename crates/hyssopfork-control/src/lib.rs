//! Control role as a step function.

pub mod action;
pub mod event;
pub mod notice;
