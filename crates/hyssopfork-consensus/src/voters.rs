//! Changes of the voters that operators ask for.

use hyssopfork_wire::name;

/// A change by one voter.
///
/// A voter whose disk was lost needs none, nor does an instance that the leader's settings list:
/// they are admitted by themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds the voter of an instance whose process runs and asks to join.
    Add(name::Instance),
    /// Removes the voter of an instance. Its process must be stopped, or taken off the settings'
    /// lists, before: a listed instance that asks to join comes back.
    Remove(name::Instance),
}
