//! At-most-once execution: the table of this agent's attempts, by identifier.

use crate::tombstones;
use hyssopfork_wire::{attempt, clock, timing};
use std::collections::BTreeMap;

/// State of a live attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Admitted; nothing has been written to the upstream.
    Admitted,
    /// The request has been forwarded to the upstream.
    Forwarded,
    /// The response is complete and can be resumed for [`timing::RESPONSE_RETENTION`].
    Finished(clock::Instant),
}

/// Live attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Offer of the entry.
    pub offer: attempt::Offer,
    /// When the offer arrived.
    pub arrived_at: clock::Instant,
    /// When the request was forwarded to the upstream; until then, when the offer arrived.
    pub forwarded_at: clock::Instant,
    /// State.
    pub state: State,
    /// Cancelled while in flight to an upstream that cannot cancel: it keeps its slot until it
    /// ends.
    pub cancelled: bool,
}

/// What is known of an identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Never seen.
    Unseen,
    /// In flight, or its response can still be resumed.
    Live(State),
    /// Ended; it never starts again.
    Ended(tombstones::End),
    /// Below the low-water mark: ended or never seen; it never starts.
    Compacted,
}

/// Table of attempts.
///
/// Invariant: an identifier is live or ended, never both, and never live again once it has ended.
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

    /// The attempt, if it is live.
    pub fn get(&self, attempt: attempt::Identifier) -> Option<&Attempt> {
        self.live.get(&attempt)
    }

    /// Number of attempts that count towards the concurrency limit: admitted and forwarded.
    pub fn running_count(&self) -> u32 {
        let is_unfinished = |attempt: &&Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.values().filter(is_unfinished).count() as u32
    }

    /// Number of attempts that the upstream is working on.
    pub fn forwarded_count(&self) -> u32 {
        let is_forwarded = |attempt: &&Attempt| attempt.state == State::Forwarded;
        self.live.values().filter(is_forwarded).count() as u32
    }

    /// Identifiers of the attempts that are admitted or forwarded.
    pub fn unfinished(&self) -> Vec<attempt::Identifier> {
        let is_unfinished = |attempt: &Attempt| !matches!(attempt.state, State::Finished(_));
        self.live.iter().filter(|(_, attempt)| is_unfinished(attempt)).map(|(id, _)| *id).collect()
    }

    /// Adds an admitted attempt.
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

    /// Marks an attempt as forwarded, just before its request is written to the upstream.
    pub fn forward(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt is forwarded");
        assert_eq!(live.state, State::Admitted, "an attempt is forwarded once");
        live.state = State::Forwarded;
        live.forwarded_at = now;
    }

    /// Marks an attempt as finished: its response is complete.
    pub fn finish(&mut self, attempt: attempt::Identifier, now: clock::Instant) {
        let live = self.live.get_mut(&attempt).expect("only a live attempt finishes");
        assert_eq!(live.state, State::Forwarded, "only a forwarded attempt finishes");
        live.state = State::Finished(now);
    }

    /// Marks an attempt as cancelled; it keeps its slot until the upstream ends it.
    pub fn mark_cancelled(&mut self, attempt: attempt::Identifier) {
        if let Some(live) = self.live.get_mut(&attempt) {
            live.cancelled = true;
        }
    }

    /// Ends an attempt, seen before or not: from now on it never starts.
    pub fn end(&mut self, attempt: attempt::Identifier, end: tombstones::End) {
        self.live.remove(&attempt);
        self.tombstones.insert(attempt, end);
    }

    /// Ends finished attempts whose retention period is over.
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
