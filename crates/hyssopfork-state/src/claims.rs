//! Idempotency keys: claims on non-repeatable work.
//!
//! A claim is committed before its work is sent, so of all entries with the same key only one sends
//! it. A retained claim keeps the work from running twice: no outcome is evicted before
//! [`OUTCOME_RETENTION`] has passed, and when memory is full of claims that must be retained, new
//! claims are rejected ([`claim::Reply::Full`]) instead.

use hyssopfork_wire::{attempt, claim};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most claims that are retained.
pub const MAX_CLAIMS: usize = 32_768;

/// Most bytes of retained claims, as estimated here. A claim in progress counts with a whole
/// answer, so that there is always room for its outcome.
pub const MAX_BYTES: usize = 32 << 20;

/// Least time for which an outcome is retained; clients must not reuse a key later than this. It is
/// retained longer while there is room.
pub const OUTCOME_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Time in progress after which a claim's outcome is unknown, since its holder has not recorded
/// one. Claims cover short work; an answer that comes later still reaches the client that waits for
/// it.
pub const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(600);

/// Longest time by which claims age at once ([`crate::command::Command::Elapsed`]). A claim may
/// have been granted at the end of the interval that ages it, so this much is added to its time.
pub const AGING_INTERVAL: Duration = Duration::from_secs(10);

/// Most attempts with a released claim that are retained.
pub const MAX_RELEASED_ATTEMPTS: usize = 4_096;

/// Longest Idempotency-Key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Estimated bytes of a retained claim besides its texts and answer.
const CLAIM_OVERHEAD_BYTES: usize = 256;

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: [u8; 32],
    attempt: attempt::Identifier,
    /// `None` while in progress. Invariant: never changes once set, and is never
    /// [`claim::Outcome::NotRun`], which releases the key.
    outcome: Option<claim::Outcome>,
    /// Value of [`Claims::age`] when the claim was granted or its outcome recorded.
    since: Duration,
}

/// Claims on non-repeatable work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    entries: BTreeMap<claim::Key, Entry>,
    /// Completed keys, in the order of their outcomes.
    completed: VecDeque<claim::Key>,
    /// Keys in progress, in the order of their grants; may contain keys that have completed since.
    in_progress: VecDeque<(claim::Key, attempt::Identifier)>,
    /// Attempts whose claim was released, oldest first.
    released: VecDeque<attempt::Identifier>,
    /// Invariant: the sum of the sizes of `entries`.
    bytes: usize,
    /// Time that leaders counted. It never exceeds true time by more than the clock drift, and
    /// stands still while there is no leader.
    age: Duration,
}

impl Claims {
    /// Reply to a claim that has no effect on the state; `None` if the claim must be applied.
    pub fn reply_without_effect(&self, claim: &claim::Claim) -> Option<claim::Reply> {
        if let Some(entry) = self.entries.get(&claim.key) {
            return Some(repeated_reply(entry, claim));
        }
        // A claim that was resent or delayed can arrive after its attempt released the key. If it
        // were granted then, its holder would never run the work.
        let is_released = self.released.contains(&claim.attempt);
        is_released.then_some(claim::Reply::Done(claim::Outcome::NotRun))
    }

    /// Whether `attempt` holds the claim and has not recorded an outcome yet.
    pub fn is_in_progress(&self, key: &claim::Key, attempt: attempt::Identifier) -> bool {
        let in_progress = |entry: &Entry| entry.attempt == attempt && entry.outcome.is_none();
        self.entries.get(key).is_some_and(in_progress)
    }

    /// Grants or rejects a claim, or returns the outcome of the key's work.
    pub fn claim(&mut self, claim: &claim::Claim) -> claim::Reply {
        if let Some(reply) = self.reply_without_effect(claim) {
            return reply;
        }
        let entry =
            Entry { digest: claim.digest, attempt: claim.attempt, outcome: None, since: self.age };
        if claim.key.text.len() > MAX_KEY_BYTES
            || !self.make_room(estimated_bytes(&claim.key, &entry))
        {
            return claim::Reply::Full;
        }
        self.bytes += estimated_bytes(&claim.key, &entry);
        self.in_progress.push_back((claim.key.clone(), claim.attempt));
        self.entries.insert(claim.key.clone(), entry);
        claim::Reply::Granted
    }

