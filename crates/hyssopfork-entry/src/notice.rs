//! Numbered events of this role, for the log.

use hyssopfork_watch::notice as watch;
use hyssopfork_wire::{attempt, level, name, refusal};
use std::fmt;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered event.")]
pub enum Notice {
    /// An event of the watcher.
    Watch(watch::Notice),
    /// A request was refused.
    Refused(u64, refusal::Refusal),
    /// An attempt was offered.
    Offered(u64, attempt::Identifier, name::Instance),
    /// An attempt was refused, and the request may be tried elsewhere.
    AttemptRefused(attempt::Identifier, refusal::Refusal),
    /// An attempt failed.
    AttemptFailed(attempt::Identifier, crate::event::Fault),
    /// A stream is resumed on another upstream, after so many events.
    Resumed(u64, u64),
    /// A part of an answer was forwarded and the rest did not come.
    Cut(u64),
    /// A claim is asked for again, since its answer was lost.
    ClaimAgain(attempt::Identifier),
    /// An outcome could not be recorded yet.
    RecordAgain(attempt::Identifier),
    /// An outcome is recorded as unknown: the work may have run.
    OutcomeUnknown(attempt::Identifier),
    /// The process was asked to stop, with so many requests in flight.
    Leaving(u32),
    /// The time to stop is over; so many requests are ended.
    LeaveOverdue(u32),
    /// Everything has ended.
    Stopped,
}

impl Notice {
    /// Number in the catalogue.
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

    /// How much it matters.
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
                write!(formatter, "request {request} refused: {}, {}", refusal.reason, refusal.ran)
            }
            Notice::Offered(request, attempt, instance) => {
                write!(formatter, "request {request} offered to {instance} as attempt {attempt}")
            }
            Notice::AttemptRefused(attempt, refusal) => {
                write!(formatter, "attempt {attempt} refused: {}, {}", refusal.reason, refusal.ran)
            }
            Notice::AttemptFailed(attempt, fault) => {
                write!(formatter, "attempt {attempt} failed: {fault:?}")
            }
            Notice::Resumed(request, delivered) => {
                write!(formatter, "request {request} resumed elsewhere after {delivered} events")
            }
            Notice::Cut(request) => {
                write!(formatter, "request {request} ended after a part of its answer")
            }
            Notice::ClaimAgain(claim) => write!(formatter, "claim {claim} is asked for again"),
            Notice::RecordAgain(claim) => {
                write!(formatter, "the outcome of claim {claim} is sent again")
            }
            Notice::OutcomeUnknown(claim) => write!(
                formatter,
                "the outcome of claim {claim} is unknown; ask the upstream's owner whether it ran"
            ),
            Notice::Leaving(requests) => {
                write!(formatter, "leaving; {requests} requests are in flight")
            }
            Notice::LeaveOverdue(requests) => {
                write!(formatter, "time to leave is over; {requests} requests are ended")
            }
            Notice::Stopped => write!(formatter, "stopped"),
        }
    }
}
