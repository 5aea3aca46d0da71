//! What an upstream's answer is worth.

use crate::{event, load};
use hyssopfork_fleet::rate;
use std::time::Duration;

/// Head of an answer, as far as it decides anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Whether the upstream says that it has not run the request.
    pub not_run: bool,
    /// Whether the upstream says that it is another than the one that was meant.
    pub wrong_instance: bool,
    /// Whether it carries the upstream's proof.
    pub signed: bool,
    /// Identifier of the request that it answers.
    pub identifier: Option<String>,
    /// Whether its body is encoded, although nobody asked for that.
    pub encoded: bool,
    /// Whether its body is a stream of events.
    pub is_event_stream: bool,
    /// What the upstream says of its load.
    pub load: Option<load::Report>,
    /// Rate that the upstream takes of the whole fleet; `None` where it names none.
    pub rate: Option<rate::Rate>,
    /// How long the upstream keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
}

impl Response {
    /// What is wrong with it as an answer to the request `identifier`.
    ///
    /// An answer of another request can come where this one's is expected, when an upstream answers
    /// twice. A success without proof, or with an encoded body, is not the upstream's.
    pub fn fault(&self, identifier: &str) -> Option<event::Fault> {
        let success = (200..300).contains(&self.status);
        let named = self.identifier.as_deref();
        let other = named.is_some_and(|named| named != identifier);
        if other || success && (named.is_none() || !self.signed || self.encoded) {
            return Some(event::Fault::InvalidResponse);
        }
        if self.wrong_instance {
            return Some(event::Fault::WrongInstance);
        }
        self.not_run.then_some(event::Fault::NotRun)
    }

    /// The head as the entry's core takes it.
    pub fn head(&self) -> event::Head {
        event::Head { status: self.status, load: self.load, rate: self.rate }
    }
}
