//! Numbered log events of the watcher.

use hyssopfork_wire::{level, number};
use std::{fmt, net};

/// A numbered log event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered log event.")]
pub enum Notice {
    /// The view has a new version.
    Advanced(number::Version),
    /// A lease was granted while none was valid.
    LeaseHeld,
    /// The lease expired.
    LeaseLapsed,
    /// Requests go to another control instance.
    TargetChanged(net::SocketAddr),
    /// An update to an older version was dropped, together with its lease.
    UpdateBack(number::Version),
    /// A control instance has another protocol version.
    ProtocolDiffers(u16),
}

impl Notice {
    /// Number in the catalogue of events.
    pub fn number(&self) -> u16 {
        match self {
            Notice::Advanced(_) => 4000,
            Notice::LeaseHeld => 4001,
            Notice::LeaseLapsed => 4002,
            Notice::TargetChanged(_) => 4003,
            Notice::UpdateBack(_) => 4004,
            Notice::ProtocolDiffers(_) => 4005,
        }
    }

    /// Severity.
    pub fn level(&self) -> level::Level {
        match self {
            Notice::Advanced(_) | Notice::TargetChanged(_) => level::Level::Debug,
            Notice::LeaseHeld => level::Level::Info,
            Notice::LeaseLapsed | Notice::UpdateBack(_) => level::Level::Warn,
            Notice::ProtocolDiffers(_) => level::Level::Error,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Advanced(version) => write!(formatter, "view is at version {version}"),
            Notice::LeaseHeld => write!(formatter, "lease on the view granted"),
            Notice::LeaseLapsed => write!(
                formatter,
                "lease on the view expired; rejecting new work until a control instance with a \
                 quorum is reachable"
            ),
            Notice::TargetChanged(to) => {
                write!(formatter, "watcher switched to control instance {to}")
            }
            Notice::UpdateBack(version) => {
                write!(formatter, "dropped an update to a version before {version}")
            }
            Notice::ProtocolDiffers(version) => write!(
                formatter,
                "control has protocol version {version}; run compatible releases at both ends"
            ),
        }
    }
}
