//! Claims on non-repeatable work.
//!
//! A claim is committed before its work is sent, so of all entries that hold the same key one
//! sends it. What is remembered of a key is what keeps the work from running twice: nothing is
//! dropped before [`RETENTION`], and when memory is full of what may not be dropped, new claims
//! are refused ([`claim::Reply::Full`]) in place of forgetting old ones.

use hyssopfork_wire::{attempt, claim};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most claims that are remembered.
pub const COUNT_LIMIT: usize = 32_768;

/// Most bytes of remembered claims, as weighed here. A claim in progress weighs a whole answer,
/// so that its outcome always finds room.
pub const WEIGHT_LIMIT: usize = 32 << 20;

/// Time for which an outcome is remembered at least; callers must not reuse a key later than
/// this. Longer, while there is room.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time in progress after which a claim's outcome is unknown: its holder fell silent. The work that
/// claims cover is short; an answer that comes later still reaches the caller that waits for it.
pub const PROGRESS_LIMIT: Duration = Duration::from_secs(600);

/// Longest step by which the state ages at once ([`crate::command::Command::Elapsed`]): a claim
/// may have been granted at the end of the step that ages it, so this much is added to its time.
pub const GRAIN: Duration = Duration::from_secs(10);

/// Attempts whose claim was freed that are remembered.
pub const FREED_LIMIT: usize = 4_096;

/// Longest Idempotency-Key, in bytes.
pub const KEY_LIMIT: usize = 256;

/// Estimated bytes of a remembered claim besides its texts and answer.
const WEIGHT_BASE: usize = 256;

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: [u8; 32],
    attempt: attempt::Identifier,
    /// `None` while in progress. Invariant: never changes once it is there, and is never
    /// [`claim::Outcome::NotRun`], which frees the key.
    outcome: Option<claim::Outcome>,
    /// Age of the state when the claim was granted or its outcome recorded.
    since: Duration,
}

/// Claims on non-repeatable work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    entries: BTreeMap<claim::Key, Entry>,
    /// Keys that are done, in the order of their outcomes.
    done: VecDeque<claim::Key>,
    /// Keys in progress, in the order of their grants; may hold ones that have ended since.
    progress: VecDeque<(claim::Key, attempt::Identifier)>,
    /// Attempts whose claim was freed, oldest first.
    freed: VecDeque<attempt::Identifier>,
    /// Invariant: the sum of the weights of `entries`.
    weight: usize,
    /// Time that leaders counted; never runs ahead of true time by more than the clocks' rate
    /// error, and stands still while nobody leads.
    age: Duration,
}

impl Claims {
    /// Takes a claim.
    pub fn claim(&mut self, claim: &claim::Claim) -> claim::Reply {
        if let Some(entry) = self.entries.get(&claim.key) {
            return again(entry, claim);
        }
        // A claim that was resent, or sat in the network, can arrive after its attempt gave the
        // key back. Granted then, it would hold the key with nobody to do the work.
        if self.freed.contains(&claim.attempt) {
            return claim::Reply::Done(claim::Outcome::NotRun);
        }
        let entry =
            Entry { digest: claim.digest, attempt: claim.attempt, outcome: None, since: self.age };
        if claim.key.text.len() > KEY_LIMIT || !self.make_room(weight(&claim.key, &entry)) {
            return claim::Reply::Full;
        }
        self.weight += weight(&claim.key, &entry);
        self.progress.push_back((claim.key.clone(), claim.attempt));
        self.entries.insert(claim.key.clone(), entry);
        claim::Reply::Granted
    }

