//! Numbered events of the control of a self-registering fleet, 5000 to 5199.

use crate::{groups::group, groups::order, quarantine, registry};
use hyssopfork_consensus::notice as log;
use hyssopfork_wire::{level, name, number};
use std::fmt;
use std::net;

/// A numbered event.
#[derive(Clone, Debug, PartialEq, Eq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(strum::EnumIter, strum::IntoStaticStr),
    doc = "Kind of a notice."
)]
pub enum Notice {
    /// An event of the replicated log.
    Log(log::Notice),
    /// This process answers for the fleet.
    Serving(number::Term),
    /// It no longer does.
    Ceased(number::Term),
    /// This process follows a leader.
    Following(net::SocketAddr),
    /// Its leader does not answer any more.
    LeaderLost(net::SocketAddr),
    /// The data folder is open.
    FolderOpened,
    /// The data folder can't be written; the process goes on without it.
    FolderFailed,
    /// The process did not run for a while.
    Paused(u64),
    /// A declaration came into force.
    Declared(u64),
    /// A zone was taken out.
    TakenOut(name::Zone),
    /// A zone was taken back in.
    BroughtIn(name::Zone),
    /// An upstream is known that was not, or says something new.
    Upstream(name::Instance, name::Pool, String),
    /// An upstream's call was older than what is known.
    LateCall(name::Instance),
    /// An upstream said that it is gone.
    Departed(name::Instance),
    /// An upstream answers nothing and counts as dead.
    Lost(name::Instance),
    /// A request is kept from all upstreams, after crashes or an attempt that crashed another one; how
    /// often it was.
    Quarantined(quarantine::Fingerprint, u32),
    /// A quarantined request completed and is no longer kept from upstreams.
    Released(quarantine::Fingerprint),
    /// A group was formed, or an instance put in reserve.
    Formed(name::Group, name::Model, Vec<name::Instance>, group::Stage),
    /// A group of an earlier leader was taken over.
    Adopted(name::Group, group::Stage),
    /// A group moved on.
    Turned(name::Group, group::Stage),
    /// A group ended; its members are free.
    Ended(name::Group),
    /// An order was answered, or not.
    Ordered(name::Instance, name::Group, order::Outcome),
    /// The log's content can't be read by this release.
    Unreadable(String),
    /// A vacant or silent seat of the log is given up.
    SeatRemoved(name::Instance),
    /// The parts of a declaration don't make one.
    DocumentDamaged(String),
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
            Notice::Upstream(..) => 5020,
            Notice::LateCall(..) => 5021,
            Notice::Departed(..) => 5022,
            Notice::Lost(..) => 5023,
            Notice::Quarantined(..) => 5024,
            Notice::Released(..) => 5025,
            Notice::Formed(..) => 5030,
            Notice::Adopted(..) => 5031,
            Notice::Turned(..) => 5032,
            Notice::Ended(..) => 5033,
            Notice::Ordered(..) => 5034,
        }
    }

    /// How much it matters.
    pub const fn level(&self) -> level::Level {
        match self {
            Notice::Log(inner) => inner.level(),
            Notice::Unreadable(..) => level::Level::Error,
            Notice::LeaderLost(..)
            | Notice::FolderFailed
            | Notice::Paused(..)
            | Notice::SeatRemoved(..)
            | Notice::DocumentDamaged(..)
            | Notice::Quarantined(..)
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

    /// The event of an upstream's call; `None` where there is nothing to tell.
    pub fn for_announcement(taken: registry::Outcome, record: &registry::Record) -> Option<Notice> {
        let told = &record.announcement;
        match taken {
            registry::Outcome::Unchanged => None,
            registry::Outcome::Stale => Some(Notice::LateCall(told.instance.clone())),
            registry::Outcome::Changed => {
                let group = told.membership.as_ref().map_or_else(String::new, |membership| {
                    format!(
                        " group={} rank={} state={}",
                        membership.group, membership.rank, membership.state
                    )
                });
                let says = format!(
                    "born={} sequence={} draining={} cold_ms={} domain={} loaded={} staged={}{group}",
                    told.start_time_ms,
                    told.sequence,
                    told.draining,
                    told.cold.as_millis(),
                    told.domain,
                    told.loaded.as_ref().map_or("-", |model| model.as_str()),
                    join_models(&told.staged)
                );
                Some(Notice::Upstream(told.instance.clone(), told.pool.clone(), says))
            }
        }
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Log(inner) => inner.fmt(formatter),
            Notice::Serving(term) => write!(formatter, "answers for the fleet in term {term}"),
            Notice::Ceased(term) => write!(formatter, "no longer answers in term {term}"),
            Notice::Following(leader) => write!(formatter, "follows {leader}"),
            Notice::LeaderLost(leader) => write!(formatter, "no answer of the leader {leader}"),
            Notice::FolderOpened => write!(formatter, "the data folder is open"),
            Notice::FolderFailed => write!(
                formatter,
                "the data folder can't be written; this process takes no part in the log until it can: free space or replace the disk"
            ),
            Notice::Paused(millis) => write!(formatter, "did not run for {millis} ms"),
            Notice::Declared(version) => write!(formatter, "declaration {version} is in force"),
            Notice::TakenOut(zone) => write!(formatter, "zone {zone} is out"),
            Notice::BroughtIn(zone) => write!(formatter, "zone {zone} is back in"),
            Notice::Upstream(instance, pool, says) => {
                write!(formatter, "upstream {instance} of {pool}: {says}")
            }
            Notice::LateCall(instance) => {
                write!(formatter, "a late call of {instance} counts for nothing")
            }
            Notice::Departed(instance) => write!(formatter, "{instance} left"),
            Notice::Lost(instance) => {
                write!(formatter, "{instance} answers nothing and counts as dead")
            }
            Notice::Quarantined(request, round) => {
                write!(formatter, "request {request} is quarantined after crashes round={round}")
            }
            Notice::Released(request) => {
                write!(formatter, "request {request} completed; no longer quarantined")
            }
            Notice::Formed(group, model, members, stage) => {
                let members: Vec<&str> = members.iter().map(name::Instance::as_str).collect();
                write!(formatter, "group {group} of {model} is {stage}: {}", members.join(" "))
            }
            Notice::Adopted(group, stage) => {
                write!(formatter, "group {group} taken over as {stage}")
            }
            Notice::Turned(group, stage) => write!(formatter, "group {group} is {stage}"),
            Notice::Ended(group) => write!(formatter, "group {group} ended"),
            Notice::Ordered(instance, group, outcome) => {
                write!(formatter, "order to {instance} for {group}: {outcome}")
            }
            Notice::Unreadable(reason) => {
                write!(formatter, "{reason}; run a release that can read the log")
            }
            Notice::SeatRemoved(instance) => {
                write!(formatter, "{instance} gave no sign and loses its seat in the log")
            }
            Notice::DocumentDamaged(reason) => formatter.write_str(reason),
        }
    }
}

fn join_models(models: &[name::Model]) -> String {
    let names: Vec<&str> = models.iter().map(name::Model::as_str).collect();
    names.join(",")
}
