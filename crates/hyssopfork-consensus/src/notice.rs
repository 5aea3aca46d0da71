//! Numbered events of the replicated log, 1000 to 1199.

use hyssopfork_wire::{consensus, level, name, number};
use std::fmt;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(strum::EnumIter), doc = "Kind of a notice.")]
pub enum Notice {
    /// This node leads.
    Leads(number::Term),
    /// This node led and doesn't any more.
    SteppedDown(number::Term),
    /// This node follows another.
    Follows(number::Term, consensus::Voter),
    /// This node leads but heard from no quorum for an election timeout.
    QuorumLost(number::Term),
    /// The log was formed from blank folders.
    Formed(Vec<consensus::Voter>),
    /// The voters changed.
    Voters(number::Index, Vec<consensus::Voter>),
    /// A folder that is not a voter's is being caught up.
    CatchingUp(consensus::Voter),
    /// A follower's state was replaced by a snapshot.
    Installed(number::Index),
    /// Another process asks to form a log from another list of voters.
    ListDiffers(name::Instance),
    /// A change of voters was asked for that cannot be made now.
    ChangeRejected(name::Instance),
    /// Leadership is being handed over.
    HandedOver(number::Term, consensus::Voter),
}

impl Notice {
    /// Number in the catalogue of events.
    pub const fn number(&self) -> u16 {
        match self {
            Notice::Leads(..) => 1000,
            Notice::SteppedDown(..) => 1001,
            Notice::Follows(..) => 1002,
            Notice::QuorumLost(..) => 1003,
            Notice::Formed(..) => 1010,
            Notice::Voters(..) => 1011,
            Notice::CatchingUp(..) => 1012,
            Notice::Installed(..) => 1013,
            Notice::ListDiffers(..) => 1014,
            Notice::ChangeRejected(..) => 1015,
            Notice::HandedOver(..) => 1016,
        }
    }

    /// How urgent it is.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::QuorumLost(..) | Notice::ListDiffers(..) | Notice::ChangeRejected(..) => {
                level::Level::Warn
            }
            _ => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Leads(term) => write!(formatter, "leads in term {term}"),
            Notice::SteppedDown(term) => write!(formatter, "no longer leads in term {term}"),
            Notice::Follows(term, leader) => {
                write!(formatter, "follows {} in term {term}", leader.instance)
            }
            Notice::QuorumLost(term) => write!(
                formatter,
                "led in term {term} but a majority of voters is silent; check their processes and the network"
            ),
            Notice::Formed(voters) => {
                write!(formatter, "formed the log with {}", format_voters(voters))
            }
            Notice::Voters(index, voters) => {
                write!(formatter, "voters from index {index} on: {}", format_voters(voters))
            }
            Notice::CatchingUp(voter) => {
                write!(formatter, "catching up {} with a new folder", voter.instance)
            }
            Notice::Installed(index) => write!(formatter, "installed a snapshot up to {index}"),
            Notice::ListDiffers(instance) => write!(
                formatter,
                "{instance} lists other first voters than this instance; make the settings equal"
            ),
            Notice::ChangeRejected(instance) => write!(
                formatter,
                "the voters cannot be changed for {instance} now; wait for the last change, and for an addition start its process first"
            ),
            Notice::HandedOver(term, successor) => {
                write!(formatter, "hands over term {term} to {}", successor.instance)
            }
        }
    }
}

/// Voters as a list of instances.
fn format_voters(voters: &[consensus::Voter]) -> String {
    let seat = |voter: &consensus::Voter| match voter.folder {
        consensus::VACANT => format!("{} (vacant)", voter.instance),
        _ => voter.instance.to_string(),
    };
    let seats: Vec<String> = voters.iter().map(seat).collect();
    seats.join(", ")
}
