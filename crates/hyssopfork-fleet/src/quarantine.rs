//! Quarantine of requests that crash the upstreams that run them (query of death).
//!
//! A request that was in flight at [`CRASHES_TO_QUARANTINE`] crashes and completed nowhere in
//! between is quarantined in the whole fleet. It may have been in flight by coincidence, so entries
//! let a trial attempt through after a backoff that grows with each further crash; an attempt that
//! completes ends the quarantine. The leader keeps the ledger in memory. A new leader takes it over
//! from its followers, and a restart of all processes loses it.

use hyssopfork_wire::{clock, name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Crashes after which a request is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;

/// Crashes after which entries report when the request completes.
const CRASHES_TO_SUSPECT: u32 = 2;

/// Time within which crashes of several upstreams count as one, since they have a common cause.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);

/// Time without an attempt in the first round of a quarantine.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(15);

/// Factor by which that time grows with each attempt that crashes an upstream.
const QUARANTINE_BACKOFF_FACTOR: u32 = 4;

/// Longest time without an attempt.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Time after the last crash and after the end of the last backoff at which a record expires.
const RECORD_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which a crash stays attributed to a quarantined request that was in flight.
const ATTRIBUTION_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of requests with a record. Records with the fewest rounds and crashes are evicted
/// first, and among equals those whose last crash is oldest.
const MAX_RECORDS: usize = 1_024;

/// Maximum number of crashes recorded for one request.
const MAX_CRASHES_PER_RECORD: usize = 16;

/// Hash of a request's team, host (in lower case), path, query and body; the same for each
/// repetition of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Bytes of the body. The length is compared first, so that few requests need to be hashed.
    pub length: u64,
    /// Start of the SHA-256 hash.
    pub digest: [u8; 16],
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = u64::from_be_bytes(self.digest[..8].try_into().unwrap_or_default());
        write!(formatter, "{prefix:016x}")
    }
}

/// Identifier of a part of a prompt, as clients name it. It is a claim: several teams may name the same
/// part, with or without the same content.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Part(pub u64);

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// One process of an upstream; a restart at the same address is another process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The upstream.
    pub instance: name::Instance,
    /// Start of the process, in milliseconds since the Unix epoch by the upstream's own clock.
    pub start_time_ms: u64,
}

/// Crash of an upstream's process, as observed by one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The process that ended.
    pub process: Process,
    /// Time since its end.
    pub age: Duration,
    /// Requests of the entry that were in flight there.
    pub requests: Vec<Fingerprint>,
}

/// Completion of a request that was suspected or quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request.
    pub request: Fingerprint,
    /// Time since its completion.
    pub age: Duration,
}

/// Published verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Entries report its completion.
    Suspect,
    /// Entries reject it.
    Quarantined {
        /// How often it has been quarantined, starting at 1.
        round: u32,
    },
}

