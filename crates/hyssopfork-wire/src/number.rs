//! Monotonically increasing numbers: versions, terms, log indices, fencing numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    )*};
}

numbers! {
    /// Number of the declared configuration; each accepted patch increments it.
    Configuration,
    /// Version of the view (configuration, fleet, groups): the index of the log entry that last
    /// changed it.
    ///
    /// Invariant: never decreases in any process's view.
    Version,
    /// Fencing number of a group's placement, unique across all groups and never reused.
    Fence,
    /// Incarnation of an agent, assigned by control at the first announcement after a start.
    Incarnation,
    /// Term of the replicated log.
    Term,
    /// Index in the replicated log.
    Index,
}
