//! Numbered log events of the fleet's control, 5000 to 5199.

use crate::groups::{failure_detector, group, order};
use crate::{quarantine, read_refusal, registry};
use hyssopfork_consensus::notice as log;
use hyssopfork_wire::{level, name, number};
use std::fmt;
use std::net;
use std::time::Duration;

/// A numbered log event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// An event of the consensus node.
    Log(log::Notice),
    /// This process became the leader of the fleet.
    Serving(number::Term),
    /// This process is no longer the leader.
    Ceased(number::Term),
    /// This process follows a leader.
    Following(net::SocketAddr),
    /// The followed leader does not answer.
    LeaderLost(net::SocketAddr),
    /// The data folder is open.
    FolderOpened,
    /// The data folder can't be written; the process continues without it.
    FolderFailed,
    /// A view that an earlier process saved was read; the numbers of its upstreams and groups.
    ViewRestored(usize, usize),
    /// The process was paused for this many milliseconds.
    Paused(u64),
    /// A declaration came into force.
    Declared(u64),
    /// A zone was taken out.
    TakenOut(name::Zone),
    /// A zone was brought back in.
    BroughtIn(name::Zone),
    /// An upstream registered or announced a change; the announced fields.
    Upstream(name::Instance, name::Pool, String),
    /// A stale call of an upstream was dropped.
    LateCall(name::Instance),
    /// An upstream departed.
    Departed(name::Instance),
    /// An upstream is unreachable; the evidence.
    Unresponsive(name::Instance, failure_detector::Evidence),
    /// An unresponsive upstream responds again.
    Responsive(name::Instance),
    /// An upstream counts as dead; the evidence.
    Lost(name::Instance, failure_detector::Evidence),
    /// Requests with a cause were quarantined after crashes, or again with a trial of one of them; the
    /// round of the quarantine.
    Quarantined(quarantine::Cause, u32),
    /// A request with a quarantined cause completed, which ended the quarantine.
    Released(quarantine::Cause),
    /// A group was formed, or an instance was put in reserve.
    Formed(name::Group, name::Model, Vec<name::Instance>, group::Phase),
    /// A group of an earlier leader was taken over.
    Adopted(name::Group, group::Phase),
    /// A group entered another phase.
    Turned(name::Group, group::Phase),
    /// A group ended; its members are free.
    Ended(name::Group),
    /// An order was answered or failed.
    Ordered(name::Instance, name::Group, order::Outcome),
    /// This leader knows the fleet: no upstream has called for some time that it did not know.
    FleetKnown {
        /// Known upstreams.
        upstreams: usize,
        /// Known groups.
        groups: usize,
        /// Time since it began to lead.
        after: Duration,
    },
    /// The plan of a pool follows the demand; the loads and what the change is expected to bring.
    Replanned(name::Pool, String),
    /// The log holds data that this release can't read.
    Unreadable(String),
    /// A vacant or silent voter is removed from the log.
    SeatRemoved(name::Instance),
    /// The seat of a voter is given to a newer instance, or to one that answers.
    SeatReplaced(name::Instance, name::Instance),
    /// Reads of the configuration were refused.
    ReadRefused(Box<read_refusal::Refusal>),
    /// A change is applied and not acknowledged, since too many instances may run without it.
    AcknowledgementWithheld {
        /// Instances that have not received it.
        missing: Vec<name::Instance>,
        /// Number of instances that have a seat, or had one and may run.
        members: usize,
    },
    /// The received parts of a declaration can't be decoded.
    DocumentDamaged(String),
    /// An update of the view can't be decoded.
    UpdateDamaged(String),
}

impl Notice {
    /// Number in the catalogue of events.
    pub const fn number(&self) -> u16 {
        match self {
            Notice::Log(inner) => inner.number(),
            Notice::Serving(..) => 5000,
            Notice::Ceased(..) => 5001,
            Notice::Following(..) => 5002,
            Notice::LeaderLost(..) => 5003,
            Notice::FolderOpened => 5004,
            Notice::FolderFailed => 5005,
            Notice::Paused(..) => 5006,
            Notice::Unreadable(..) => 5007,
            Notice::SeatRemoved(..) => 5008,
            Notice::DocumentDamaged(..) => 5009,
            Notice::Declared(..) => 5010,
            Notice::TakenOut(..) => 5011,
            Notice::BroughtIn(..) => 5012,
            Notice::UpdateDamaged(..) => 5013,
            Notice::ViewRestored(..) => 5014,
            Notice::SeatReplaced(..) => 5015,
            Notice::ReadRefused(..) => 5016,
            Notice::AcknowledgementWithheld { .. } => 5017,
            Notice::Upstream(..) => 5020,
            Notice::LateCall(..) => 5021,
            Notice::Departed(..) => 5022,
            Notice::Lost(..) => 5023,
            Notice::Quarantined(..) => 5024,
            Notice::Unresponsive(..) => 5026,
            Notice::Responsive(..) => 5027,
            Notice::Released(..) => 5025,
            Notice::Formed(..) => 5030,
            Notice::Adopted(..) => 5031,
            Notice::Turned(..) => 5032,
            Notice::Ended(..) => 5033,
            Notice::Ordered(..) => 5034,
            Notice::Replanned(..) => 5035,
            Notice::FleetKnown { .. } => 5036,
        }
    }

