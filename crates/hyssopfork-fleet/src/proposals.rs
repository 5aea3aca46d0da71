//! Commands on their way through the log, and the calls that wait for them.

use hyssopfork_wire::{clock, number};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a call is told that its end is unknown. Callers take a second without an answer
/// for a loss and ask again; an election takes less than this, so what is still waiting then was
/// lost with its leader.
pub const PATIENCE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: u64,
    since: clock::Instant,
}

/// Commands that wait to be applied.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    waiting: BTreeMap<u64, Waiting>,
    /// Tickets by the index of their entry, with the term that it must have.
    appended: BTreeMap<number::Index, (number::Term, u64)>,
    newest: u64,
}

impl Proposals {
    /// Keeps a call and gives the ticket of its command.
    pub fn wait(&mut self, now: clock::Instant, call: u64) -> u64 {
        self.newest += 1;
        self.waiting.insert(self.newest, Waiting { call, since: now });
        self.newest
    }

    /// Notes where a command was appended.
    pub fn append(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.appended.insert(index, (term, ticket));
    }

    /// Takes the call of a command that was never appended.
    pub fn reject(&mut self, ticket: u64) -> Option<u64> {
        self.waiting.remove(&ticket).map(|waiting| waiting.call)
    }

    /// Takes the call whose command was applied at `index`; `None` when another entry than the one
    /// proposed here stands there, since a stranger's success is not the caller's.
    pub fn apply(&mut self, index: number::Index, term: number::Term) -> Option<u64> {
        let (proposed, ticket) = self.appended.remove(&index)?;
        self.waiting.remove(&ticket).filter(|_| proposed == term).map(|waiting| waiting.call)
    }

    /// Takes the calls that have waited too long.
    pub fn overdue(&mut self, now: clock::Instant) -> Vec<u64> {
        let late = |waiting: &Waiting| now.since(waiting.since) >= PATIENCE;
        self.waiting.extract_if(.., |_, waiting| late(waiting)).map(|(_, it)| it.call).collect()
    }
}
