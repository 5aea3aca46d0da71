//! A client's request on arrival.

use crate::{content, prompt, size};
use hyssopfork_wire::name;
use std::time::Duration;

/// The parts of a request that decisions depend on. Method and headers are kept by the connection
/// that received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier that the client assigned to this attempt.
    pub identifier: String,
    /// Host, path, query and body. The host has no port.
    pub content: content::Content,
    /// API key. A secret: never logged.
    pub key: Option<String>,
    /// Requested model; `None` for a plain service.
    pub model: Option<name::Model>,
    /// Size in tokens; `None` if the client states none.
    pub size: Option<size::Size>,
    /// Parts of the prompt; empty if the client names none.
    pub prompt: prompt::Parts,
    /// Last event of the stream that the client has received; `None` if it has none.
    pub last_event: Option<u64>,
    /// Time that the client waits for the response.
    pub timeout: Option<Duration>,
}
