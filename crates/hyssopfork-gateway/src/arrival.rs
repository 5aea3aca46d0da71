//! A caller's request as it arrives.

use crate::content;
use hyssopfork_wire::name;
use std::time::Duration;

/// What decides about a request; its method and headers travel beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier that the caller gave this try of its request.
    pub identifier: String,
    /// What is asked for; its host is without a port.
    pub content: content::Content,
    /// Key that the caller showed. A secret: never logged.
    pub key: Option<String>,
    /// Model that the work is for; `None` for a plain service.
    pub model: Option<name::Model>,
    /// Last event of the stream that the caller has; `None` when it has none.
    pub last_event: Option<u64>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
}
