//! Proposals on their way through the log, with what waits for each.

use hyssopfork_wire::{clock, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Pending<T> {
    context: T,
    proposed_at: clock::Instant,
}

/// Proposals of one process that wait to be applied; `T` is what each is for.
#[derive(Clone, Debug)]
pub struct Proposals<T> {
    pending: BTreeMap<u64, Pending<T>>,
    /// Tickets by the index of their entry, with the term that it must have.
    appended: BTreeMap<number::Index, (number::Term, u64)>,
    last_ticket: u64,
}

impl<T> Default for Proposals<T> {
    fn default() -> Proposals<T> {
        Proposals { pending: BTreeMap::new(), appended: BTreeMap::new(), last_ticket: 0 }
    }
}

impl<T> Proposals<T> {
    /// Keeps what a proposal is for and gives its ticket.
    pub fn register(&mut self, now: clock::Instant, context: T) -> u64 {
        self.last_ticket += 1;
        self.pending.insert(self.last_ticket, Pending { context, proposed_at: now });
        self.last_ticket
    }

    /// Notes where a proposal was appended.
    pub fn record_position(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.appended.insert(index, (term, ticket));
    }

    /// Takes what a proposal was for that was never appended.
    pub fn take_rejected(&mut self, ticket: u64) -> Option<T> {
        self.pending.remove(&ticket).map(|pending| pending.context)
    }

    /// Takes what the proposal was for that was applied at `index`; `None` when another entry than
    /// the one proposed here stands there. Another leader's entry may stand where this one was
    /// appended and lost: its reply would tell the caller that a stranger's command was his.
    pub fn take_applied(&mut self, index: number::Index, term: number::Term) -> Option<T> {
        let (proposed, ticket) = self.appended.remove(&index)?;
        if proposed != term {
            return None;
        }
        self.take_rejected(ticket)
    }

    /// Takes what has waited for `patience`.
    pub fn take_expired(&mut self, now: clock::Instant, timeout: Duration) -> Vec<T> {
        let is_expired = |pending: &Pending<T>| now.since(pending.proposed_at) >= timeout;
        self.pending
            .extract_if(.., |_, pending| is_expired(pending))
            .map(|(_, it)| it.context)
            .collect()
    }

    /// Takes everything that waits.
    pub fn take_all(&mut self) -> Vec<T> {
        self.appended.clear();
        mem::take(&mut self.pending).into_values().map(|pending| pending.context).collect()
    }

    /// What the proposals that wait are for.
    pub fn contexts(&self) -> impl Iterator<Item = &T> {
        self.pending.values().map(|pending| &pending.context)
    }
}
