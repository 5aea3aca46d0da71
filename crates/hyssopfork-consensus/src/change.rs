//! Changes of the voters that operators ask for.

use hyssopfork_wire::name;

/// A change by one voter.
///
/// A voter whose disk was lost needs none: it is admitted again by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds the voter of an instance whose process runs and asks to join.
    Add(name::Instance),
    /// Removes the voter of an instance.
    Remove(name::Instance),
}
