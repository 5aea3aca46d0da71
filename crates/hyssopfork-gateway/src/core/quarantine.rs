//! Quarantine of requests that crash upstreams: an entry rejects them, except for an occasional
//! trial.

use super::Core;
use crate::{notice, rendezvous};
use hyssopfork_fleet::quarantine;
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a completion is reported, since a message may be lost.
const COMPLETION_REPORT_TIME: Duration = Duration::from_secs(2);

/// Most completions that are reported at once.
const MAX_COMPLETIONS: usize = 64;

/// Time for which a verdict that a new leader doesn't publish remains valid: the leader may not
/// have learned of it from the other entries yet.
const UNNAMED_GRACE: Duration = Duration::from_secs(2);

/// Delay of each entry's trial after that of the previous entry in the request's order of entries,
/// so that the first result is known before the next trial.
const TRIAL_STAGGER: Duration = Duration::from_millis(1_500);

/// `Retry-After` while a trial is in flight.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request with a verdict.
#[derive(Clone, Copy, Debug)]
struct Record {
    verdict: quarantine::Verdict,
    /// When this entry received the verdict, or when the last trial ended in a crash.
    since: clock::Instant,
    /// Number of the last request that was sent as a trial.
    trial: Option<u64>,
    /// Since when the leader doesn't publish the verdict; `None` while it does.
    unnamed_since: Option<clock::Instant>,
}

/// Verdicts on requests, as published by the leader.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    records: BTreeMap<quarantine::Fingerprint, Record>,
    /// Requests that completed recently, and when.
    completions: Vec<(quarantine::Fingerprint, clock::Instant)>,
}

impl Quarantine {
    /// Applies published verdicts. A known verdict keeps its time.
    pub(super) fn on_published(
        &mut self,
        now: clock::Instant,
        whole: bool,
        changes: Vec<(quarantine::Fingerprint, Option<quarantine::Verdict>)>,
    ) {
        if whole {
            for record in self.records.values_mut() {
                record.unnamed_since.get_or_insert(now);
            }
        }
        for (request, verdict) in changes {
            let known = self.records.remove(&request);
            let Some(verdict) = verdict else { continue };
            let fresh = Record { verdict, since: now, trial: None, unnamed_since: None };
            let known = known.filter(|record| record.verdict == verdict);
            let record = known.map_or(fresh, |record| Record { unnamed_since: None, ..record });
            self.records.insert(request, record);
        }
    }

    /// Whether a request with a body of this length may have a verdict: only then does it need to
    /// be hashed.
    fn may_have_verdict(&self, length: u64) -> bool {
        let least = quarantine::Fingerprint { length, digest: [0; 16] };
        self.records.range(least..).next().is_some_and(|(request, _)| request.length == length)
    }

    /// Records that a request was in flight at a crash: a trial failed.
    pub(super) fn on_crash(&mut self, now: clock::Instant, request: &quarantine::Fingerprint) {
        if let Some(record) = self.records.get_mut(request)
            && now >= record.since + record.verdict.period()
        {
            record.since = now;
        }
    }

    /// Completions to report to the leader.
    pub(super) fn completions(&self, now: clock::Instant) -> Vec<quarantine::Completion> {
        let reported = self
            .completions
            .iter()
            .map(|(request, at)| quarantine::Completion { request: *request, age: now.since(*at) });
        reported.collect()
    }

    pub(super) fn expire(&mut self, now: clock::Instant) {
        self.completions.retain(|(_, at)| now.since(*at) < COMPLETION_REPORT_TIME);
        let is_valid =
            |record: &Record| record.unnamed_since.is_none_or(|at| now.since(at) < UNNAMED_GRACE);
        self.records.retain(|_, record| is_valid(record));
    }
}

impl Core {
    /// `Retry-After` of a quarantined request; `None` if it may be sent.
    pub(super) fn quarantine_retry_after(&mut self, number: u64) -> Option<Duration> {
        let now = self.now;
        let request = self.requests.get(&number)?;
        if !self.quarantine.may_have_verdict(request.body_length) {
            return None;
        }
        let fingerprint = request.fingerprint();
        let record = *self.quarantine.records.get(&fingerprint)?;
        let period = record.verdict.period();
        if record.verdict == quarantine::Verdict::Suspect {
            return None;
        }
        // A trial that may have run is over: a retry would crash the next upstream.
        if request.possible_runs > 0 {
            return Some(period);
        }
        if record.trial == Some(number) {
            return None;
        }
        let key = &fingerprint.digest;
        let rank = rendezvous::rank(self.settings.address, self.entries.keys(), key);
        let left = now.until(record.since + period + TRIAL_STAGGER * rank as u32);
        let trial_in_flight = record.trial.is_some_and(|trial| self.requests.contains_key(&trial));
        if !left.is_zero() || trial_in_flight {
            return Some(left.max(TRIAL_RETRY_AFTER));
        }
        let identifier = request.identifier.clone();
        if let Some(record) = self.quarantine.records.get_mut(&fingerprint) {
            record.trial = Some(number);
        }
        self.log(notice::Notice::Trial { identifier, fingerprint });
        None
    }

    /// Whether the request was quarantined while its attempt waits for the first byte.
    pub(super) fn is_recalled(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let is_waiting =
            request.attempt.as_ref().is_some_and(|attempt| attempt.last_bytes_at.is_none());
        if !is_waiting || !self.quarantine.may_have_verdict(request.body_length) {
            return false;
        }
        self.quarantine.records.get(&request.fingerprint()).is_some_and(|record| {
            record.verdict != quarantine::Verdict::Suspect && record.trial != Some(number)
        })
    }

    /// Records that an upstream completed the request, and tells the leader if requests with the
    /// same content were in flight at crashes.
    pub(super) fn record_completion(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if !self.quarantine.may_have_verdict(request.body_length) {
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
