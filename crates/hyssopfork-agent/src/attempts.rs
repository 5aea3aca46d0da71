//! Attempts at this agent: each identifier starts at most once.

use crate::memory;
use hyssopfork_wire::{attempt, clock, timing};
use std::collections::BTreeMap;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Admitted; nothing was written to the upstream yet.
    Prepared,
    /// The request was handed to the upstream.
    Forwarded,
    /// The answer is whole and can be taken up for a while.
    Finished(clock::Instant),
}

/// An attempt that is not dead.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// What the entry offered.
    pub offer: attempt::Offer,
    /// When the offer arrived.
    pub arrived: clock::Instant,
    /// When the request was handed to the upstream.
    pub forwarded: clock::Instant,
    /// How far it has come.
    pub state: State,
    /// Cancelled while it ran at a back end that cannot cancel: it keeps its place until it ends.
    pub cancelled: bool,
}

/// What is known of an identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    Unseen,
    /// It is alive, or its answer can still be taken up.
    Live(State),
    /// It is dead.
    Dead(memory::End),
    /// Too old to be known; it never starts.
    Folded,
}

/// The table.
///
/// Invariant: an identifier is live or dead, never both, and never live again once dead.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    live: BTreeMap<attempt::Identifier, Attempt>,
    memory: memory::Memory,
}

impl Attempts {
    /// What is known of `attempt`.
    pub fn standing(&self, attempt: attempt::Identifier) -> Standing {
        if let Some(live) = self.live.get(&attempt) {
            return Standing::Live(live.state);
        }
        match self.memory.recall(attempt) {
            memory::Recall::Unseen => Standing::Unseen,
            memory::Recall::Dead(end) => Standing::Dead(end),
            memory::Recall::Folded => Standing::Folded,
        }
    }

    /// The attempt, while it is live.
    pub fn get(&self, attempt: attempt::Identifier) -> Option<&Attempt> {
        self.live.get(&attempt)
    }

    /// Attempts that take up room at the back end.
    pub fn running(&self) -> u32 {
        let runs = |attempt: &&Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.values().filter(runs).count() as u32
    }

    /// Attempts that the back end has.
    pub fn forwarded(&self) -> u32 {
        let forwarded = |attempt: &&Attempt| attempt.state == State::Forwarded;
        self.live.values().filter(forwarded).count() as u32
    }

    /// Identifiers of the attempts that are prepared or forwarded.
    pub fn unfinished(&self) -> Vec<attempt::Identifier> {
        let runs = |attempt: &Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.iter().filter(|(_, attempt)| runs(attempt)).map(|(id, _)| *id).collect()
    }

    /// Takes in an offer that was admitted.
    pub fn admit(&mut self, offer: attempt::Offer, now: clock::Instant) {
        let identifier = offer.attempt;
        let standing = self.standing(identifier);
        assert_eq!(standing, Standing::Unseen, "an attempt starts at most once");
        let attempt = Attempt {
            offer,
            arrived: now,
            forwarded: now,
            state: State::Prepared,
            cancelled: false,
        };
        self.live.insert(identifier, attempt);
    }

    /// The request is about to be written to the upstream.
    pub fn forward(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt is forwarded");
        assert_eq!(live.state, State::Prepared, "an attempt is forwarded once");
        live.state = State::Forwarded;
        live.forwarded = now;
    }

    /// The answer is whole.
    pub fn finish(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt finishes");
        assert_eq!(live.state, State::Forwarded, "only a forwarded attempt finishes");
        live.state = State::Finished(now);
    }

    /// Leaves a cancelled attempt its place until the back end ends it.
    pub fn detach(&mut self, attempt: attempt::Identifier) {
        if let Some(live) = self.live.get_mut(&attempt) {
            live.cancelled = true;
        }
    }

    /// The attempt never starts any more, whether or not it was seen before.
    pub fn bury(&mut self, attempt: attempt::Identifier, end: memory::End) {
        self.live.remove(&attempt);
        self.memory.bury(attempt, end);
    }

    /// Drops answers that have been kept long enough.
    pub fn expire(&mut self, now: clock::Instant) {
        let over = |attempt: &Attempt| matches!(attempt.state, State::Finished(at) if now.since(at) >= timing::RESPONSE_RETENTION);
        let old: Vec<_> =
            self.live.iter().filter(|(_, attempt)| over(attempt)).map(|(id, _)| *id).collect();
        old.into_iter().for_each(|attempt| self.bury(attempt, memory::End::Finished));
    }
}