    /// Records how claimed work ended; ignored unless `attempt` holds the claim and it is in
    /// progress. Returns whether it was recorded.
    pub fn record(
        &mut self,
        key: &claim::Key,
        attempt: attempt::Identifier,
        outcome: &claim::Outcome,
    ) -> bool {
        let held = |entry: &&Entry| entry.attempt == attempt && entry.outcome.is_none();
        if self.entries.get(key).filter(held).is_none() {
            return false;
        }
        match outcome {
            claim::Outcome::NotRun => self.free(key, attempt),
            claim::Outcome::Answered { head, body } => {
                let fits = body.len() <= claim::MAX_BODY_BYTES;
                let body = if fits { body.clone() } else { Vec::new() };
                self.finish(key, claim::Outcome::Answered { head: head.clone(), body });
            }
            claim::Outcome::Unknown => self.finish(key, claim::Outcome::Unknown),
        }
        true
    }

    /// Lets the state age, and gives claims whose holder fell silent their outcome: unknown, never
    /// free, since the work may have run.
    ///
    /// Returns how many were ended.
    pub fn age_by(&mut self, elapsed: Duration) -> usize {
        self.age += elapsed.min(GRAIN);
        let mut ended = 0;
        while let Some((key, attempt)) = self.progress.front().cloned() {
            match self.entries.get(&key) {
                Some(entry) if entry.attempt == attempt && entry.outcome.is_none() => {
                    if self.age < entry.since + PROGRESS_LIMIT + GRAIN {
                        break;
                    }
                    self.finish(&key, claim::Outcome::Unknown);
                    ended += 1;
                }
                _ => {}
            }
            self.progress.pop_front();
        }
        ended
    }

    /// Number of claims that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of remembered claims, with room for the answers of those in progress.
    pub fn weight(&self) -> usize {
        self.weight
    }

    fn finish(&mut self, key: &claim::Key, outcome: claim::Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.weight -= weight(key, entry);
        entry.outcome = Some(outcome);
        entry.since = self.age;
        self.weight += weight(key, entry);
        self.done.push_back(key.clone());
    }

    fn free(&mut self, key: &claim::Key, attempt: attempt::Identifier) {
        if let Some(entry) = self.entries.remove(key) {
            self.weight -= weight(key, &entry);
        }
        self.freed.push_back(attempt);
        if self.freed.len() > FREED_LIMIT {
            self.freed.pop_front();
        }
    }

    /// Drops outcomes past their time until `needed` more bytes and one more claim fit; returns
    /// whether they do.
    fn make_room(&mut self, needed: usize) -> bool {
        while self.entries.len() >= COUNT_LIMIT || self.weight + needed > WEIGHT_LIMIT {
            if !self.drop_oldest() {
                return false;
            }
        }
        true
    }

    /// Drops the oldest outcome if its time has passed; returns whether it did.
    fn drop_oldest(&mut self) -> bool {
        let Some(oldest) = self.done.front() else { return false };
        let due = |entry: &Entry| entry.since + RETENTION + GRAIN <= self.age;
        if !self.entries.get(oldest).is_some_and(due) {
            return false;
        }
        if let Some(entry) = self.entries.remove(oldest) {
            self.weight -= weight(oldest, &entry);
        }
        self.done.pop_front();
        true
    }
}

fn again(entry: &Entry, claim: &claim::Claim) -> claim::Reply {
    if entry.digest != claim.digest {
        return claim::Reply::DigestDiffers;
    }
    match &entry.outcome {
        Some(outcome) => claim::Reply::Done(outcome.clone()),
        None if entry.attempt == claim.attempt => claim::Reply::Granted,
        None => claim::Reply::InProgress,
    }
}

fn weight(key: &claim::Key, entry: &Entry) -> usize {
    let texts = key.team.as_str().len() + key.route.as_str().len() + key.text.len();
    let answer = match &entry.outcome {
        None => claim::MAX_BODY_BYTES,
        Some(claim::Outcome::Answered { head, body }) => {
            let headers = head.headers.iter().map(|(name, value)| name.len() + value.len());
            headers.sum::<usize>() + body.len()
        }
        Some(claim::Outcome::NotRun | claim::Outcome::Unknown) => 0,
    };
    WEIGHT_BASE + 2 * texts + answer
}
