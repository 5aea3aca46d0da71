//! Engine state reports, requested by a new leader.
//!
//! A leader that has just been elected can't wait for the engines' announcements, nor rely on them
//! alone:
//!
//! - They arrive late: an engine calls the previous leader first and waits a second for an answer.
//! - They may be stale: one that was delayed may predate its engine's membership, and a join based on
//!   it could take the engine out of a group whose head is open.
//!
//! So each engine is asked for a report. The first order to join carries the number of orders that the
//! engine had accepted by then; an engine that has accepted another since rejects it. Later joins of the
//! same leader need no such guard, since engines reject older epochs, with one exception: a join without
//! an answer may still be carried out after the engine has left that epoch, because engines accept the
//! same membership again. Such an engine is asked again once it is freed, and its next join is guarded.

use super::order::Report;
use crate::announcement::{Announcement, Membership};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which a report is requested again; a report is some hundred milliseconds old.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Kind of an order, by its effect on the engine's next report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The engine joins a group.
    Join,
    /// The engine leaves its group.
    Leave,
    /// No effect on the membership.
    Other,
}

/// What a leader knows of an engine's orders.
#[derive(Clone, Debug)]
enum Knowledge {
    /// A report was requested and has not arrived.
    Requested,
    /// The engine's report, updated by the orders that it has accepted since.
    Reported(Report),
    /// The engine has accepted an order to join from this leader, so it rejects those of earlier ones.
    Joined,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Start of the engine's process that the entry is about.
    born: u64,
    requested_at: clock::Instant,
    knowledge: Knowledge,
    /// Newest epoch of an order to join without an answer, until the engine accepts one of a newer
    /// epoch.
    unanswered_join: Option<u64>,
}

/// Position of an announcement in the sequence of one engine's announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    born: u64,
    sequence: u64,
}

impl Position {
    /// The position of `announcement`.
    pub fn of(announcement: &Announcement) -> Position {
        Position { born: announcement.start_time_ms, sequence: announcement.sequence }
    }

    /// The position after this one.
    pub fn next(self) -> Position {
        Position { sequence: self.sequence + 1, ..self }
    }
}

/// Reports of the engines and what is known of their orders since.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    entries: BTreeMap<name::Instance, Entry>,
}

impl Reports {
    /// Whether the engine's report allows an order to join; `is_bound` tells whether a membership
    /// binds the engine.
    pub fn is_joinable(
        &self,
        announcement: &Announcement,
        is_bound: impl Fn(&Membership) -> bool,
    ) -> bool {
        match self.get(announcement).map(|entry| &entry.knowledge) {
            Some(Knowledge::Joined) => true,
            Some(Knowledge::Reported(report)) => !report.membership.as_ref().is_some_and(is_bound),
            Some(Knowledge::Requested) | None => false,
        }
    }

    /// Whether the engine is to be asked for a report now. If `repeatedly`, another report is
    /// requested even after one has arrived.
    pub fn is_request_due(
        &self,
        now: clock::Instant,
        announcement: &Announcement,
        repeatedly: bool,
    ) -> bool {
        self.get(announcement).is_none_or(|entry| {
            let unanswered = matches!(entry.knowledge, Knowledge::Requested);
            (unanswered || repeatedly) && now.since(entry.requested_at) >= REPORT_RETRY_INTERVAL
        })
    }

    /// Whether the engine's report names a membership that its announcement doesn't name. A report is
    /// some hundred milliseconds old when it arrives and may predate an order to leave; without
    /// another report, this leader would never use the engine again.
    pub fn contradicts(&self, announcement: &Announcement) -> bool {
        let is_announced = |it: &Membership| announcement.is_in(&it.group, it.epoch);
        match self.get(announcement).map(|entry| &entry.knowledge) {
            Some(Knowledge::Reported(report)) => {
                report.membership.as_ref().is_some_and(|it| !is_announced(it))
            }
            Some(Knowledge::Requested | Knowledge::Joined) | None => false,
        }
    }

    /// Records a request for the engine's report.
    pub fn start_request(&mut self, now: clock::Instant, announcement: &Announcement) {
        let fresh = || Entry {
            born: announcement.start_time_ms,
            requested_at: now,
            knowledge: Knowledge::Requested,
            unanswered_join: None,
        };
        let entry = self.entries.entry(announcement.instance.clone()).or_insert_with(fresh);
        if entry.born != announcement.start_time_ms {
            *entry = fresh();
        }
        entry.requested_at = now;
    }

    /// Records an engine's report.
    pub fn record_report(&mut self, instance: &name::Instance, report: &Report) {
        let entry = self.entries.get_mut(instance);
        let is_current = |entry: &&mut Entry| {
            !matches!(entry.knowledge, Knowledge::Joined)
                && report.start_time_ms.is_none_or(|start| start == entry.born)
        };
        if let Some(entry) = entry.filter(is_current) {
            entry.knowledge = Knowledge::Reported(report.clone());
        }
    }

    /// Precondition for the engine's first order to join: the number of orders that it has accepted.
    pub fn expected_orders(&self, announcement: &Announcement) -> Option<u64> {
        match &self.get(announcement)?.knowledge {
            Knowledge::Reported(report) => Some(report.accepted_orders),
            Knowledge::Requested | Knowledge::Joined => None,
        }
    }

    /// Records that the engine has accepted an order of this leader. A new report would count it too,
    /// but only after some hundred milliseconds, for which a repair would have to wait.
    pub fn record_order(&mut self, instance: &name::Instance, kind: Kind, epoch: u64) {
        let Some(entry) = self.entries.get_mut(instance) else { return };
        if kind == Kind::Join {
            entry.unanswered_join = entry.unanswered_join.filter(|unanswered| *unanswered >= epoch);
        }
        match (kind, &mut entry.knowledge) {
            (Kind::Join, knowledge) => *knowledge = Knowledge::Joined,
            // An engine that is in no group accepts an order to leave without counting it.
            (Kind::Leave, Knowledge::Reported(report)) => {
                report.accepted_orders += u64::from(report.membership.take().is_some());
            }
            (Kind::Other, Knowledge::Reported(report)) => report.accepted_orders += 1,
            (Kind::Leave | Kind::Other, Knowledge::Requested | Knowledge::Joined) => {}
        }
    }

    /// Records that an order to join under `epoch` got no answer.
    pub fn record_unanswered(&mut self, instance: &name::Instance, epoch: u64) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.unanswered_join = entry.unanswered_join.max(Some(epoch));
        }
    }

    /// Handles that the engine is no longer a member of a group.
    pub fn on_freed(&mut self, instance: &name::Instance) {
        let entry = self.entries.get_mut(instance);
        if let Some(entry) = entry.filter(|entry| entry.unanswered_join.is_some()) {
            entry.knowledge = Knowledge::Requested;
        }
    }

    /// Drops the engine's report, since the engine has accepted an order unknown to this leader.
    pub fn invalidate(&mut self, instance: &name::Instance) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.knowledge = Knowledge::Requested;
        }
    }

    fn get(&self, announcement: &Announcement) -> Option<&Entry> {
        self.entries
            .get(&announcement.instance)
            .filter(|entry| entry.born == announcement.start_time_ms)
    }
}
