//! Names that operators choose. Each kind of name has its own type, so that the compiler rejects
//! one in place of another.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps `text` unchecked; settings and patches validate it with [`is_valid`].
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// The name as written.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    )*};
}

names! {
    /// An availability zone.
    Zone,
    /// A fabric domain: instances connected by a fast interconnect.
    Domain,
    /// An instance (a machine), as named in the settings of its process.
    Instance,
    /// A pool: interchangeable instances that form groups, or that run the same plain service.
    Pool,
    /// A serving group: one replica of a model over several instances.
    Group,
    /// A team: a customer with its own tokens, weight and histograms.
    Team,
    /// A route: a path prefix with its pool, traffic class and retry rule.
    Route,
    /// A model, as named by the engines.
    Model,
    /// An operator who submits patches.
    Operator,
}

/// Longest name that settings and patches accept.
pub const MAX_BYTES: usize = 63;

/// Whether `text` is a valid name: 1 to [`MAX_BYTES`] bytes, of lower-case letters, digits, `-`,
/// `_` and `.`.
pub fn is_valid(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    !text.is_empty() && text.len() <= MAX_BYTES && text.bytes().all(allowed)
}
