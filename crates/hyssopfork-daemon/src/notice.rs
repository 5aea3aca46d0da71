//! Numbered events of the daemon process, 4500 to 4999.

use hyssopfork_wire::{level, name};
use std::{fmt, net};

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// The process listens and its roles run.
    Started(name::Instance, String),
    /// The process was asked to stop and drains its requests.
    Stopping,
    /// The process was asked to stop a second time and stops immediately.
    StoppedAtOnce,
    /// Every role has stopped.
    Stopped,
    /// A journal write or sync failed; the process exits.
    JournalFailed(String),
    /// The settings were reloaded.
    Reloaded(String),
    /// Reloading the settings failed; the current ones stay in use.
    ReloadFailed(String),
    /// Log lines were dropped because their reader is slow.
    LinesDropped(usize),
    /// The data folder can't be opened or written; it is retried.
    FolderUnusable(String),
    /// A call on the control address was rejected.
    CallRefused(String, String),
    /// The replicated log contains records that this release cannot read; the process exits.
    LogUnreadable(String),
    /// A journal sync was slow: the number of writes and its duration in milliseconds.
    SyncSlow(usize, u64),
    /// Opening the data folder was slow: its duration in milliseconds.
    OpenSlow(u64),
    /// The view can't be saved in the data folder.
    ViewNotSaved(String),
    /// The view in the data folder can't be read.
    SavedViewDamaged(String),
    /// A client accepted no bytes for the time named, in milliseconds, and was disconnected.
    ClientStalled(net::SocketAddr, u64),
    /// An upstream accepted no bytes of a request's body for the time named, in milliseconds.
    UpstreamStalled(name::Instance, u64),
    /// A request was rejected before its body was read: the bytes held for other requests, and the
    /// length of the body if it is known.
    MemoryExhausted(usize, Option<usize>),
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
            Notice::ViewNotSaved(_) => 4518,
            Notice::SavedViewDamaged(_) => 4519,
            Notice::ClientStalled(..) => 4520,
            Notice::UpstreamStalled(..) => 4521,
            Notice::MemoryExhausted(..) => 4522,
            Notice::OpenSlow(_) => 4523,
        }
    }

    /// Severity.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::JournalFailed(_) | Notice::LogUnreadable(_) => level::Level::Error,
            Notice::StoppedAtOnce
            | Notice::ReloadFailed(_)
            | Notice::LinesDropped(_)
            | Notice::FolderUnusable(_)
            | Notice::CallRefused(..)
            | Notice::SyncSlow(..)
            | Notice::OpenSlow(_)
            | Notice::ViewNotSaved(_)
            | Notice::SavedViewDamaged(_)
            | Notice::ClientStalled(..)
            | Notice::UpstreamStalled(..)
            | Notice::MemoryExhausted(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Started(instance, roles) => write!(formatter, "{instance} runs {roles}"),
            Notice::Stopping => {
                write!(formatter, "process is stopping and drains what is in flight")
            }
            Notice::StoppedAtOnce => {
                write!(formatter, "process stops immediately: asked to stop twice")
            }
            Notice::Stopped => write!(formatter, "every role has stopped"),
            Notice::JournalFailed(error) => {
                write!(formatter, "journal write or sync failed, the process exits: {error}")
            }
            Notice::Reloaded(what) => write!(formatter, "settings reloaded: {what}"),
            Notice::ReloadFailed(error) => {
                write!(
                    formatter,
                    "settings reload failed, the current settings stay in use: {error}"
                )
            }
            Notice::LinesDropped(count) => {
                write!(formatter, "log dropped {count} lines: its reader is slow")
            }
            Notice::FolderUnusable(error) => {
                write!(formatter, "data folder is unusable and will be retried: {error}")
            }
            Notice::CallRefused(call, why) => write!(formatter, "call {call} rejected: {why}"),
            Notice::LogUnreadable(reason) => {
                write!(formatter, "{reason}; run a release that can read the log")
            }
            Notice::ViewNotSaved(error) => {
                write!(formatter, "view can't be saved and will be retried: {error}")
            }
            Notice::SavedViewDamaged(reason) => {
                write!(formatter, "saved view is ignored: {reason}")
            }
            Notice::SyncSlow(writes, millis) => {
                write!(formatter, "journal sync was slow writes={writes} after_ms={millis}")
            }
            Notice::OpenSlow(millis) => {
                write!(formatter, "data folder opened slowly after_ms={millis}")
            }
            Notice::ClientStalled(client, millis) => {
                write!(formatter, "client {client} stopped reading, disconnected after_ms={millis}")
            }
            Notice::UpstreamStalled(instance, millis) => {
                write!(formatter, "{instance} stopped reading a request after_ms={millis}")
            }
            Notice::MemoryExhausted(held, length) => {
                let length = length.map_or("unknown".to_owned(), |length| length.to_string());
                write!(formatter, "memory budget is used up held={held} body={length}")
            }
        }
    }
}