impl Verdict {
    /// Backoff: time without an attempt.
    pub fn period(self) -> Duration {
        match self {
            Verdict::Suspect => Duration::ZERO,
            Verdict::Quarantined { round } => {
                let factor = QUARANTINE_BACKOFF_FACTOR.saturating_pow(round.saturating_sub(1));
                INITIAL_QUARANTINE.saturating_mul(factor).min(MAX_QUARANTINE)
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Record {
    /// Processes whose crashes count, with the time of each crash.
    ///
    /// Invariant: at most [`MAX_CRASHES_PER_RECORD`].
    crashes: BTreeMap<Process, clock::Instant>,
    /// Crashes counted by an earlier leader.
    inherited: u32,
    /// Crashes up to this time are ignored: they were followed by a completion or are inherited.
    ignored_until: Option<clock::Instant>,
    /// How often it has been quarantined; 0 if never.
    round: u32,
    /// Start of its last quarantine.
    quarantined_at: clock::Instant,
    /// When entries may send an attempt again; a crash after this time quarantines it for another
    /// round.
    due_at: clock::Instant,
    last_crash: clock::Instant,
}

impl Record {
    fn new(now: clock::Instant) -> Record {
        Record {
            crashes: BTreeMap::new(),
            inherited: 0,
            ignored_until: None,
            round: 0,
            quarantined_at: now,
            due_at: now,
            last_crash: now,
        }
    }

    /// Number of crashes; coinciding ones count once.
    fn count(&self) -> u32 {
        let mut ends: Vec<clock::Instant> = self.crashes.values().copied().collect();
        ends.sort();
        let mut count = self.inherited;
        let mut last = None;
        for end in ends {
            if last.is_none_or(|last| end.since(last) >= COINCIDENCE_WINDOW) {
                count += 1;
                last = Some(end);
            }
        }
        count
    }

    fn verdict(&self) -> Option<Verdict> {
        match (self.round, self.count()) {
            (0, count) if count < CRASHES_TO_SUSPECT => None,
            (0, _) => Some(Verdict::Suspect),
            (round, _) => Some(Verdict::Quarantined { round }),
        }
    }

    fn is_quarantined(&self) -> bool {
        self.round > 0
    }

    /// Records that it was in flight when the process ended; returns whether this starts another
    /// round of quarantine.
    fn record_crash(
        &mut self,
        now: clock::Instant,
        process: &Process,
        end: clock::Instant,
    ) -> bool {
        if self.ignored_until.is_some_and(|until| end <= until) {
            return false;
        }
        let due = if self.is_quarantined() {
            // A crash before this time comes from an attempt that was sent before the quarantine.
            end >= self.due_at
        } else {
            self.crashes.entry(process.clone()).or_insert(end);
            self.drop_oldest();
            self.count() >= CRASHES_TO_QUARANTINE
        };
        self.last_crash = self.last_crash.max(end);
        if due {
            self.round += 1;
            self.quarantined_at = now;
            self.due_at = now + Verdict::Quarantined { round: self.round }.period();
        }
        due
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES_PER_RECORD {
            let oldest = self.crashes.iter().min_by_key(|(_, end)| **end);
            let Some(process) = oldest.map(|(process, _)| process.clone()) else { return };
            self.crashes.remove(&process);
        }
    }

    /// Records its completion; returns whether that ends a quarantine.
    fn record_completion(&mut self, at: clock::Instant) -> bool {
        if self.is_quarantined() && at < self.quarantined_at {
            return false;
        }
        self.crashes.retain(|_, end| *end > at);
        self.inherited = 0;
        self.ignored_until = self.ignored_until.max(Some(at));
        std::mem::take(&mut self.round) > 0
    }

    fn is_expired(&self, now: clock::Instant) -> bool {
        now >= self.due_at.max(self.last_crash) + RECORD_LIFETIME
    }
}

/// Crash records and verdicts, kept by the leader.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Invariant: at most [`MAX_RECORDS`].
    records: BTreeMap<Fingerprint, Record>,
    /// Crashed processes that had a quarantined request in flight, and when that became known.
    attributed: BTreeMap<Process, clock::Instant>,
    /// Verdicts of all records that have one.
    published: BTreeMap<Fingerprint, Verdict>,
}

impl Ledger {
    /// Records a crash that an entry observed; returns the requests that it puts in quarantine,
    /// with their rounds.
    ///
    /// A crash with a quarantined request in flight is attributed to that request and counts
    /// against no other.
    pub fn record_crash(&mut self, now: clock::Instant, crash: &Crash) -> Vec<(Fingerprint, u32)> {
        let end = now - crash.age;
        let is_cause = |request: &Fingerprint| {
            let record = self.records.get(request);
            record.is_some_and(|record| record.is_quarantined() && end > record.quarantined_at)
        };
        if crash.requests.iter().any(is_cause) {
            self.attribute(now, &crash.process);
        }
        let is_attributed = self.attributed.contains_key(&crash.process);
        let mut quarantined = Vec::new();
        for request in &crash.requests {
            let is_quarantined = self.records.get(request).is_some_and(Record::is_quarantined);
            if is_attributed && !is_quarantined {
                continue;
            }
            let record = self.records.entry(*request).or_insert_with(|| Record::new(now));
            if record.record_crash(now, &crash.process, end) {
                quarantined.push((*request, record.round));
            }
            self.publish(request);
        }
        self.evict_excess();
        quarantined
    }

    /// Records the completion of a request; returns whether that ends its quarantine.
    pub fn record_completion(&mut self, now: clock::Instant, completion: &Completion) -> bool {
        let Some(record) = self.records.get_mut(&completion.request) else { return false };
        let ended = record.record_completion(now - completion.age);
        self.publish(&completion.request);
        ended
    }

    /// Takes over the verdicts that followers of an earlier leader know.
    pub fn inherit(&mut self, now: clock::Instant, known: Vec<(Fingerprint, Verdict)>) {
        for (request, verdict) in known {
            let record = self.records.entry(request).or_insert_with(|| Record::new(now));
            match verdict {
                Verdict::Suspect if record.verdict().is_none() => {
                    record.inherited = CRASHES_TO_SUSPECT;
                    record.ignored_until = Some(now);
                }
                Verdict::Suspect => {}
                Verdict::Quarantined { round } => record.round = record.round.max(round),
            }
            self.publish(&request);
        }
        self.evict_excess();
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: clock::Instant) {
        self.attributed.retain(|_, known| now.since(*known) < ATTRIBUTION_LIFETIME);
        if !self.records.is_empty() {
            self.records.retain(|_, record| !record.is_expired(now));
            self.published.retain(|request, _| self.records.contains_key(request));
        }
    }

    /// The verdicts to publish to entries.
    pub fn published(&self) -> &BTreeMap<Fingerprint, Verdict> {
        &self.published
    }

    /// Attributes a crash to a quarantined request and removes it from the records of all other
    /// requests.
    fn attribute(&mut self, now: clock::Instant, process: &Process) {
        if self.attributed.insert(process.clone(), now).is_some() {
            return;
        }
        let others = self.records.iter_mut().filter(|(_, record)| !record.is_quarantined());
        let cleared =
            others.filter_map(|(request, record)| record.crashes.remove(process).map(|_| *request));
        for request in cleared.collect::<Vec<_>>() {
            self.publish(&request);
        }
    }

    fn publish(&mut self, request: &Fingerprint) {
        match self.records.get(request).and_then(Record::verdict) {
            Some(verdict) => self.published.insert(*request, verdict),
            None => self.published.remove(request),
        };
    }

    /// Evicts the lowest-ranked quarter when there are too many records. Evicting a quarter at once
    /// keeps the amortized cost of ranking low, however many records are added.
    fn evict_excess(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let rank = |record: &Record| (record.round, record.count(), record.last_crash);
        let mut ranked: Vec<_> =
            self.records.iter().map(|(request, record)| (rank(record), *request)).collect();
        ranked.sort();
        ranked.truncate(ranked.len() - MAX_RECORDS * 3 / 4);
        for (_, request) in ranked {
            self.records.remove(&request);
            self.published.remove(&request);
        }
    }
}
