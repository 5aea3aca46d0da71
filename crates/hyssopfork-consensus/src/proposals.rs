//! Pending proposals, with the context that the owner keeps for each.

use hyssopfork_wire::{clock, number};
use std::collections::BTreeMap;
use std::mem;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Pending<T> {
    context: T,
    proposed_at: clock::Instant,
}

/// Proposals of one process that are not yet applied. `T` is the context kept for each.
#[derive(Clone, Debug)]
pub struct Proposals<T> {
    pending: BTreeMap<u64, Pending<T>>,
    /// Terms and tickets of the appended proposals, by index of their entry.
    appended: BTreeMap<number::Index, (number::Term, u64)>,
    last_ticket: u64,
}

impl<T> Default for Proposals<T> {
    fn default() -> Proposals<T> {
        Proposals { pending: BTreeMap::new(), appended: BTreeMap::new(), last_ticket: 0 }
    }
}

impl<T> Proposals<T> {
    /// Registers a proposal and returns its ticket.
    pub fn register(&mut self, now: clock::Instant, context: T) -> u64 {
        self.last_ticket += 1;
        self.pending.insert(self.last_ticket, Pending { context, proposed_at: now });
        self.last_ticket
    }

    /// Records the position at which a proposal was appended.
    pub fn record_position(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.appended.insert(index, (term, ticket));
    }

    /// Removes a rejected proposal and returns its context.
    pub fn take_rejected(&mut self, ticket: u64) -> Option<T> {
        self.pending.remove(&ticket).map(|pending| pending.context)
    }

    /// Removes the proposal that was applied at `index` and returns its context; `None` if the
    /// entry is not one proposed here. An entry of another leader may have replaced the one
    /// appended here; without the comparison of terms a client would be told that its command was
    /// applied when another client's was.
    pub fn take_applied(&mut self, index: number::Index, term: number::Term) -> Option<T> {
        let (proposed, ticket) = self.appended.remove(&index)?;
        if proposed != term {
            return None;
        }
        self.take_rejected(ticket)
    }

    /// Removes the proposals that have been pending for `timeout` and returns their contexts.
    pub fn take_expired(&mut self, now: clock::Instant, timeout: Duration) -> Vec<T> {
        let is_expired = |pending: &Pending<T>| now.since(pending.proposed_at) >= timeout;
        self.pending
            .extract_if(.., |_, pending| is_expired(pending))
            .map(|(_, it)| it.context)
            .collect()
    }

    /// Removes all pending proposals and returns their contexts.
    pub fn take_all(&mut self) -> Vec<T> {
        self.appended.clear();
        mem::take(&mut self.pending).into_values().map(|pending| pending.context).collect()
    }

    /// Contexts of the pending proposals.
    pub fn contexts(&self) -> impl Iterator<Item = &T> {
        self.pending.values().map(|pending| &pending.context)
    }
}
