//! Numbered events of the daemon's shell, 4500 to 4999.

use hyssopfork_wire::{level, name};
use std::fmt;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// The process listens and runs its roles.
    Started(name::Instance, String),
    /// The process was asked to stop and lets what is in flight end.
    Stopping,
    /// The process was asked a second time and stops at once.
    StoppedAtOnce,
    /// Every role has stopped.
    Stopped,
    /// The journal could not be written or synced: the process ends.
    JournalFailed(String),
    /// The settings were read again.
    Reloaded(String),
    /// The settings could not be read again; those in use stay.
    ReloadFailed(String),
    /// Log lines were dropped, since their reader is slow.
    LinesDropped(usize),
    /// The data folder can't be opened or written now.
    FolderUnusable(String),
    /// A call on the control address was refused.
    CallRefused(String, String),
    /// The replicated log holds what this release cannot read: the process ends.
    LogUnreadable(String),
    /// Writes were synced slowly: so many together, in so many milliseconds.
    SyncSlow(usize, u64),
}

impl Notice {
    /// Number in the catalogue of events.
    pub const fn number(&self) -> u16 {
        match self {
            Notice::Started(..) => 4500,
            Notice::Stopping => 4501,
            Notice::StoppedAtOnce => 4502,
            Notice::Stopped => 4503,
            Notice::JournalFailed(_) => 4510,
            Notice::LogUnreadable(_) => 4511,
            Notice::Reloaded(_) => 4512,
            Notice::ReloadFailed(_) => 4513,
            Notice::LinesDropped(_) => 4514,
            Notice::FolderUnusable(_) => 4515,
            Notice::CallRefused(..) => 4516,
            Notice::SyncSlow(..) => 4517,
        }
    }

    /// How much it matters.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::JournalFailed(_) | Notice::LogUnreadable(_) => level::Level::Error,
            Notice::StoppedAtOnce
            | Notice::ReloadFailed(_)
            | Notice::LinesDropped(_)
            | Notice::FolderUnusable(_)
            | Notice::CallRefused(..)
            | Notice::SyncSlow(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Started(instance, roles) => write!(formatter, "{instance} runs {roles}"),
            Notice::Stopping => {
                write!(formatter, "stopping: no new work, what is in flight is finished")
            }
            Notice::StoppedAtOnce => write!(formatter, "asked twice: stopping at once"),
            Notice::Stopped => write!(formatter, "every role has stopped"),
            Notice::JournalFailed(error) => write!(
                formatter,
                "the journal cannot be trusted any more and the process ends: {error}"
            ),
            Notice::Reloaded(what) => write!(formatter, "read the settings again: {what}"),
            Notice::ReloadFailed(error) => {
                write!(formatter, "the settings can't be read again and stay as they are: {error}")
            }
            Notice::LinesDropped(count) => write!(formatter, "{count} lines were dropped"),
            Notice::FolderUnusable(error) => write!(
                formatter,
                "the data folder can't be used: {error}; it is tried again until it can"
            ),
            Notice::CallRefused(call, why) => write!(formatter, "{call} refused: {why}"),
            Notice::LogUnreadable(reason) => {
                write!(formatter, "{reason}; run a release that can read the log")
            }
            Notice::SyncSlow(writes, millis) => {
                write!(formatter, "journal sync slow writes={writes} after_ms={millis}")
            }
        }
    }
}
