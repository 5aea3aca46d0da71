//! Numbered events of this role, for the log.

use hyssopfork_watch::notice as watch;
use hyssopfork_wire::{attempt, level, name, number, refusal};
use std::fmt;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered event.")]
pub enum Notice {
    /// An event of the watcher.
    Watch(watch::Notice),
    /// An attempt was refused.
    Refused(attempt::Identifier, refusal::Reason),
    /// An attempt was handed to the upstream.
    Forwarded(attempt::Identifier),
    /// A running attempt was ended before its answer was whole.
    Aborted(attempt::Identifier, refusal::Reason),
    /// The group is whole and serves.
    GroupWhole(number::Fence),
    /// The group is no longer whole; the member is named where one is missing.
    GroupLost(number::Fence, Option<name::Instance>),
    /// The engine was ordered to load.
    Ordered(number::Fence),
    /// The engine holds the model.
    Loaded(number::Fence),
    /// The engine refused the order or failed at it.
    LoadFailed(number::Fence),
    /// The back end stopped answering.
    BackEndDown,
    /// The back end answers.
    BackEndUp,
    /// The back end is a new process or lost its model: cold.
    BackEndCold,
    /// The process was asked to stop, with so many attempts running.
    Leaving(u32),
    /// The time to stop is over; so many attempts are ended.
    LeaveOverdue(u32),
    /// Everything has ended.
    Stopped,
}

impl Notice {
    /// Number in the catalogue.
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

    /// How much it matters.
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
                write!(formatter, "attempt {attempt} refused: {reason}")
            }
            Notice::Forwarded(attempt) => write!(formatter, "attempt {attempt} forwarded"),
            Notice::Aborted(attempt, reason) => {
                write!(formatter, "attempt {attempt} ended before its answer was whole: {reason}")
            }
            Notice::GroupWhole(fence) => write!(formatter, "group {fence} is whole and serves"),
            Notice::GroupLost(fence, Some(member)) => {
                write!(formatter, "group {fence} stopped serving: no grant of {member}")
            }
            Notice::GroupLost(fence, None) => write!(formatter, "group {fence} stopped serving"),
            Notice::Ordered(fence) => write!(formatter, "engine ordered to load under {fence}"),
            Notice::Loaded(fence) => write!(formatter, "engine loaded under {fence}"),
            Notice::LoadFailed(fence) => {
                write!(formatter, "engine failed to load under {fence}; the order is repeated")
            }
            Notice::BackEndDown => write!(formatter, "the back end doesn't answer"),
            Notice::BackEndUp => write!(formatter, "the back end answers"),
            Notice::BackEndCold => write!(formatter, "the back end is cold"),
            Notice::Leaving(running) => write!(formatter, "leaving; {running} attempts run"),
            Notice::LeaveOverdue(running) => {
                write!(formatter, "time to leave is over; {running} attempts are ended")
            }
            Notice::Stopped => write!(formatter, "stopped"),
        }
    }
}
