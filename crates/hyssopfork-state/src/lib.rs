//! Aggregates of the replicated state, applied deterministically.
//!
//! Control instances apply the same commands in the same order and so hold the same state;
//! watchers follow the part of it that they need as a [`hyssopfork_wire::change::View`], led on by
//! the same function ([`view::apply`]) that leads the state itself.

pub mod operation;
pub mod upstream;
pub mod view;
