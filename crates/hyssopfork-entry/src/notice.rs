//! Numbered events of the entry role, for the log.

use hyssopfork_watch::notice as watch;
use hyssopfork_wire::{attempt, level, name, refusal};
use std::fmt;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered event.")]
pub enum Notice {
    /// An event of the watcher.
    Watch(watch::Notice),
    /// A request was rejected.
    Refused(u64, refusal::Refusal),
    /// An attempt was offered.
    Offered(u64, attempt::Identifier, name::Instance),
    /// An attempt was rejected; the request may be retried on another upstream.
    AttemptRefused(attempt::Identifier, refusal::Refusal),
    /// An attempt failed.
    AttemptFailed(attempt::Identifier, crate::event::Fault),
    /// A stream is resumed on another upstream after this number of events.
    Resumed(u64, u64),
    /// A response was aborted after a part of it was forwarded.
    Cut(u64),
    /// A claim is requested again because the response was lost.
    ClaimAgain(attempt::Identifier),
    /// An outcome is recorded again because the previous call failed.
    RecordAgain(attempt::Identifier),
    /// An outcome is recorded as unknown: the work may have run.
    OutcomeUnknown(attempt::Identifier),
    /// The process was asked to stop with this number of requests in flight.
    Leaving(u32),
    /// The stop timeout has passed; this number of requests is ended.
    LeaveOverdue(u32),
    /// The process may exit: no request is left.
    Stopped,
}

impl Notice {
    /// Number in the catalogue of events.
    pub fn number(&self) -> u16 {
        match self {
            Notice::Watch(notice) => notice.number(),
            Notice::Refused(..) => 2001,
            Notice::Offered(..) => 2002,
            Notice::AttemptRefused(..) => 2003,
            Notice::AttemptFailed(..) => 2004,
            Notice::Resumed(..) => 2005,
            Notice::Cut(_) => 2006,
            Notice::ClaimAgain(_) => 2007,
            Notice::RecordAgain(_) => 2008,
            Notice::OutcomeUnknown(_) => 2009,
            Notice::Leaving(_) => 2010,
            Notice::LeaveOverdue(_) => 2011,
            Notice::Stopped => 2012,
        }
    }

    /// Log level.
    pub fn level(&self) -> level::Level {
        match self {
            Notice::Watch(notice) => notice.level(),
            Notice::Refused(..) | Notice::Offered(..) | Notice::AttemptRefused(..) => {
                level::Level::Debug
            }
            Notice::Resumed(..) | Notice::Leaving(_) | Notice::Stopped => level::Level::Info,
            Notice::AttemptFailed(..)
            | Notice::Cut(_)
            | Notice::ClaimAgain(_)
            | Notice::RecordAgain(_)
            | Notice::OutcomeUnknown(_)
            | Notice::LeaveOverdue(_) => level::Level::Warn,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Watch(notice) => notice.fmt(formatter),
            Notice::Refused(request, refusal) => {
                write!(formatter, "request {request} rejected: {}, {}", refusal.reason, refusal.ran)
            }
            Notice::Offered(request, attempt, instance) => {
                write!(formatter, "request {request} offered to {instance} as attempt {attempt}")
            }
            Notice::AttemptRefused(attempt, refusal) => {
                write!(formatter, "attempt {attempt} rejected: {}, {}", refusal.reason, refusal.ran)
            }
            Notice::AttemptFailed(attempt, fault) => {
                write!(formatter, "attempt {attempt} failed: {fault:?}")
            }
            Notice::Resumed(request, delivered) => {
                write!(
                    formatter,
                    "request {request} resumed on another upstream after {delivered} events"
                )
            }
            Notice::Cut(request) => {
                write!(formatter, "request {request} aborted after a part of its response")
            }
            Notice::ClaimAgain(claim) => write!(formatter, "claim {claim} requested again"),
            Notice::RecordAgain(claim) => {
                write!(formatter, "claim {claim} records its outcome again")
            }
            Notice::OutcomeUnknown(claim) => write!(
                formatter,
                "claim {claim} has an unknown outcome; ask the owner of the upstream whether it ran"
            ),
            Notice::Leaving(requests) => {
                write!(formatter, "entry leaving with {requests} requests in flight")
            }
            Notice::LeaveOverdue(requests) => {
                write!(formatter, "entry reached its stop timeout; {requests} requests ended")
            }
            Notice::Stopped => write!(formatter, "stopped"),
        }
    }
}