    /// Records the outcome of claimed work; ignored unless `attempt` holds the claim and it is in
    /// progress. Returns whether it was recorded.
    pub fn record(
        &mut self,
        key: &claim::Key,
        attempt: attempt::Identifier,
        outcome: &claim::Outcome,
    ) -> bool {
        if !self.is_in_progress(key, attempt) {
            return false;
        }
        match outcome {
            claim::Outcome::NotRun => self.release(key, attempt),
            claim::Outcome::Answered { head, body } => {
                let fits = body.len() <= claim::MAX_BODY_BYTES;
                let body = if fits { body.clone() } else { Vec::new() };
                self.complete(key, claim::Outcome::Answered { head: head.clone(), body });
            }
            claim::Outcome::Unknown => self.complete(key, claim::Outcome::Unknown),
        }
        true
    }

    /// Ages the claims, and completes those whose holder recorded no outcome in time as unknown.
    /// They are never released, since the work may have run.
    ///
    /// Returns the number of claims completed.
    pub fn age_by(&mut self, elapsed: Duration) -> usize {
        self.age += elapsed.min(AGING_INTERVAL);
        let mut completed = 0;
        while let Some((key, attempt)) = self.in_progress.front().cloned() {
            match self.entries.get(&key) {
                Some(entry) if entry.attempt == attempt && entry.outcome.is_none() => {
                    if self.age < entry.since + IN_PROGRESS_TIMEOUT + AGING_INTERVAL {
                        break;
                    }
                    self.complete(&key, claim::Outcome::Unknown);
                    completed += 1;
                }
                _ => {}
            }
            self.in_progress.pop_front();
        }
        completed
    }

    /// Number of retained claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Estimated bytes of the retained claims, with room for the answers of those in progress.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn complete(&mut self, key: &claim::Key, outcome: claim::Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.bytes -= estimated_bytes(key, entry);
        entry.outcome = Some(outcome);
        entry.since = self.age;
        self.bytes += estimated_bytes(key, entry);
        self.completed.push_back(key.clone());
    }

    fn release(&mut self, key: &claim::Key, attempt: attempt::Identifier) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= estimated_bytes(key, &entry);
        }
        self.released.push_back(attempt);
        if self.released.len() > MAX_RELEASED_ATTEMPTS {
            self.released.pop_front();
        }
    }

    /// Evicts outcomes past their retention until `needed` more bytes and one more claim fit;
    /// returns whether they do.
    fn make_room(&mut self, needed: usize) -> bool {
        while self.entries.len() >= MAX_CLAIMS || self.bytes + needed > MAX_BYTES {
            if !self.evict_oldest() {
                return false;
            }
        }
        true
    }

    /// Evicts the oldest outcome if its retention has passed; returns whether it did.
    fn evict_oldest(&mut self) -> bool {
        let Some(oldest) = self.completed.front() else { return false };
        let is_expired =
            |entry: &Entry| entry.since + OUTCOME_RETENTION + AGING_INTERVAL <= self.age;
        if !self.entries.get(oldest).is_some_and(is_expired) {
            return false;
        }
        if let Some(entry) = self.entries.remove(oldest) {
            self.bytes -= estimated_bytes(oldest, &entry);
        }
        self.completed.pop_front();
        true
    }
}

fn repeated_reply(entry: &Entry, claim: &claim::Claim) -> claim::Reply {
    if entry.digest != claim.digest {
        return claim::Reply::DigestDiffers;
    }
    match &entry.outcome {
        Some(outcome) => claim::Reply::Done(outcome.clone()),
        None if entry.attempt == claim.attempt => claim::Reply::Granted,
        None => claim::Reply::InProgress,
    }
}

fn estimated_bytes(key: &claim::Key, entry: &Entry) -> usize {
    let texts = key.team.as_str().len() + key.route.as_str().len() + key.text.len();
    let answer = match &entry.outcome {
        None => claim::MAX_BODY_BYTES,
        Some(claim::Outcome::Answered { head, body }) => {
            let headers = head.headers.iter().map(|(name, value)| name.len() + value.len());
            headers.sum::<usize>() + body.len()
        }
        Some(claim::Outcome::NotRun | claim::Outcome::Unknown) => 0,
    };
    CLAIM_OVERHEAD_BYTES + 2 * texts + answer
}
