//! Quarantined requests at an entry: rejected, but for an attempt now and then.

use super::Core;
use crate::{notice, rendezvous};
use hyssopfork_fleet::quarantine;
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a completion is reported. A message may be lost.
const COMPLETION_MEMORY: Duration = Duration::from_secs(2);

/// Most completions that are reported at once.
const MAX_COMPLETIONS: usize = 64;

/// Time for which a verdict holds that a new leader doesn't name: it has yet to learn of it from others.
const UNNAMED_GRACE: Duration = Duration::from_secs(2);

/// Time by which each entry lets an attempt through later than the one before it in the request's order of
/// entries, so that the first result is known before many have tried.
const ATTEMPT_STAGGER: Duration = Duration::from_millis(200);

/// When to return while another attempt is in flight.
const ATTEMPT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request with a verdict.
#[derive(Clone, Copy, Debug)]
struct Held {
    verdict: quarantine::Verdict,
    /// When this entry learned the verdict, or the last attempt crashed.
    since: clock::Instant,
    /// The attempt that was let through last, by the number of its request.
    attempt: Option<u64>,
    /// Since when the leader doesn't name it; `None` while it does.
    unnamed_since: Option<clock::Instant>,
}

/// Verdicts on requests, as the leader published them.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    held: BTreeMap<quarantine::Fingerprint, Held>,
    /// Requests that completed lately, and when.
    completions: Vec<(quarantine::Fingerprint, clock::Instant)>,
}

impl Quarantine {
    /// Takes in verdicts. One that is known keeps its time.
    pub(super) fn follow(
        &mut self,
        now: clock::Instant,
        whole: bool,
        changes: Vec<(quarantine::Fingerprint, Option<quarantine::Verdict>)>,
    ) {
        if whole {
            for held in self.held.values_mut() {
                held.unnamed_since.get_or_insert(now);
            }
        }
        for (request, verdict) in changes {
            let known = self.held.remove(&request);
            let Some(verdict) = verdict else { continue };
            let fresh = Held { verdict, since: now, attempt: None, unnamed_since: None };
            let known = known.filter(|held| held.verdict == verdict);
            let held = known.map_or(fresh, |held| Held { unnamed_since: None, ..held });
            self.held.insert(request, held);
        }
    }

    /// Whether a request with so long a body may have a verdict: only then it needs to be hashed.
    fn may_hold(&self, length: u64) -> bool {
        let least = quarantine::Fingerprint { length, digest: [0; 16] };
        self.held.range(least..).next().is_some_and(|(request, _)| request.length == length)
    }

    /// Takes in that a request was in flight at a crash: an attempt that was let through failed.
    pub(super) fn crashed(&mut self, now: clock::Instant, request: &quarantine::Fingerprint) {
        if let Some(held) = self.held.get_mut(request)
            && now >= held.since + held.verdict.period()
        {
            held.since = now;
        }
    }

    /// Completions to report to the leader.
    pub(super) fn completions(&self, now: clock::Instant) -> Vec<quarantine::Completion> {
        let told = self
            .completions
            .iter()
            .map(|(request, at)| quarantine::Completion { request: *request, age: now.since(*at) });
        told.collect()
    }

    pub(super) fn forget(&mut self, now: clock::Instant) {
        self.completions.retain(|(_, at)| now.since(*at) < COMPLETION_MEMORY);
        let holds = |held: &Held| held.unnamed_since.is_none_or(|at| now.since(at) < UNNAMED_GRACE);
        self.held.retain(|_, held| holds(held));
    }
}

impl Core {
    /// When the client of a quarantined request is to return; `None` where it may be sent.
    pub(super) fn quarantine_wait(&mut self, number: u64) -> Option<Duration> {
        let now = self.now;
        let request = self.requests.get(&number)?;
        if !self.quarantine.may_hold(request.content.length()) {
            return None;
        }
        let fingerprint = request.fingerprint();
        let held = *self.quarantine.held.get(&fingerprint)?;
        let period = held.verdict.period();
        if held.verdict == quarantine::Verdict::Suspect || held.attempt == Some(number) {
            return None;
        }
        let key = &fingerprint.digest;
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let left = now.until(held.since + period + ATTEMPT_STAGGER * rank as u32);
        let tries = held.attempt.is_some_and(|attempt| self.requests.contains_key(&attempt));
        if request.runs > 0 || !left.is_zero() || tries {
            return Some(left.max(ATTEMPT_RETRY_AFTER));
        }
        let identifier = request.identifier.clone();
        if let Some(held) = self.quarantine.held.get_mut(&fingerprint) {
            held.attempt = Some(number);
        }
        self.note(notice::Notice::Tried { identifier, fingerprint });
        None
    }

    /// Whether the request was quarantined while its attempt waits for its first byte.
    pub(super) fn is_recalled(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let waits = request.attempt.as_ref().is_some_and(|attempt| attempt.moved.is_none());
        if !waits || !self.quarantine.may_hold(request.content.length()) {
            return false;
        }
        self.quarantine.held.get(&request.fingerprint()).is_some_and(|held| {
            held.verdict != quarantine::Verdict::Suspect && held.attempt != Some(number)
        })
    }

    /// Takes in that an upstream ran the request to its end, and tells the leader if others of the same
    /// content were in flight at crashes.
    pub(super) fn note_completion(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if !self.quarantine.may_hold(request.content.length()) {
            return;
        }
        let fingerprint = request.fingerprint();
        if self.quarantine.held.remove(&fingerprint).is_some()
            && self.quarantine.completions.len() < MAX_COMPLETIONS
        {
            self.quarantine.completions.push((fingerprint, self.now));
            self.tell();
        }
    }
}
