//! Attempts at this agent: each identifier starts at most once.

use crate::tombstones;
use hyssopfork_wire::{attempt, clock, timing};
use std::collections::BTreeMap;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Admitted; nothing was written to the upstream yet.
    Admitted,
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
    pub arrived_at: clock::Instant,
    /// When the request was handed to the upstream.
    pub forwarded_at: clock::Instant,
    /// How far it has come.
    pub state: State,
    /// Cancelled while it ran at a back end that cannot cancel: it keeps its place until it ends.
    pub cancelled: bool,
}

/// What is known of an identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing.
    Unseen,
    /// It is alive, or its answer can still be taken up.
    Live(State),
    /// It is dead.
    Ended(tombstones::End),
    /// Too old to be known; it never starts.
    Compacted,
}

/// The table.
///
/// Invariant: an identifier is live or dead, never both, and never live again once dead.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    live: BTreeMap<attempt::Identifier, Attempt>,
    tombstones: tombstones::Tombstones,
}

impl Attempts {
    /// What is known of `attempt`.
    pub fn status(&self, attempt: attempt::Identifier) -> Status {
        if let Some(live) = self.live.get(&attempt) {
            return Status::Live(live.state);
        }
        match self.tombstones.lookup(attempt) {
            tombstones::Lookup::Unseen => Status::Unseen,
            tombstones::Lookup::Ended(end) => Status::Ended(end),
            tombstones::Lookup::Compacted => Status::Compacted,
        }
    }

    /// The attempt, while it is live.
    pub fn get(&self, attempt: attempt::Identifier) -> Option<&Attempt> {
        self.live.get(&attempt)
    }

    /// Attempts that take up room at the back end.
    pub fn running_count(&self) -> u32 {
        let is_unfinished = |attempt: &&Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.values().filter(is_unfinished).count() as u32
    }

    /// Attempts that the back end has.
    pub fn forwarded_count(&self) -> u32 {
        let is_forwarded = |attempt: &&Attempt| attempt.state == State::Forwarded;
        self.live.values().filter(is_forwarded).count() as u32
    }

    /// Identifiers of the attempts that are prepared or forwarded.
    pub fn unfinished(&self) -> Vec<attempt::Identifier> {
        let is_unfinished = |attempt: &Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.iter().filter(|(_, attempt)| is_unfinished(attempt)).map(|(id, _)| *id).collect()
    }

    /// Takes in an offer that was admitted.
    pub fn admit(&mut self, offer: attempt::Offer, now: clock::Instant) {
        let identifier = offer.attempt;
        let status = self.status(identifier);
        assert_eq!(status, Status::Unseen, "an attempt starts at most once");
        let attempt = Attempt {
            offer,
            arrived_at: now,
            forwarded_at: now,
            state: State::Admitted,
            cancelled: false,
        };
        self.live.insert(identifier, attempt);
    }

    /// The request is about to be written to the upstream.
    pub fn forward(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt is forwarded");
        assert_eq!(live.state, State::Admitted, "an attempt is forwarded once");
        live.state = State::Forwarded;
        live.forwarded_at = now;
    }

    /// The answer is whole.
    pub fn finish(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt finishes");
        assert_eq!(live.state, State::Forwarded, "only a forwarded attempt finishes");
        live.state = State::Finished(now);
    }

    /// Leaves a cancelled attempt its place until the back end ends it.
    pub fn mark_cancelled(&mut self, attempt: attempt::Identifier) {
        if let Some(live) = self.live.get_mut(&attempt) {
            live.cancelled = true;
        }
    }

    /// The attempt never starts any more, whether or not it was seen before.
    pub fn end(&mut self, attempt: attempt::Identifier, end: tombstones::End) {
        self.live.remove(&attempt);
        self.tombstones.insert(attempt, end);
    }

    /// Drops answers that have been kept long enough.
    pub fn expire(&mut self, now: clock::Instant) {
        let is_expired = |attempt: &Attempt| matches!(attempt.state, State::Finished(at) if now.since(at) >= timing::RESPONSE_RETENTION);
        let expired: Vec<_> = self
            .live
            .iter()
            .filter(|(_, attempt)| is_expired(attempt))
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|attempt| self.end(attempt, tombstones::End::Finished));
    }
}
