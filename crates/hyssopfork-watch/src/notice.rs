//! Numbered events of the watcher, for the log.

use hyssopfork_wire::{level, number};
use std::{fmt, net};

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(derive(strum::EnumIter), name(Kind), doc = "Kind of a numbered event.")]
pub enum Notice {
    /// The view moved on.
    Advanced(number::Version),
    /// A lease is held after a time without.
    LeaseHeld,
    /// The lease lapsed.
    LeaseLapsed,
    /// Another control instance is asked from now on.
    TargetChanged(net::SocketAddr),
    /// An update that leads back was dropped, and its lease with it.
    UpdateBack(number::Version),
    /// A control instance speaks another protocol version.
    ProtocolDiffers(u16),
}

impl Notice {
    /// Number in the catalogue.
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

    /// How much it matters.
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
            Notice::LeaseHeld => write!(formatter, "a lease on the view is held"),
            Notice::LeaseLapsed => write!(
                formatter,
                "the lease on the view lapsed; new work is refused until a control instance with \
                 a quorum can be reached"
            ),
            Notice::TargetChanged(to) => write!(formatter, "asking control instance {to} now"),
            Notice::UpdateBack(version) => {
                write!(formatter, "dropped an update that leads back from version {version}")
            }
            Notice::ProtocolDiffers(version) => write!(
                formatter,
                "control speaks protocol version {version}; run compatible releases at both ends"
            ),
        }
    }
}
