//! Numbered events of the replicated log, 1000 to 1199.

use crate::report;
use hyssopfork_wire::{consensus, level, name, number};
use std::fmt;

/// A numbered log event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(strum::EnumIter), doc = "Kind of a notice.")]
pub enum Notice {
    /// This node became leader.
    Leads(number::Term),
    /// This node is no longer leader.
    SteppedDown(number::Term),
    /// This node became follower of a leader.
    Follows(number::Term, consensus::Voter),
    /// This node leads but has received no response from a quorum for an election timeout.
    QuorumLost(number::Term),
    /// The log was formed from blank data folders.
    Formed(Vec<consensus::Voter>),
    /// The voters changed.
    Voters(number::Index, Vec<consensus::Voter>),
    /// The leader started to replicate the log to a learner.
    CatchingUp(consensus::Voter),
    /// A non-voter requests to join and gets no seat yet.
    JoinDeferred(consensus::Voter),
    /// This follower replaced its state with a snapshot from the leader.
    Installed(number::Index),
    /// Another instance requests to form a log from a different list of voters.
    ListDiffers(name::Instance),
    /// A requested change of the voters was rejected.
    ChangeRejected(name::Instance),
    /// The leader hands over its leadership.
    HandedOver(number::Term, consensus::Voter),
    /// This node was elected while the folder of a voter was known to be lost.
    FolderLost(consensus::Voter),
    /// The node started with this data folder.
    Recovered(Box<report::Folder>),
    /// A candidacy got no quorum.
    ElectionFailed(Box<report::Candidacy>),
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
            Notice::JoinDeferred(..) => 1017,
            Notice::FolderLost(..) => 1018,
            Notice::Recovered(..) => 1019,
            Notice::ElectionFailed(..) => 1020,
        }
    }

    /// Severity.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::QuorumLost(..)
            | Notice::ListDiffers(..)
            | Notice::ChangeRejected(..)
            | Notice::FolderLost(..)
            | Notice::ElectionFailed(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Leads(term) => write!(formatter, "this instance leads in term {term}"),
            Notice::SteppedDown(term) => {
                write!(formatter, "this instance no longer leads in term {term}")
            }
            Notice::Follows(term, leader) => {
                write!(formatter, "this instance follows {} in term {term}", leader.instance)
            }
            Notice::QuorumLost(term) => write!(
                formatter,
                "this instance led in term {term} but got no response from a quorum of the voters; check their processes and the network"
            ),
            Notice::Formed(voters) => {
                write!(formatter, "this instance formed the log with {}", format_voters(voters))
            }
            Notice::Voters(index, voters) => {
                write!(formatter, "voters from index {index} on: {}", format_voters(voters))
            }
            Notice::CatchingUp(voter) => {
                write!(
                    formatter,
                    "this instance is catching up {}, which has a new data folder",
                    voter.instance
                )
            }
            Notice::JoinDeferred(voter) => write!(
                formatter,
                "{} requests to join and gets no seat; it is not listed, or there are enough voters",
                voter.instance
            ),
            Notice::Installed(index) => {
                write!(formatter, "this instance installed a snapshot up to index {index}")
            }
            Notice::ListDiffers(instance) => write!(
                formatter,
                "{instance} lists other initial voters than this instance; use the same list in the settings of both"
            ),
            Notice::ChangeRejected(instance) => write!(
                formatter,
                "this instance rejected a change of the voters for {instance}; wait until the last change is committed, and before an addition start the new instance"
            ),
            Notice::HandedOver(term, successor) => {
                write!(
                    formatter,
                    "this instance hands over leadership of term {term} to {}",
                    successor.instance
                )
            }
            Notice::FolderLost(voter) => write!(
                formatter,
                "this instance was elected after {} lost its data folder; its seat is vacant until its new folder has caught up",
                voter.instance
            ),
            Notice::Recovered(folder) => write!(formatter, "data folder read: {folder}"),
            Notice::ElectionFailed(candidacy) => {
                write!(formatter, "no leader: the election got no quorum: {candidacy}")
            }
        }
    }
}

/// Formats the voters as a list of instances, with vacant seats and superseded instances marked.
fn format_voters(voters: &[consensus::Voter]) -> String {
    let seat = |voter: &consensus::Voter| match voter.folder {
        consensus::VACANT => format!("{} (vacant)", voter.instance),
        consensus::SUPERSEDED => format!("{} (superseded, no voter)", voter.instance),
        _ => voter.instance.to_string(),
    };
    let seats: Vec<String> = voters.iter().map(seat).collect();
    seats.join(", ")
}
