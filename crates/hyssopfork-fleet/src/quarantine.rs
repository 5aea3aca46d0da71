//! Quarantine of requests that crash the upstreams that run them (query of death).
//!
//! A crash may be caused by one request with all its content, or by a part of a prompt, which many
//! requests have in common ([`Cause`]). The causes of a crash are those of all requests that were in
//! flight; one that completes elsewhere is cleared. A request is quarantined in the whole fleet once it
//! was in flight at [`CRASHES_TO_QUARANTINE`] crashes. A part needs as many crashes under different
//! requests, and more crashes than any other part or [`CRASHES_TO_QUARANTINE_ALL`].
//!
//! A quarantined part explains the crashes of requests that were quarantined for them, and frees these; its
//! release returns them to quarantine.
//!
//! A cause may have been in flight by coincidence, so entries let a trial attempt through after a
//! backoff that grows with each trial; an attempt that completes ends the quarantine. The leader keeps
//! the ledger in memory. A new leader takes it over from its followers, and a restart of all processes
//! loses it.

use hyssopfork_wire::{clock, name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::mem;
use std::time::Duration;

/// Crashes after which a cause is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;

/// Crashes after which parts are quarantined although others were in flight at as many.
pub const CRASHES_TO_QUARANTINE_ALL: u32 = 5;

/// Crashes after which entries report when the cause completes.
const CRASHES_TO_SUSPECT: u32 = 2;

/// Requests under which a part must have crashed upstreams: with one alone, the request is the cause.
const MIN_REQUESTS_OF_PART: usize = 2;

/// Time within which crashes of several upstreams count as one, since they have a common cause.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(50);

/// Time after a crash from which it counts for parts: until then, the reports of some entries may be
/// missing, and so may completions.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// Time without an attempt in each round of a quarantine; the last one also holds for further rounds.
/// It allows two trials within the first day, and then one a day.
const QUARANTINE_PERIODS: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_secs(60), Duration::from_secs(24 * 3_600)];

/// Time after the last crash and after the end of the last backoff at which a record expires.
const RECORD_LIFETIME: Duration = Duration::from_secs(600);

/// Time for which a crash stays attributed to a quarantined cause that was in flight, and for which its
/// reports are known. Entries repeat a report for 2 s.
const ATTRIBUTION_LIFETIME: Duration = Duration::from_secs(10);

/// Maximum number of crashes whose reports are known.
const MAX_REPORTED_CRASHES: usize = 1_024;

/// Maximum number of causes with a record. Records with the fewest rounds and crashes are evicted
/// first, and among equals those whose last crash is oldest.
const MAX_RECORDS: usize = 1_024;

/// Maximum number of crashes recorded for one cause.
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

/// What crashes of upstreams are attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// A request, each time that it is repeated.
    Request(Fingerprint),
    /// All requests with a part in their prompts, of any team.
    Part(Part),
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Request(fingerprint) => write!(formatter, "request {fingerprint}"),
            Cause::Part(part) => write!(formatter, "part {part}"),
        }
    }
}

/// A request that was in flight at a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt.
    pub parts: Vec<Part>,
}

impl Request {
    fn causes(&self) -> impl Iterator<Item = Cause> {
        let parts = self.parts.iter().map(|part| Cause::Part(*part));
        std::iter::once(Cause::Request(self.fingerprint)).chain(parts)
    }
}

/// Crash of an upstream's process, as observed by one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The process that ended.
    pub process: Process,
    /// Time since its end.
    pub age: Duration,
    /// Requests of the entry that were in flight there.
    pub requests: Vec<Request>,
}

/// Completion of a request with a cause that is suspected or quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The cause.
    pub cause: Cause,
    /// Time since the completion.
    pub age: Duration,
}

/// Attempt with a quarantined cause that an entry has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The cause.
    pub cause: Cause,
    /// Round of its quarantine when the attempt was sent.
    pub round: u32,
    /// Time since the attempt was sent.
    pub age: Duration,
}

/// Published verdict on a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Entries report its completion.
    Suspect,
    /// Entries reject its requests.
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
                let index = round.saturating_sub(1) as usize;
                QUARANTINE_PERIODS[index.min(QUARANTINE_PERIODS.len() - 1)]
            }
        }
    }
}

/// Crash with requests of one cause in flight.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    end: clock::Instant,
    /// The only request of the cause that was in flight; `None` if there were several.
    request: Option<Fingerprint>,
}

