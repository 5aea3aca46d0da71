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

/// Time before an engine is asked again: a report tells of a moment some hundred milliseconds ago.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Kind of an order, as far as it changes what a report says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It joins a group.
    Join,
    /// It leaves its group.
    Leave,
    /// Any other.
    Other,
}

#[derive(Clone, Debug)]
enum Knowledge {
    /// It was asked and has not answered.
    Asked,
    /// It said this, and took the orders that were added to it since.
    Reported(Report),
    /// It has taken an order to join of this leader: it refuses those of earlier ones.
    Joined,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Start of the process that it is known of.
    born: u64,
    asked: clock::Instant,
    knowledge: Knowledge,
    /// Newest epoch of an order to join that got no answer, until one of a newer epoch is taken.
    unanswered: Option<u64>,
}

/// Place of an announcement among those of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Announced {
    born: u64,
    sequence: u64,
}

impl Announced {
    /// The place of `told`.
    pub fn of(told: &Announcement) -> Announced {
        Announced { born: told.start_time_ms, sequence: told.sequence }
    }

    /// The place of the announcement after this one.
    pub fn next(self) -> Announced {
        Announced { sequence: self.sequence + 1, ..self }
    }
}

/// What is known of each engine's process.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    known: BTreeMap<name::Instance, Entry>,
}

impl Reports {
    /// Whether the engine may be had join a group as far as its report goes; `is_bound` says whether
    /// a membership binds it.
    pub fn is_joinable(&self, told: &Announcement, is_bound: impl Fn(&Membership) -> bool) -> bool {
        match self.get(told).map(|entry| &entry.knowledge) {
            Some(Knowledge::Joined) => true,
            Some(Knowledge::Reported(report)) => !report.membership.as_ref().is_some_and(is_bound),
            Some(Knowledge::Asked) | None => false,
        }
    }

    /// Whether to ask the engine now; notes the question when so. One that `waits` for a change of
    /// its state is asked again and again.
    pub fn ask(&mut self, now: clock::Instant, told: &Announcement, waits: bool) -> bool {
        let due = self.get(told).is_none_or(|entry| {
            let unanswered = matches!(entry.knowledge, Knowledge::Asked);
            (unanswered || waits) && now.since(entry.asked) >= REPORT_RETRY_INTERVAL
        });
        if due {
            let fresh = || Entry {
                born: told.start_time_ms,
                asked: now,
                knowledge: Knowledge::Asked,
                unanswered: None,
            };
            let entry = self.known.entry(told.instance.clone()).or_insert_with(fresh);
            if entry.born != told.start_time_ms {
                *entry = fresh();
            }
            entry.asked = now;
        }
        due
    }

    /// Takes an engine's report.
    pub fn record_report(&mut self, instance: &name::Instance, report: &Report) {
        let entry = self.known.get_mut(instance);
        if let Some(entry) = entry.filter(|it| !matches!(it.knowledge, Knowledge::Joined)) {
            entry.knowledge = Knowledge::Reported(report.clone());
        }
    }

    /// Orders that the engine must have taken, no more and no less, to join for the first time.
    pub fn expected(&self, told: &Announcement) -> Option<u64> {
        match &self.get(told)?.knowledge {
            Knowledge::Reported(report) => Some(report.orders),
            Knowledge::Asked | Knowledge::Joined => None,
        }
    }

    /// The engine has taken an order of this leader. A new report would count it, but only after
    /// some hundred milliseconds, in which a repair would wait.
    pub fn record_order(&mut self, instance: &name::Instance, kind: Kind, epoch: u64) {
        let Some(entry) = self.known.get_mut(instance) else { return };
        if kind == Kind::Join {
            entry.unanswered = entry.unanswered.filter(|unanswered| *unanswered >= epoch);
        }
        match (kind, &mut entry.knowledge) {
            (Kind::Join, knowledge) => *knowledge = Knowledge::Joined,
            // One that is in no group says yes to an order to leave, and doesn't count it.
            (Kind::Leave, Knowledge::Reported(report)) => {
                report.orders += u64::from(report.membership.take().is_some());
            }
            (Kind::Other, Knowledge::Reported(report)) => report.orders += 1,
            (Kind::Leave | Kind::Other, Knowledge::Asked | Knowledge::Joined) => {}
        }
    }

    /// An order to join of `epoch` got no answer.
    pub fn record_unanswered(&mut self, instance: &name::Instance, epoch: u64) {
        if let Some(entry) = self.known.get_mut(instance) {
            entry.unanswered = entry.unanswered.max(Some(epoch));
        }
    }

    /// The engine is no member any more.
    pub fn on_freed(&mut self, instance: &name::Instance) {
        let entry = self.known.get_mut(instance);
        if let Some(entry) = entry.filter(|entry| entry.unanswered.is_some()) {
            entry.knowledge = Knowledge::Asked;
        }
    }

    /// Drops what is known of the engine, which has accepted an unknown order.
    pub fn invalidate(&mut self, instance: &name::Instance) {
        if let Some(entry) = self.known.get_mut(instance) {
            entry.knowledge = Knowledge::Asked;
        }
    }

    fn get(&self, told: &Announcement) -> Option<&Entry> {
        self.known.get(&told.instance).filter(|entry| entry.born == told.start_time_ms)
    }
}
