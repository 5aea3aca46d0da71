//! Numbered events of this role, for the log.

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {}