#[derive(Clone, Debug)]
struct Record {
    /// Processes whose crashes count.
    ///
    /// Invariant: at most [`MAX_CRASHES_PER_RECORD`].
    crashes: BTreeMap<Process, Evidence>,
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
    /// Requests that this quarantined part freed, as they were; they return to quarantine if the part
    /// is released.
    explained: Vec<(Cause, Record)>,
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
            explained: Vec::new(),
        }
    }

    /// Number of crashes; coinciding ones count once.
    fn count(&self) -> u32 {
        self.count_until(None)
    }

    /// Number of crashes up to this time; coinciding ones count once.
    fn count_until(&self, until: Option<clock::Instant>) -> u32 {
        let ends = self.crashes.values().map(|crash| crash.end);
        let mut ends: Vec<clock::Instant> =
            ends.filter(|end| until.is_none_or(|until| *end <= until)).collect();
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

    /// Whether crashes occurred under several requests, as far as this is known.
    fn has_several_requests(&self) -> bool {
        let requests: BTreeSet<_> = self.crashes.values().map(|crash| crash.request).collect();
        self.inherited > 0 || requests.len() >= MIN_REQUESTS_OF_PART || requests.contains(&None)
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

    /// Records that `request` was in flight when the process ended.
    fn record_crash(&mut self, process: &Process, end: clock::Instant, request: Fingerprint) {
        let is_ignored = self.ignored_until.is_some_and(|until| end <= until);
        if is_ignored || self.is_quarantined() && end > self.quarantined_at {
            return;
        }
        let evidence = Evidence { end, request: Some(request) };
        let crash = self.crashes.entry(process.clone()).or_insert(evidence);
        if crash.request != Some(request) {
            crash.request = None;
        }
        self.drop_oldest();
        self.last_crash = self.last_crash.max(end);
    }

    /// Starts another round of quarantine.
    fn quarantine(&mut self, now: clock::Instant) {
        self.round += 1;
        self.quarantined_at = now;
        self.due_at = now + Verdict::Quarantined { round: self.round }.period();
    }

    fn drop_oldest(&mut self) {
        while self.crashes.len() > MAX_CRASHES_PER_RECORD {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.end);
            let Some(process) = oldest.map(|(process, _)| process.clone()) else { return };
            self.crashes.remove(&process);
        }
    }

    /// Records its completion; returns whether that ends a quarantine.
    fn record_completion(&mut self, at: clock::Instant) -> bool {
        if self.is_quarantined() && at < self.quarantined_at {
            return false;
        }
        self.crashes.retain(|_, crash| crash.end > at);
        self.inherited = 0;
        self.ignored_until = self.ignored_until.max(Some(at));
        mem::take(&mut self.round) > 0
    }

    fn is_expired(&self, now: clock::Instant) -> bool {
        now >= self.due_at.max(self.last_crash) + RECORD_LIFETIME
    }
}

/// Attribution of a crash to quarantined causes that were in flight.
#[derive(Clone, Copy, Debug)]
struct Attribution {
    known_at: clock::Instant,
    /// Whether one of the causes is a part. Another request alone explains no crash of a part, since
    /// it may be quarantined for having been in flight beside it.
    to_part: bool,
}

/// Requests that entries reported for a crash.
#[derive(Clone, Debug)]
struct Report {
    known_at: clock::Instant,
    requests: BTreeSet<Fingerprint>,
}

/// Crash records and verdicts, kept by the leader.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Reports of recent crashes. Each entry repeats its own several times, and most repetitions are
    /// dropped without a look at the records.
    ///
    /// Invariant: at most [`MAX_REPORTED_CRASHES`].
    reports: BTreeMap<Process, Report>,
    /// Invariant: at most [`MAX_RECORDS`].
    records: BTreeMap<Cause, Record>,
    /// Crashed processes that had a quarantined cause in flight.
    attributed: BTreeMap<Process, Attribution>,
    /// Verdicts of all records that have one.
    published: BTreeMap<Cause, Verdict>,
}

