//! Validation of an upstream's response.

use crate::{event, load};
use hyssopfork_fleet::rate;
use std::time::Duration;

/// Pause that an upstream asks for: this entry is to send it nothing meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pause {
    /// The upstream asks for no pause.
    #[default]
    None,
    /// A pause of this length.
    Requested(Duration),
    /// A pause whose length can't be read.
    Malformed,
}

/// Parts of a response's head that decisions depend on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Whether the upstream states that it has not run the request.
    pub not_run: bool,
    /// Whether the upstream states that it is not the instance that the request was sent to.
    pub wrong_instance: bool,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Identifier of the request that the response belongs to.
    pub identifier: Option<String>,
    /// Whether the body has a content encoding, which no request asks for.
    pub encoded: bool,
    /// Whether the body is an event stream.
    pub is_event_stream: bool,
    /// Load that the upstream reports.
    pub load: Option<load::Report>,
    /// Rate limit that the upstream names for the whole fleet; `None` if it names none.
    pub rate: Option<rate::Rate>,
    /// Pause that the upstream asks for.
    pub pause: Pause,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
    /// Time for which the upstream keeps the connection open when it is idle.
    pub keep_alive: Option<Duration>,
}

/// Whether a status promises that the request has not run and never will. Only an upstream that states
/// it as well keeps this promise.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

impl Response {
    /// Checks whether this is a valid response to the request `identifier`.
    ///
    /// A response to another request can arrive in place of the expected one if an upstream
    /// responds twice. A success that is unsigned or has an encoded body does not come from the
    /// upstream. A success, or a redirect, that states that the request has not run contradicts itself.
    pub fn fault(&self, identifier: &str) -> Option<event::Fault> {
        let success = (200..300).contains(&self.status);
        let identified = self.identifier.as_deref();
        let is_other = identified.is_some_and(|it| it != identifier);
        let is_contradictory = self.not_run && self.status < 400;
        if is_other
            || is_contradictory
            || success && (identified.is_none() || !self.signed || self.encoded)
        {
            return Some(event::Fault::InvalidResponse);
        }
        if self.wrong_instance {
            return Some(event::Fault::WrongInstance);
        }
        self.not_run.then_some(event::Fault::NotRun)
    }

    /// Converts to the head that the entry's core handles.
    pub fn head(&self) -> event::Head {
        event::Head {
            status: self.status,
            load: self.load,
            rate: self.rate,
            leaving: self.leaving,
            pause: self.pause,
        }
    }
}
