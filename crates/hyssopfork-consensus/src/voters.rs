//! Changes of the voters that an operator requests.

use hyssopfork_wire::name;

/// Addition, removal or replacement of one voter.
///
/// Neither a voter whose disk was lost nor an instance that is listed in the leader's settings and not
/// as a learner needs one: both are admitted automatically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a voter for an instance whose process is running and requests to join.
    Add(name::Instance),
    /// Removes the voter of an instance. Stop its process or remove it from the listed voters
    /// first: a listed instance that requests to join is admitted again.
    Remove(name::Instance),
    /// Removes the voter of an instance that does not respond. Unlike one that is removed, it may still run.
    Displace(name::Instance),
    /// Gives the seat of `from` to the learner `to`, which has caught up. `from` becomes a learner that
    /// does not take a seat by itself again, unless it does not respond and `to` is such a learner.
    Replace {
        /// Instance of the voter.
        from: name::Instance,
        /// Instance of the learner.
        to: name::Instance,
    },
}
