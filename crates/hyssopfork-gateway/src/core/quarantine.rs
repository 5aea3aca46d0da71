//! Quarantined requests at an entry: rejected, but for a trial now and then.

use super::Core;
use crate::{notice, rendezvous};
use hyssopfork_fleet::quarantine;
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a completion is reported. A message may be lost.
const COMPLETION_REPORT_TIME: Duration = Duration::from_secs(2);

/// Most completions that are reported at once.
const MAX_COMPLETIONS: usize = 64;

/// Time for which a verdict holds that a new leader doesn't name: it has yet to learn of it from others.
const UNNAMED_GRACE: Duration = Duration::from_secs(2);

/// Time by which each entry's trial comes later than that of the one before it in the request's order of
/// entries, so that the first result is known before the next one tries.
const TRIAL_STAGGER: Duration = Duration::from_millis(1_500);

/// When to return while a trial is in flight.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request with a verdict.
#[derive(Clone, Copy, Debug)]
struct Record {
    verdict: quarantine::Verdict,
    /// When this entry learned the verdict, or the last trial ended in a crash.
    since: clock::Instant,
    /// The request that was let through last, by its number.
    trial: Option<u64>,
    /// Since when the leader doesn't name it; `None` while it does.
    unnamed_since: Option<clock::Instant>,
}

/// Verdicts on requests, as the leader published them.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    records: BTreeMap<quarantine::Fingerprint, Record>,
    /// Requests that completed lately, and when.
    completions: Vec<(quarantine::Fingerprint, clock::Instant)>,
}

impl Quarantine {
    /// Takes in verdicts. One that is known keeps its time.
    pub(super) fn on_published(
        &mut self,
        now: clock::Instant,
        whole: bool,
        changes: Vec<(quarantine::Fingerprint, Option<quarantine::Verdict>)>,
    ) {
        if whole {
            for listing in self.records.values_mut() {
                listing.unnamed_since.get_or_insert(now);
            }
        }
        for (request, verdict) in changes {
            let known = self.records.remove(&request);
            let Some(verdict) = verdict else { continue };
            let fresh = Record { verdict, since: now, trial: None, unnamed_since: None };
            let known = known.filter(|listing| listing.verdict == verdict);
            let listing = known.map_or(fresh, |listing| Record { unnamed_since: None, ..listing });
            self.records.insert(request, listing);
        }
    }

    /// Whether a request with so long a body may have a verdict: only then it needs to be hashed.
    fn may_have_verdict(&self, length: u64) -> bool {
        let least = quarantine::Fingerprint { length, digest: [0; 16] };
        self.records.range(least..).next().is_some_and(|(request, _)| request.length == length)
    }

    /// Takes in that a request was in flight at a crash: a trial failed.
    pub(super) fn on_crash(&mut self, now: clock::Instant, request: &quarantine::Fingerprint) {
        if let Some(listing) = self.records.get_mut(request)
            && now >= listing.since + listing.verdict.period()
        {
            listing.since = now;
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

    pub(super) fn expire(&mut self, now: clock::Instant) {
        self.completions.retain(|(_, at)| now.since(*at) < COMPLETION_REPORT_TIME);
        let holds =
            |listing: &Record| listing.unnamed_since.is_none_or(|at| now.since(at) < UNNAMED_GRACE);
        self.records.retain(|_, listing| holds(listing));
    }
}

impl Core {
    /// When the client of a quarantined request is to return; `None` where it may be sent.
    pub(super) fn quarantine_retry_after(&mut self, number: u64) -> Option<Duration> {
        let now = self.now;
        let request = self.requests.get(&number)?;
        if !self.quarantine.may_have_verdict(request.content.length()) {
            return None;
        }
        let fingerprint = request.fingerprint();
        let listing = *self.quarantine.records.get(&fingerprint)?;
        let period = listing.verdict.period();
        if listing.verdict == quarantine::Verdict::Suspect {
            return None;
        }
        // A trial that ran is over: sent on, it would crash the next upstream.
        if request.possible_runs > 0 {
            return Some(period);
        }
        if listing.trial == Some(number) {
            return None;
        }
        let key = &fingerprint.digest;
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let left = now.until(listing.since + period + TRIAL_STAGGER * rank as u32);
        let tries = listing.trial.is_some_and(|trial| self.requests.contains_key(&trial));
        if !left.is_zero() || tries {
            return Some(left.max(TRIAL_RETRY_AFTER));
        }
        let identifier = request.identifier.clone();
        if let Some(listing) = self.quarantine.records.get_mut(&fingerprint) {
            listing.trial = Some(number);
        }
        self.log(notice::Notice::Trial { identifier, fingerprint });
        None
    }

    /// Whether the request was quarantined while its attempt waits for its first byte.
    pub(super) fn is_recalled(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let waits = request.attempt.as_ref().is_some_and(|attempt| attempt.last_bytes_at.is_none());
        if !waits || !self.quarantine.may_have_verdict(request.content.length()) {
            return false;
        }
        self.quarantine.records.get(&request.fingerprint()).is_some_and(|listing| {
            listing.verdict != quarantine::Verdict::Suspect && listing.trial != Some(number)
        })
    }

    /// Takes in that an upstream ran the request to its end, and tells the leader if others of the same
    /// content were in flight at crashes.
    pub(super) fn record_completion(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if !self.quarantine.may_have_verdict(request.content.length()) {
            return;
        }
        let fingerprint = request.fingerprint();
        if self.quarantine.records.remove(&fingerprint).is_some()
            && self.quarantine.completions.len() < MAX_COMPLETIONS
        {
            self.quarantine.completions.push((fingerprint, self.now));
            self.report_evidence();
        }
    }
}
