//! Reads of the configuration that a process refuses, for the log.

use hyssopfork_consensus::report;
use hyssopfork_wire::{clock, level, number};
use std::fmt;
use std::net;
use std::time::Duration;

/// Interval at which refused reads are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a read is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// This process knows no leader.
    NoLeader,
    /// Another process leads, to which the client is redirected.
    NotLeader,
    /// This process leads, but no quorum has responded for the time of its lease.
    NoQuorum,
    /// This process leads, but has not applied all committed entries.
    NotApplied,
    /// This process leads, and nothing is declared.
    NoDeclaration,
}

impl Reason {
    /// Severity. A client that is redirected gets its answer elsewhere.
    pub const fn level(self) -> level::Level {
        match self {
            Reason::NotLeader => level::Level::Info,
            _ => level::Level::Warn,
        }
    }
}

/// What a process knows of the leader when it refuses a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Time since a leader was last in contact; since the start of the process if none was.
    pub leaderless: Duration,
    /// The last one; `None` if none was.
    pub last_leader: Option<net::SocketAddr>,
    /// Highest term seen; `None` without a data folder.
    pub term: Option<number::Term>,
    /// Voters after the last entry, and their last messages; none without a data folder.
    pub contacts: report::Contacts,
    /// Reads refused since the last report, this one included.
    pub refused: u64,
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Refusal { reason, leaderless, last_leader, term, contacts, refused } = self;
        write!(formatter, "{reason} leaderless_ms={} last_leader=", leaderless.as_millis())?;
        match last_leader {
            Some(leader) => write!(formatter, "{leader}")?,
            None => formatter.write_str("-")?,
        }
        match term {
            Some(term) => write!(formatter, " term={term}")?,
            None => formatter.write_str(" term=-")?,
        }
        write!(formatter, " voters_heard_ms={contacts} refused={refused}")
    }
}

/// When a leader was last in contact, and which refused reads have not been logged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tracker {
    last_leader: Option<net::SocketAddr>,
    /// Last contact with it, or the start of the process.
    contact_at: clock::Instant,
    last_report: Option<clock::Instant>,
    /// Reads refused since the last report.
    unreported: u64,
}

impl Tracker {
    /// Creates the state of a process that started at `now`.
    pub(crate) fn new(now: clock::Instant) -> Tracker {
        Tracker { last_leader: None, contact_at: now, last_report: None, unreported: 0 }
    }

    /// Records a statement of the leader.
    pub(crate) fn on_contact(&mut self, now: clock::Instant, leader: net::SocketAddr) {
        self.last_leader = Some(leader);
        self.contact_at = now;
    }

    /// The last leader and the time since its last statement.
    pub(crate) fn last_contact(&self, now: clock::Instant) -> (Option<net::SocketAddr>, Duration) {
        (self.last_leader, now.since(self.contact_at))
    }

    /// Counts a refused read; returns the number of those to be logged now.
    pub(crate) fn on_refused(&mut self, now: clock::Instant) -> Option<u64> {
        self.unreported += 1;
        if self.last_report.is_some_and(|last| now.since(last) < REPORT_INTERVAL) {
            return None;
        }
        self.last_report = Some(now);
        Some(std::mem::take(&mut self.unreported))
    }
}
