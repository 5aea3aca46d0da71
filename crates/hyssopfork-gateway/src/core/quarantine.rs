//! Quarantine of requests that crash upstreams: an entry rejects them, except for an occasional
//! trial.

use super::Core;
use crate::{notice, prompt, rendezvous, request};
use hyssopfork_fleet::quarantine;
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a completion or a trial is reported, since a message may be lost.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// Most completions that are reported at once, and most trials.
const MAX_REPORTED: usize = 128;

/// Time between two reports of completions.
const COMPLETION_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a verdict that a new leader doesn't publish remains valid: the leader may not
/// have learned of it from the other entries yet.
const UNNAMED_GRACE: Duration = Duration::from_secs(2);

/// Delay of each entry's trial after that of the previous entry in the cause's order of entries,
/// so that the first trial is known before the next one.
const TRIAL_STAGGER: Duration = Duration::from_millis(1_500);

/// `Retry-After` while a trial is in flight.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A cause with a verdict.
#[derive(Clone, Copy, Debug)]
struct Record {
    verdict: quarantine::Verdict,
    /// When this entry received the verdict, or when it sent the last trial or learned of its crash.
    since: clock::Instant,
    /// Number of the last request that was sent as a trial.
    trial: Option<u64>,
    /// Since when the leader doesn't publish the verdict; `None` while it does.
    unnamed_since: Option<clock::Instant>,
}

/// Verdicts on causes of crashes, as published by the leader.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    records: BTreeMap<quarantine::Cause, Record>,
    /// Causes that completed recently, and when they last did.
    completions: BTreeMap<quarantine::Cause, clock::Instant>,
    completions_reported_at: Option<clock::Instant>,
    /// Trials that were sent recently: rounds and times.
    trials: BTreeMap<quarantine::Cause, (u32, clock::Instant)>,
}

impl Quarantine {
    /// Applies published verdicts. A known verdict keeps its time, and a trial outlasts the round that
    /// begins with it.
    pub(super) fn on_published(
        &mut self,
        now: clock::Instant,
        whole: bool,
        changes: Vec<(quarantine::Cause, Option<quarantine::Verdict>)>,
    ) {
        if whole {
            for record in self.records.values_mut() {
                record.unnamed_since.get_or_insert(now);
            }
        }
        for (cause, verdict) in changes {
            let known = self.records.remove(&cause);
            let Some(verdict) = verdict else { continue };
            let since = known.filter(|known| known.verdict == verdict).map_or(now, |it| it.since);
            let trial = known.and_then(|known| known.trial);
            self.records.insert(cause, Record { verdict, since, trial, unnamed_since: None });
        }
    }

    /// Whether a request with a body of this length may have a verdict: only then does it need to
    /// be hashed.
    fn may_have_verdict(&self, length: u64) -> bool {
        let least = quarantine::Fingerprint { length, digest: [0; 16] };
        let mut next = self.records.range(quarantine::Cause::Request(least)..);
        next.next().is_some_and(|(cause, _)| match cause {
            quarantine::Cause::Request(fingerprint) => fingerprint.length == length,
            quarantine::Cause::Part(_) => false,
        })
    }

    /// Records of the request and of the parts of its prompt.
    fn records_of(&self, request: &request::Request) -> Vec<(quarantine::Cause, Record)> {
        if self.records.is_empty() {
            return Vec::new();
        }
        let parts = request.prompt.as_slice().iter().map(|part| quarantine::Cause::Part(*part));
        let content = self
            .may_have_verdict(request.body_length)
            .then(|| quarantine::Cause::Request(request.fingerprint()));
        let causes = content.into_iter().chain(parts);
        causes.filter_map(|cause| Some((cause, *self.records.get(&cause)?))).collect()
    }

    /// Records that a request was in flight at a crash: a trial failed.
    pub(super) fn on_crash(
        &mut self,
        now: clock::Instant,
        fingerprint: quarantine::Fingerprint,
        prompt: &prompt::Parts,
    ) {
        let parts = prompt.as_slice().iter().map(|part| quarantine::Cause::Part(*part));
        for cause in std::iter::once(quarantine::Cause::Request(fingerprint)).chain(parts) {
            if let Some(record) = self.records.get_mut(&cause)
                && now >= record.since + record.verdict.period()
            {
                record.since = now;
            }
        }
    }

    /// Completions to report to the leader.
    pub(super) fn completions(&self, now: clock::Instant) -> Vec<quarantine::Completion> {
        let reported = self
            .completions
            .iter()
            .map(|(cause, at)| quarantine::Completion { cause: *cause, age: now.since(*at) });
        reported.collect()
    }

    /// Trials to report to the leader.
    pub(super) fn trials(&self, now: clock::Instant) -> Vec<quarantine::Trial> {
        let reported = self.trials.iter().map(|(cause, (round, at))| quarantine::Trial {
            cause: *cause,
            round: *round,
            age: now.since(*at),
        });
        reported.collect()
    }

