//! How an attempt ended without its upstream's complete response, for the log.

use crate::event;
use std::fmt;
use std::time::Duration;

/// What an attempt was ended for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It failed.
    Failed(event::Fault),
    /// The upstream's process or group is known to be gone.
    LostGroup,
    /// The upstream's group gets no new requests, or the view lacks it.
    UnavailableGroup,
    /// No bytes arrived.
    Silence,
    /// The request was quarantined while it was in flight.
    Quarantined,
    /// The deadline passed.
    Deadline,
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Failed(fault) => fault.fmt(formatter),
            Cause::LostGroup => formatter.write_str("lost_group"),
            Cause::UnavailableGroup => formatter.write_str("unavailable_group"),
            Cause::Silence => formatter.write_str("silence"),
            Cause::Quarantined => formatter.write_str("quarantined"),
            Cause::Deadline => formatter.write_str("deadline"),
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Its cause.
    pub cause: Cause,
    /// Time since its last bytes, or since its start.
    pub silence: Duration,
    /// Time for which this entry had known the cause.
    pub evidence_age: Duration,
}

impl fmt::Display for Ending {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Ending { cause, silence, evidence_age } = self;
        let (silence, age) = (silence.as_millis(), evidence_age.as_millis());
        write!(formatter, "cause={cause} silent_ms={silence} evidence_age_ms={age}")
    }
}
