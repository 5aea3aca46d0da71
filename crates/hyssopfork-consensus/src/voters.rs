//! Changes of the voters that an operator requests.

use hyssopfork_wire::name;

/// Addition or removal of one voter.
///
/// Neither a voter whose disk was lost nor an instance listed in the leader's settings needs one:
/// both are admitted automatically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a voter for an instance whose process is running and requests to join.
    Add(name::Instance),
    /// Removes the voter of an instance. Stop its process or remove it from the listed voters
    /// first: a listed instance that requests to join is admitted again.
    Remove(name::Instance),
}
