//! Replicated state machine, applied deterministically.
//!
//! Control instances apply the same commands in the same order and so hold the same state
//! ([`machine::Machine`]). Watchers follow the part of it that they need as a
//! [`hyssopfork_wire::change::View`], updated by the same function ([`view::apply_step`]) that
//! updates the state itself. Each module enforces its own rules: [`rules`] of the whole
//! configuration, [`history`] of patches, [`fleet`] of instances, [`placements`] of groups,
//! [`claims`] on non-repeatable work.

pub mod claims;
pub mod command;
pub mod fleet;
pub mod history;
pub mod machine;
pub mod operation;
pub mod placements;
pub mod rules;
pub mod scope;
pub mod upstream;
pub mod view;