impl Ledger {
    /// Records a crash that an entry observed; returns the causes that it puts in quarantine, with
    /// their rounds. Parts follow with [`Ledger::review`].
    ///
    /// A crash with a quarantined cause in flight is attributed to that cause and counts against no
    /// other.
    pub fn record_crash(&mut self, now: clock::Instant, crash: &Crash) -> Vec<(Cause, u32)> {
        let end = now - crash.age;
        let requests = self.add_report(now, crash);
        let causes: BTreeSet<Cause> = requests.iter().flat_map(|it| it.causes()).collect();
        for cause in &causes {
            let record = self.records.get(cause);
            if record.is_some_and(|it| it.is_quarantined() && end > it.quarantined_at) {
                self.attribute(now, &crash.process, *cause);
            }
        }
        let mut quarantined = Vec::new();
        for request in requests {
            for cause in request.causes() {
                if self.is_attributed(&crash.process, cause) {
                    continue;
                }
                let record = self.records.entry(cause).or_insert_with(|| Record::new(now));
                record.record_crash(&crash.process, end, request.fingerprint);
            }
        }
        for cause in causes {
            let Some(record) = self.records.get_mut(&cause) else { continue };
            let is_due = if record.is_quarantined() {
                // A crash before this time comes from an attempt that was sent before the quarantine.
                end >= record.due_at
            } else {
                matches!(cause, Cause::Request(_)) && record.count() >= CRASHES_TO_QUARANTINE
            };
            if is_due {
                quarantined.push(self.quarantine(now, cause));
            }
            self.publish(&cause);
        }
        self.evict_excess();
        quarantined
    }

