//! Numbered events of this role, 1200 to 1999; those of the replicated log keep their own numbers.

use hyssopfork_consensus::notice;
use hyssopfork_state::placements;
use hyssopfork_wire::{level, name, number, patch};
use std::fmt;
use std::time::Duration;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(strum::EnumIter), doc = "Kind of a notice.")]
pub enum Notice {
    /// An event of the replicated log.
    Log(notice::Notice),
    /// This instance answers calls as leader.
    Serving(number::Term),
    /// This instance answered calls and doesn't any more; so many were told that their end is
    /// unknown.
    Ceased(number::Term, usize),
    /// This instance was stopped for a while and begins anew to listen for agents.
    Paused(Duration),
    /// A snapshot of this many bytes was handed to the log.
    Snapshot(number::Index, usize),
    /// The state was replaced by a snapshot.
    Restored(number::Index),
    /// A patch was accepted.
    Accepted(number::Configuration, patch::Identifier),
    /// A patch was refused.
    Refused(patch::Identifier, &'static str),
    /// An agent's process was recorded.
    Joined(name::Instance, number::Incarnation),
    /// An agent fell silent.
    Absent(name::Instance),
    /// An agent's process is leaving.
    Leaving(name::Instance),
    /// An instance absent for long was forgotten.
    Forgotten(name::Instance),
    /// A process asked for a lease under a name that a newer process holds.
    Superseded(name::Instance, u64),
    /// A watcher holds a version that was never accepted here.
    Ahead(number::Version, number::Version),
    /// A group was placed.
    Placed(name::Group, number::Fence, Vec<name::Instance>),
    /// A group's placement ended.
    Unplaced(name::Group),
    /// A placement that this leader proposed was not taken.
    Unplaceable(name::Group, placements::Obstacle),
    /// Claims ended with an unknown outcome, since their holders fell silent.
    Expired(usize),
    /// A claim was refused, since memory is full of ones that may not be dropped.
    ClaimsFull,
    /// A call was refused, since too many proposals wait.
    Crowded,
}

impl Kind {
    /// Number in the catalogue of events; `None` for one of the replicated log, which has its own.
    pub const fn number(self) -> Option<u16> {
        let number = match self {
            Kind::Log => return None,
            Kind::Serving => 1200,
            Kind::Ceased => 1201,
            Kind::Paused => 1202,
            Kind::Snapshot => 1203,
            Kind::Restored => 1204,
            Kind::Accepted => 1210,
            Kind::Refused => 1211,
            Kind::Joined => 1220,
            Kind::Absent => 1221,
            Kind::Leaving => 1222,
            Kind::Forgotten => 1223,
            Kind::Superseded => 1224,
            Kind::Ahead => 1225,
            Kind::Placed => 1230,
            Kind::Unplaced => 1231,
            Kind::Unplaceable => 1232,
            Kind::Expired => 1240,
            Kind::ClaimsFull => 1241,
            Kind::Crowded => 1250,
        };
        Some(number)
    }
}

impl Notice {
    /// Number in the catalogue of events.
    pub fn number(&self) -> u16 {
        match self {
            Notice::Log(inner) => inner.number(),
            own => Kind::from(own).number().unwrap_or_default(),
        }
    }

    /// How much it matters.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::Log(inner) => inner.level(),
            Notice::Ahead(..) => level::Level::Error,
            Notice::Paused(_)
            | Notice::Absent(_)
            | Notice::Superseded(..)
            | Notice::Expired(_)
            | Notice::ClaimsFull
            | Notice::Crowded => level::Level::Warn,
            _ => level::Level::Info,
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Log(inner) => inner.fmt(f),
            Notice::Serving(term) => write!(f, "answers calls as leader of term {term}"),
            Notice::Ceased(term, calls) => write!(
                f,
                "no longer answers calls as leader of term {term}; {calls} pending calls were told \
                 that their end is unknown"
            ),
            Notice::Paused(gap) => write!(
                f,
                "was stopped for {gap:?} and listens anew before it counts agents as missing; \
                 check the instance for overload or suspension"
            ),
            Notice::Snapshot(index, bytes) => {
                write!(f, "took a snapshot of {bytes} bytes at index {index}")
            }
            Notice::Restored(index) => write!(f, "restored the state of index {index}"),
            Notice::Accepted(number, patch) => {
                write!(f, "accepted patch {} as configuration {number}", patch.0)
            }
            Notice::Refused(patch, why) => write!(f, "refused patch {}: {why}", patch.0),
            Notice::Joined(instance, incarnation) => {
                write!(f, "instance {instance} announced itself, incarnation {incarnation}")
            }
            Notice::Absent(instance) => write!(
                f,
                "instance {instance} fell silent; its group is mended from spares, check the \
                 instance"
            ),
            Notice::Leaving(instance) => write!(f, "instance {instance} is leaving"),
            Notice::Forgotten(instance) => {
                write!(f, "forgot instance {instance}, which was absent for long")
            }
            Notice::Superseded(instance, boot) => write!(
                f,
                "process {boot:016x} of instance {instance} gets no lease, since a newer process \
                 runs under the name; end the older one or give it a name of its own"
            ),
            Notice::Ahead(have, version) => write!(
                f,
                "a watcher holds version {have} but this control is at {version}; check that it \
                 is set to this fleet's control, and that no data folder was restored from a copy"
            ),
            Notice::Placed(group, fence, members) => write!(
                f,
                "placed group {group} under fencing number {fence} on {}",
                members.iter().map(name::Instance::as_str).collect::<Vec<_>>().join(", ")
            ),
            Notice::Unplaced(group) => write!(f, "ended the placement of group {group}"),
            Notice::Unplaceable(group, obstacle) => {
                write!(f, "group {group} was not placed, the state had moved: {obstacle}")
            }
            Notice::Expired(count) => write!(
                f,
                "{count} claims ended with an unknown outcome, since their holders fell silent"
            ),
            Notice::ClaimsFull => write!(
                f,
                "refused a claim: memory is full of claims that may not be dropped yet; send less \
                 non-repeatable work or wait for outcomes to pass their time"
            ),
            Notice::Crowded => write!(
                f,
                "refused a call, since too many proposals wait; check the disks and the network \
                 between control instances"
            ),
        }
    }
}
