//! Numbered log events of this role, 1200 to 1999; those of the replicated log keep their own
//! numbers.

use hyssopfork_consensus::notice;
use hyssopfork_state::placements;
use hyssopfork_wire::{level, name, number, patch};
use std::fmt;
use std::time::Duration;

/// A numbered log event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(strum::EnumIter), doc = "Kind of a notice.")]
pub enum Notice {
    /// An event of the replicated log.
    Log(notice::Notice),
    /// This instance began to answer calls as leader.
    Serving(number::Term),
    /// This instance ceased to answer calls as leader; this many pending calls were answered with
    /// an unknown outcome.
    Ceased(number::Term, usize),
    /// This process was paused for this long and restarts the presence timeouts.
    Paused(Duration),
    /// A snapshot of this many bytes was passed to the log.
    Snapshot(number::Index, usize),
    /// The state was replaced by a snapshot.
    Restored(number::Index),
    /// A patch was accepted.
    Accepted(number::Configuration, patch::Identifier),
    /// A patch was rejected.
    Refused(patch::Identifier, &'static str),
    /// A process of an agent was recorded.
    Joined(name::Instance, number::Incarnation),
    /// An agent missed its renewals and counts as absent.
    Absent(name::Instance),
    /// A process of an agent is leaving.
    Leaving(name::Instance),
    /// The record of an instance that was absent for long was removed.
    Forgotten(name::Instance),
    /// A process requested a lease under a name that a newer process uses.
    Superseded(name::Instance, u64),
    /// A watcher has a version that this control never accepted: the watcher's version, then the
    /// control's.
    Ahead(number::Version, number::Version),
    /// A group was placed.
    Placed(name::Group, number::Fence, Vec<name::Instance>),
    /// A group's placement ended.
    Unplaced(name::Group),
    /// A placement that this leader proposed was rejected when it was applied.
    Unplaceable(name::Group, placements::Violation),
    /// This many claims ended with an unknown outcome, since their holders recorded none in time.
    Expired(usize),
    /// A claim was rejected, since memory is full of claims that must be retained.
    ClaimsFull,
    /// A call was rejected, since too many proposals or long polls are pending.
    Crowded,
}

impl Kind {
    /// Number in the catalogue of events; `None` for an event of the replicated log, which has its
    /// own.
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

    /// Log level.
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
            Notice::Serving(term) => {
                write!(f, "this instance answers calls as leader of term {term}")
            }
            Notice::Ceased(term, calls) => write!(
                f,
                "this instance no longer answers calls as leader of term {term}; {calls} pending \
                 calls were answered with an unknown outcome"
            ),
            Notice::Paused(gap) => write!(
                f,
                "this process was paused for {gap:?} and restarts the presence timeouts of agents; \
                 check the instance for overload or suspension"
            ),
            Notice::Snapshot(index, bytes) => {
                write!(f, "took a snapshot of {bytes} bytes at index {index}")
            }
            Notice::Restored(index) => write!(f, "restored the state of index {index}"),
            Notice::Accepted(number, patch) => {
                write!(f, "accepted patch {} as configuration {number}", patch.0)
            }
            Notice::Refused(patch, why) => write!(f, "rejected patch {}: {why}", patch.0),
            Notice::Joined(instance, incarnation) => {
                write!(f, "instance {instance} announced itself, incarnation {incarnation}")
            }
            Notice::Absent(instance) => write!(
                f,
                "instance {instance} missed its renewals and counts as absent; its group is \
                 repaired with spares; check the instance"
            ),
            Notice::Leaving(instance) => write!(f, "instance {instance} is leaving"),
            Notice::Forgotten(instance) => {
                write!(f, "removed the record of instance {instance}, which was absent for long")
            }
            Notice::Superseded(instance, boot) => write!(
                f,
                "process {boot:016x} of instance {instance} gets no lease, since a newer process \
                 runs under the same name; end the older one or give it a name of its own"
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
            Notice::Unplaceable(group, violation) => {
                write!(
                    f,
                    "placement of group {group} was rejected, the state had changed: {violation}"
                )
            }
            Notice::Expired(count) => write!(
                f,
                "{count} claims ended with an unknown outcome, since their holders recorded none \
                 in time"
            ),
            Notice::ClaimsFull => write!(
                f,
                "rejected a claim: memory is full of claims that must be retained; send less \
                 non-repeatable work or wait until outcomes are past their retention"
            ),
            Notice::Crowded => write!(
                f,
                "rejected a call, since too many proposals or long polls are pending; check the \
                 disks and the network between control instances"
            ),
        }
    }
}