    pub(super) fn expire(&mut self, now: clock::Instant) {
        self.completions.retain(|_, at| now.since(*at) < REPORT_TIME);
        self.trials.retain(|_, (_, at)| now.since(*at) < REPORT_TIME);
        let is_valid =
            |record: &Record| record.unnamed_since.is_none_or(|at| now.since(at) < UNNAMED_GRACE);
        self.records.retain(|_, record| is_valid(record));
    }
}

impl Core {
    /// `Retry-After` of a quarantined request; `None` if it may be sent.
    pub(super) fn quarantine_retry_after(&mut self, number: u64) -> Option<Duration> {
        let request = self.requests.get(&number)?;
        let records = self.quarantine.records_of(request);
        records
            .into_iter()
            .filter_map(|(cause, record)| self.trial_delay(number, request, cause, record))
            .max()
    }

    /// Time until a request may be sent as a trial of the cause; `None` if it may be sent now.
    fn trial_delay(
        &self,
        number: u64,
        request: &request::Request,
        cause: quarantine::Cause,
        record: Record,
    ) -> Option<Duration> {
        if record.verdict == quarantine::Verdict::Suspect {
            return None;
        }
        let period = record.verdict.period();
        // A trial that may have run is over: a retry would crash the next upstream.
        if request.possible_runs > 0 {
            return Some(period);
        }
        if record.trial == Some(number) {
            return None;
        }
        let trial_in_flight = record.trial.is_some_and(|trial| self.requests.contains_key(&trial));
        let rank = match cause {
            quarantine::Cause::Request(fingerprint) => self.trial_rank(&fingerprint.digest),
            quarantine::Cause::Part(part) => self.trial_rank(&part.0.to_be_bytes()),
        };
        let left = self.now.until(record.since + period + TRIAL_STAGGER * rank as u32);
        (!left.is_zero() || trial_in_flight).then(|| left.max(TRIAL_RETRY_AFTER))
    }

    /// Place of this entry in the order in which entries send trials of a cause.
    fn trial_rank(&self, key: &[u8]) -> usize {
        rendezvous::rank(self.settings.address, self.entries.keys(), key)
    }

    /// Records that a request is sent, if it is quarantined, and tells the leader: the next trial is
    /// due after another period, whatever becomes of this one.
    pub(super) fn record_trial(&mut self, number: u64) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let identifier = request.identifier.clone();
        let mut is_new = false;
        for (cause, known) in self.quarantine.records_of(request) {
            let quarantine::Verdict::Quarantined { round } = known.verdict else { continue };
            if known.trial == Some(number) {
                continue;
            }
            if let Some(record) = self.quarantine.records.get_mut(&cause) {
                record.trial = Some(number);
                record.since = now;
            }
            if self.quarantine.trials.len() < MAX_REPORTED {
                self.quarantine.trials.insert(cause, (round, now));
            }
            self.log(notice::Notice::Trial { identifier: identifier.clone(), cause });
            is_new = true;
        }
        if is_new {
            self.report_evidence();
        }
    }

    /// Whether the request was quarantined while its attempt waits for the first byte.
    pub(super) fn is_recalled(&self, number: u64) -> bool {
        let Some(request) = self.requests.get(&number) else { return false };
        let is_waiting =
            request.attempt.as_ref().is_some_and(|attempt| attempt.last_bytes_at.is_none());
        let is_recalled = |record: &Record| {
            record.verdict != quarantine::Verdict::Suspect && record.trial != Some(number)
        };
        is_waiting
            && self.quarantine.records_of(request).iter().any(|(_, record)| is_recalled(record))
    }

    /// Records that an upstream completed the request with this status, and tells the leader if
    /// requests with the same content, or with parts in common, were in flight at crashes.
    pub(super) fn record_completion(&mut self, number: u64, status: u16) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else { return };
        let records = self.quarantine.records_of(request);
        if records.is_empty() {
            return;
        }
        for (cause, record) in records {
            // A response to a failed request may have been written without the prompt.
            if matches!(cause, quarantine::Cause::Part(_)) && status >= 400 {
                continue;
            }
            if record.verdict != quarantine::Verdict::Suspect {
                self.quarantine.records.remove(&cause);
            }
            if self.quarantine.completions.len() < MAX_REPORTED
                || self.quarantine.completions.contains_key(&cause)
            {
                self.quarantine.completions.insert(cause, now);
            }
        }
        let reported_at = self.quarantine.completions_reported_at;
        if reported_at.is_none_or(|at| now.since(at) >= COMPLETION_REPORT_INTERVAL) {
            self.quarantine.completions_reported_at = Some(now);
            self.report_evidence();
        }
    }
}