    /// Adds the report of a crash; returns the requests that were not reported before.
    fn add_report<'a>(&mut self, now: clock::Instant, crash: &'a Crash) -> Vec<&'a Request> {
        if self.reports.len() >= MAX_REPORTED_CRASHES && !self.reports.contains_key(&crash.process)
        {
            self.reports.clear();
        }
        let new = || Report { known_at: now, requests: BTreeSet::new() };
        let report = self.reports.entry(crash.process.clone()).or_insert_with(new);
        crash.requests.iter().filter(|it| report.requests.insert(it.fingerprint)).collect()
    }

    /// Quarantines parts that crashed upstreams; returns them with their rounds.
    pub fn review(&mut self, now: clock::Instant) -> Vec<(Cause, u32)> {
        let mut quarantined = Vec::new();
        loop {
            let leading = self.leading_parts(now);
            if leading.is_empty() {
                return quarantined;
            }
            for cause in &leading {
                quarantined.push(self.quarantine(now, *cause));
            }
            for cause in leading {
                self.explain_crashes(now, cause);
                self.publish(&cause);
            }
        }
    }

    /// The parts with the most crashes, if there are enough to quarantine them.
    fn leading_parts(&self, now: clock::Instant) -> Vec<Cause> {
        let mut leading = Vec::new();
        let mut most = CRASHES_TO_QUARANTINE;
        for (cause, record) in &self.records {
            if matches!(cause, Cause::Request(_))
                || record.is_quarantined()
                || record.crashes.len() + (record.inherited as usize) < most as usize
                || !record.has_several_requests()
            {
                continue;
            }
            let count = record.count_until(Some(now - REPORT_TIME));
            if count > most {
                leading.clear();
                most = count;
            }
            if count == most {
                leading.push(*cause);
            }
        }
        if leading.len() > 1 && most < CRASHES_TO_QUARANTINE_ALL {
            leading.clear();
        }
        leading
    }

    fn quarantine(&mut self, now: clock::Instant, cause: Cause) -> (Cause, u32) {
        let record = self.records.entry(cause).or_insert_with(|| Record::new(now));
        record.quarantine(now);
        (cause, record.round)
    }

    /// Attributes the crashes of a part that was quarantined to it, and frees requests that were
    /// quarantined for them.
    fn explain_crashes(&mut self, now: clock::Instant, part: Cause) {
        let Some(record) = self.records.get(&part) else { return };
        let crashes: Vec<Process> = record.crashes.keys().cloned().collect();
        let mut freed = Vec::new();
        for (cause, record) in &mut self.records {
            let is_explained = !record.crashes.is_empty()
                && record.crashes.keys().all(|process| crashes.contains(process));
            if matches!(cause, Cause::Request(_)) && record.round == 1 && is_explained {
                freed.push((*cause, record.clone()));
                record.round = 0;
                record.crashes.clear();
            }
        }
        let causes: Vec<Cause> = freed.iter().map(|(cause, _)| *cause).collect();
        if let Some(record) = self.records.get_mut(&part) {
            record.explained = freed;
        }
        for process in &crashes {
            self.attribute(now, process, part);
        }
        for cause in causes {
            self.publish(&cause);
        }
    }

    /// Records the completion of a cause; returns whether that ends its quarantine.
    pub fn record_completion(&mut self, now: clock::Instant, completion: &Completion) -> bool {
        let Some(record) = self.records.get_mut(&completion.cause) else { return false };
        let ended = record.record_completion(now - completion.age);
        let explained = if ended { mem::take(&mut record.explained) } else { Vec::new() };
        self.publish(&completion.cause);
        for (cause, record) in explained {
            if !self.records.get(&cause).is_some_and(Record::is_quarantined) {
                self.records.insert(cause, record);
                self.publish(&cause);
            }
        }
        self.evict_excess();
        ended
    }

    /// Records a trial: no other is sent until the next round has passed, whatever becomes of this
    /// one. Returns the next round, unless the trial is known already.
    pub fn record_trial(&mut self, now: clock::Instant, trial: &Trial) -> Option<u32> {
        let record = self.records.get_mut(&trial.cause)?;
        if !record.is_quarantined() || record.round != trial.round {
            return None;
        }
        // A completion of the trial comes after this time, even if it is reported together with it.
        record.quarantine(now - trial.age);
        let round = record.round;
        self.publish(&trial.cause);
        Some(round)
    }

    /// Takes over the verdicts that followers of an earlier leader know.
    pub fn inherit(&mut self, now: clock::Instant, known: Vec<(Cause, Verdict)>) {
        for (cause, verdict) in known {
            let record = self.records.entry(cause).or_insert_with(|| Record::new(now));
            match verdict {
                Verdict::Suspect if record.verdict().is_none() => {
                    record.inherited = CRASHES_TO_SUSPECT;
                    record.ignored_until = Some(now);
                }
                Verdict::Suspect => {}
                Verdict::Quarantined { round } => record.round = record.round.max(round),
            }
            self.publish(&cause);
        }
        self.evict_excess();
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: clock::Instant) {
        self.attributed.retain(|_, it| now.since(it.known_at) < ATTRIBUTION_LIFETIME);
        self.reports.retain(|_, it| now.since(it.known_at) < ATTRIBUTION_LIFETIME);
        if !self.records.is_empty() {
            self.records.retain(|_, record| !record.is_expired(now));
            self.published.retain(|cause, _| self.records.contains_key(cause));
        }
    }

    /// The verdicts to publish to entries.
    pub fn published(&self) -> &BTreeMap<Cause, Verdict> {
        &self.published
    }

    /// Whether the crash is attributed to a cause other than this one, which is not quarantined.
    fn is_attributed(&self, process: &Process, cause: Cause) -> bool {
        let explains = |it: &Attribution| it.to_part || matches!(cause, Cause::Request(_));
        self.attributed.get(process).is_some_and(explains)
            && !self.records.get(&cause).is_some_and(Record::is_quarantined)
    }

    /// Attributes a crash to a quarantined cause and removes it from the records of others.
    fn attribute(&mut self, now: clock::Instant, process: &Process, cause: Cause) {
        let to_part = matches!(cause, Cause::Part(_));
        let known = self.attributed.get(process).copied();
        if known.is_some_and(|known| known.to_part || !to_part) {
            return;
        }
        self.attributed.insert(process.clone(), Attribution { known_at: now, to_part });
        let others = self.records.iter_mut().filter(|(other, record)| {
            !record.is_quarantined() && (to_part || matches!(other, Cause::Request(_)))
        });
        let cleared =
            others.filter_map(|(other, record)| record.crashes.remove(process).map(|_| *other));
        for cause in cleared.collect::<Vec<_>>() {
            self.publish(&cause);
        }
    }

    fn publish(&mut self, cause: &Cause) {
        match self.records.get(cause).and_then(Record::verdict) {
            Some(verdict) => self.published.insert(*cause, verdict),
            None => self.published.remove(cause),
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
            self.records.iter().map(|(cause, record)| (rank(record), *cause)).collect();
        ranked.sort();
        ranked.truncate(ranked.len() - MAX_RECORDS * 3 / 4);
        for (_, cause) in ranked {
            self.records.remove(&cause);
            self.published.remove(&cause);
        }
    }
}