    /// Severity of the event.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::Log(inner) => inner.level(),
            Notice::ReadRefused(refusal) => refusal.reason.level(),
            Notice::Unreadable(..) => level::Level::Error,
            Notice::LeaderLost(..)
            | Notice::FolderFailed
            | Notice::Paused(..)
            | Notice::SeatRemoved(..)
            | Notice::AcknowledgementWithheld { .. }
            | Notice::DocumentDamaged(..)
            | Notice::UpdateDamaged(..)
            | Notice::Quarantined(..)
            | Notice::Unresponsive(..)
            | Notice::Lost(..) => level::Level::Warn,
            _ => level::Level::Info,
        }
    }

    /// Name in the catalogue of events.
    pub fn name(&self) -> String {
        match self {
            Notice::Log(inner) => format!("{:?}", log::Kind::from(inner)),
            other => format!("{:?}", Kind::from(other)),
        }
    }

    /// The event of an upstream's announcement; `None` if it repeated what was known.
    pub fn for_announcement(
        outcome: registry::Outcome,
        record: &registry::Record,
    ) -> Option<Notice> {
        let announcement = &record.announcement;
        match outcome {
            registry::Outcome::Unchanged => None,
            registry::Outcome::Stale => Some(Notice::LateCall(announcement.instance.clone())),
            registry::Outcome::Changed => {
                let group =
                    announcement.membership.as_ref().map_or_else(String::new, |membership| {
                        format!(
                            " group={} rank={} state={}",
                            membership.group, membership.rank, membership.state
                        )
                    });
                let fields = format!(
                    "born={} sequence={} draining={} cold_ms={} domain={} loaded={} staged={}{group}",
                    announcement.start_time_ms,
                    announcement.sequence,
                    announcement.draining,
                    announcement.cold.as_millis(),
                    announcement.domain,
                    announcement.loaded.as_ref().map_or("-", |model| model.as_str()),
                    join_models(&announcement.staged)
                );
                Some(Notice::Upstream(
                    announcement.instance.clone(),
                    announcement.pool.clone(),
                    fields,
                ))
            }
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Log(inner) => inner.fmt(formatter),
            Notice::Serving(term) => write!(formatter, "process leads the fleet in term {term}"),
            Notice::Ceased(term) => {
                write!(formatter, "process no longer leads the fleet in term {term}")
            }
            Notice::Following(leader) => write!(formatter, "process follows leader {leader}"),
            Notice::LeaderLost(leader) => write!(formatter, "leader {leader} does not answer"),
            Notice::FolderOpened => write!(formatter, "data folder opened"),
            Notice::FolderFailed => write!(
                formatter,
                "data folder can't be written; process takes no part in the log until it can: free disk space or replace the disk"
            ),
            Notice::ViewRestored(upstreams, groups) => {
                write!(formatter, "saved view read upstreams={upstreams} groups={groups}")
            }
            Notice::Paused(millis) => write!(formatter, "process was paused for {millis} ms"),
            Notice::Declared(version) => write!(formatter, "declaration {version} is in force"),
            Notice::TakenOut(zone) => write!(formatter, "zone {zone} was taken out"),
            Notice::BroughtIn(zone) => write!(formatter, "zone {zone} was brought back in"),
            Notice::Upstream(instance, pool, fields) => {
                write!(formatter, "upstream {instance} of pool {pool} announced: {fields}")
            }
            Notice::LateCall(instance) => {
                write!(formatter, "stale call of {instance} was dropped")
            }
            Notice::Departed(instance) => write!(formatter, "{instance} departed"),
            Notice::Unresponsive(instance, evidence) => {
                write!(formatter, "{instance} is unresponsive: {evidence}")
            }
            Notice::Responsive(instance) => write!(formatter, "{instance} responds again"),
            Notice::Lost(instance, evidence) => {
                write!(formatter, "{instance} counts as dead: {evidence}")
            }
            Notice::Quarantined(cause, round) => {
                write!(formatter, "{cause} is quarantined after crashes round={round}")
            }
            Notice::Released(cause) => {
                write!(formatter, "{cause} completed and is no longer quarantined")
            }
            Notice::Formed(group, model, members, phase) => {
                let members: Vec<&str> = members.iter().map(name::Instance::as_str).collect();
                write!(formatter, "group {group} of {model} is {phase}: {}", members.join(" "))
            }
            Notice::Adopted(group, phase) => {
                write!(formatter, "group {group} was taken over as {phase}")
            }
            Notice::Turned(group, phase) => write!(formatter, "group {group} is {phase}"),
            Notice::Ended(group) => write!(formatter, "group {group} ended"),
            Notice::Ordered(instance, group, outcome) => {
                write!(formatter, "order to {instance} for {group}: {outcome}")
            }
            Notice::FleetKnown { upstreams, groups, after } => {
                write!(
                    formatter,
                    "leader knows the fleet upstreams={upstreams} groups={groups} after_ms={}",
                    after.as_millis()
                )
            }
            Notice::Replanned(pool, change) => {
                write!(formatter, "capacity plan of pool {pool} follows the demand: {change}")
            }
            Notice::Unreadable(reason) => {
                write!(formatter, "{reason}; run a release that can read the log")
            }
            Notice::SeatRemoved(instance) => {
                write!(formatter, "voter {instance} does not answer and is removed from the log")
            }
            Notice::SeatReplaced(from, to) => {
                write!(formatter, "the seat of voter {from} in the log is given to {to}")
            }
            Notice::ReadRefused(refusal) => {
                write!(formatter, "read of the configuration refused: {refusal}")
            }
            Notice::AcknowledgementWithheld { missing, members } => {
                let missing: Vec<&str> = missing.iter().map(name::Instance::as_str).collect();
                write!(
                    formatter,
                    "change applied, not acknowledged: instances={members} missing={}",
                    missing.join(",")
                )
            }
            Notice::DocumentDamaged(reason) | Notice::UpdateDamaged(reason) => {
                formatter.write_str(reason)
            }
        }
    }
}

fn join_models(models: &[name::Model]) -> String {
    let names: Vec<&str> = models.iter().map(name::Model::as_str).collect();
    names.join(",")
}
