//! Aggregates of the replicated state, applied deterministically.
//!
//! Control instances apply the same commands in the same order and so hold the same state
//! ([`machine::Machine`]); watchers follow the part of it that they need as a
//! [`hyssopfork_wire::change::View`], led on by the same function ([`view::apply`]) that leads the
//! state itself. Each aggregate keeps its own rules: [`rules`] of the whole configuration,
//! [`history`] of patches, [`fleet`] of instances, [`placements`] of groups, [`claims`] on
//! non-repeatable work.

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
