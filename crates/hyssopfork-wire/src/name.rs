//! Names that operators give to things. Each is a type of its own, so that one cannot be passed
//! where another is meant.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name as written; settings and patches check its form.
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
    /// A set of instances that share a fast fabric.
    Domain,
    /// A machine, by the name in its process's settings.
    Instance,
    /// A set of like instances from which groups are formed, or of like plain services.
    Pool,
    /// A serving group: one replica of a model over several instances.
    Group,
    /// A team: a customer with its own tokens, weight and histograms.
    Team,
    /// A route: a path prefix with its pool, class and rules of repetition.
    Route,
    /// A model as the engines name it.
    Model,
    /// Whoever submitted a patch.
    Operator,
}

/// Longest name that settings and patches accept, in bytes.
pub const MAX_BYTES: usize = 63;

/// Whether `text` may be a name: lower-case letters, digits, `-`, `_`, `.`; one to
/// [`MAX_BYTES`] bytes.
pub fn is_valid(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
    };
    !text.is_empty() && text.len() <= MAX_BYTES && text.bytes().all(allowed)
}
