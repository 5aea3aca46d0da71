//! Proposals on their way through the log, with what waits for each.

use hyssopfork_wire::{clock, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Waiting<T> {
    purpose: T,
    since: clock::Instant,
}

/// Proposals of one process that wait to be applied; `T` is what each is for.
#[derive(Clone, Debug)]
pub struct Proposals<T> {
    waiting: BTreeMap<u64, Waiting<T>>,
    /// Tickets by the index of their entry, with the term that it must have.
    appended: BTreeMap<number::Index, (number::Term, u64)>,
    newest: u64,
}

impl<T> Default for Proposals<T> {
    fn default() -> Proposals<T> {
        Proposals { waiting: BTreeMap::new(), appended: BTreeMap::new(), newest: 0 }
    }
}

impl<T> Proposals<T> {
    /// Keeps what a proposal is for and gives its ticket.
    pub fn wait(&mut self, now: clock::Instant, purpose: T) -> u64 {
        self.newest += 1;
        self.waiting.insert(self.newest, Waiting { purpose, since: now });
        self.newest
    }

    /// Notes where a proposal was appended.
    pub fn append(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.appended.insert(index, (term, ticket));
    }

    /// Takes what a proposal was for that was never appended.
    pub fn reject(&mut self, ticket: u64) -> Option<T> {
        self.waiting.remove(&ticket).map(|waiting| waiting.purpose)
    }

    /// Takes what the proposal was for that was applied at `index`; `None` when another entry than
    /// the one proposed here stands there. Another leader's entry may stand where this one was
    /// appended and lost: its reply would tell the caller that a stranger's command was his.
    pub fn apply(&mut self, index: number::Index, term: number::Term) -> Option<T> {
        let (proposed, ticket) = self.appended.remove(&index)?;
        if proposed != term {
            return None;
        }
        self.reject(ticket)
    }

    /// Takes what has waited for `patience`.
    pub fn overdue(&mut self, now: clock::Instant, patience: Duration) -> Vec<T> {
        let late = |waiting: &Waiting<T>| now.since(waiting.since) >= patience;
        self.waiting.extract_if(.., |_, waiting| late(waiting)).map(|(_, it)| it.purpose).collect()
    }

    /// Takes everything that waits.
    pub fn drain(&mut self) -> Vec<T> {
        self.appended.clear();
        mem::take(&mut self.waiting).into_values().map(|waiting| waiting.purpose).collect()
    }

    /// What the proposals that wait are for.
    pub fn purposes(&self) -> impl Iterator<Item = &T> {
        self.waiting.values().map(|waiting| &waiting.purpose)
    }
}
