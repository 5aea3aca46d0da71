//! What engines say of themselves to a leader that has not had them join a group yet.
//!
//! A call that was held up may be older than its engine's membership. A leader that starts after
//! all who knew better were killed would take that engine for free and have it join a group while
//! the head of its own is open: two groups would hold one engine, and callers of the first would be
//! served by a group that isn't whole. So a leader asks each engine before it has it join for the
//! first time. The engine counts as free only when its report and its newest call agree; the order
//! carries the number of orders that the engine had taken, and an engine that has taken another
//! since refuses it.

use super::order::Report;
use crate::announcement::Announcement;
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time before an engine is asked again: a report tells of a moment some hundred milliseconds ago.
const ASK_AGAIN: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
enum Knowledge {
    /// It was asked.
    Asked(clock::Instant),
    /// It answered a question of this time.
    Told(clock::Instant, Report),
    /// It has taken an order to join of this leader: it refuses those of earlier ones.
    Joined,
}

/// What is known of each engine's process.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// By instance, with the start of the process that it is known of.
    known: BTreeMap<name::Instance, (u64, Knowledge)>,
}

impl Reports {
    /// Whether the engine may be had join a group, as far as its report goes.
    pub fn agrees(&self, told: &Announcement) -> bool {
        match self.get(told) {
            Some(Knowledge::Joined) => true,
            Some(Knowledge::Told(_, report)) => {
                let named = |it: &super::announcement::Membership| (it.group.clone(), it.epoch);
                report.membership.as_ref().map(named) == told.membership.as_ref().map(named)
            }
            Some(Knowledge::Asked(_)) | None => false,
        }
    }

    /// Whether to ask the engine now; notes the question when so.
    pub fn ask(&mut self, now: clock::Instant, told: &Announcement) -> bool {
        let due = match self.get(told) {
            None => true,
            Some(Knowledge::Joined) => false,
            Some(Knowledge::Asked(at) | Knowledge::Told(at, _)) => {
                !self.agrees(told) && now.since(*at) >= ASK_AGAIN
            }
        };
        if due {
            let known = (told.born, Knowledge::Asked(now));
            self.known.insert(told.instance.clone(), known);
        }
        due
    }

    /// Takes an engine's report.
    pub fn told(&mut self, now: clock::Instant, instance: &name::Instance, report: Report) {
        if let Some((_, knowledge @ Knowledge::Asked(_))) = self.known.get_mut(instance) {
            *knowledge = Knowledge::Told(now, report);
        }
    }

    /// Orders that the engine must have taken, no more and no less, to join for the first time.
    pub fn expected(&self, told: &Announcement) -> Option<u64> {
        match self.get(told) {
            Some(Knowledge::Told(_, report)) => Some(report.orders),
            _ => None,
        }
    }

    /// The engine has taken an order to join.
    pub fn joined(&mut self, instance: &name::Instance) {
        if let Some((_, knowledge)) = self.known.get_mut(instance) {
            *knowledge = Knowledge::Joined;
        }
    }

    /// The engine has taken an order that its report doesn't count.
    pub fn doubt(&mut self, instance: &name::Instance) {
        if matches!(self.known.get(instance), Some((_, Knowledge::Told(..)))) {
            self.known.remove(instance);
        }
    }

    fn get(&self, told: &Announcement) -> Option<&Knowledge> {
        let (born, knowledge) = self.known.get(&told.instance)?;
        (*born == told.born).then_some(knowledge)
    }
}
