//! Numbered log events of the agent.

use hyssopfork_watch::notice as watch;
use hyssopfork_wire::{attempt, level, name, number, refusal};
use std::fmt;

/// Numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered event.")]
pub enum Notice {
    /// Event of the watcher.
    Watch(watch::Notice),
    /// An attempt was rejected.
    Refused(attempt::Identifier, refusal::Reason),
    /// An attempt was forwarded to the upstream.
    Forwarded(attempt::Identifier),
    /// A running attempt was aborted before its response was complete.
    Aborted(attempt::Identifier, refusal::Reason),
    /// The group is complete and serves.
    GroupWhole(number::Fence),
    /// The group is no longer complete; with the member whose grant is missing, if there is one.
    GroupLost(number::Fence, Option<name::Instance>),
    /// The engine was ordered to load.
    Ordered(number::Fence),
    /// The engine has loaded the model.
    Loaded(number::Fence),
    /// The engine rejected the order or failed to load.
    LoadFailed(number::Fence),
    /// The upstream stopped responding.
    BackEndDown,
    /// The upstream responds.
    BackEndUp,
    /// The upstream is cold: it is a new process, or lost its model.
    BackEndCold,
    /// The process was asked to stop, with this many attempts in flight.
    Leaving(u32),
    /// The time limit of the stop is over, or a second stop was requested; this many attempts are
    /// aborted.
    LeaveOverdue(u32),
    /// The stop is complete.
    Stopped,
}

impl Notice {
    /// Number in the catalogue of events.
    pub fn number(&self) -> u16 {
        match self {
            Notice::Watch(notice) => notice.number(),
            Notice::Refused(..) => 3001,
            Notice::Forwarded(_) => 3002,
            Notice::Aborted(..) => 3003,
            Notice::GroupWhole(_) => 3004,
            Notice::GroupLost(..) => 3005,
            Notice::Ordered(_) => 3006,
            Notice::Loaded(_) => 3007,
            Notice::LoadFailed(_) => 3008,
            Notice::BackEndDown => 3009,
            Notice::BackEndUp => 3010,
            Notice::BackEndCold => 3011,
            Notice::Leaving(_) => 3012,
            Notice::LeaveOverdue(_) => 3013,
            Notice::Stopped => 3014,
        }
    }

    /// Level of the event.
    pub fn level(&self) -> level::Level {
        match self {
            Notice::Watch(notice) => notice.level(),
            Notice::Refused(..) | Notice::Forwarded(_) => level::Level::Debug,
            Notice::Aborted(..)
            | Notice::GroupLost(..)
            | Notice::LoadFailed(_)
            | Notice::BackEndDown
            | Notice::LeaveOverdue(_) => level::Level::Warn,
            Notice::GroupWhole(_)
            | Notice::Ordered(_)
            | Notice::Loaded(_)
            | Notice::BackEndUp
            | Notice::BackEndCold
            | Notice::Leaving(_)
            | Notice::Stopped => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Watch(notice) => notice.fmt(formatter),
            Notice::Refused(attempt, reason) => {
                write!(formatter, "attempt {attempt} rejected: {reason}")
            }
            Notice::Forwarded(attempt) => write!(formatter, "attempt {attempt} forwarded"),
            Notice::Aborted(attempt, reason) => {
                write!(
                    formatter,
                    "attempt {attempt} aborted before its response was complete: {reason}"
                )
            }
            Notice::GroupWhole(fence) => write!(formatter, "group {fence} is complete and serves"),
            Notice::GroupLost(fence, Some(member)) => {
                write!(formatter, "group {fence} stopped serving: no unexpired grant from {member}")
            }
            Notice::GroupLost(fence, None) => write!(formatter, "group {fence} stopped serving"),
            Notice::Ordered(fence) => {
                write!(formatter, "agent ordered the engine to load under fencing number {fence}")
            }
            Notice::Loaded(fence) => {
                write!(formatter, "engine loaded the model under fencing number {fence}")
            }
            Notice::LoadFailed(fence) => {
                write!(
                    formatter,
                    "engine failed to load under fencing number {fence}; retrying the order"
                )
            }
            Notice::BackEndDown => write!(formatter, "upstream does not respond"),
            Notice::BackEndUp => write!(formatter, "upstream responds"),
            Notice::BackEndCold => write!(formatter, "upstream is cold"),
            Notice::Leaving(running) => {
                write!(formatter, "agent is stopping; {running} attempts in flight")
            }
            Notice::LeaveOverdue(running) => {
                write!(
                    formatter,
                    "agent ends its graceful stop with {running} attempts in flight and aborts them"
                )
            }
            Notice::Stopped => write!(formatter, "stopped"),
        }
    }
}
