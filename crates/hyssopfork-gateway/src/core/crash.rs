//! Upstreams whose process ended under their requests.
//!
//! A connection that breaks off says nothing of the process behind it. One whose address refuses
//! connections right afterwards has ended; one without power or behind a partition doesn't answer at
//! all.

use super::Core;
use crate::{action, notice, request};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_wire::clock;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a process is remembered after its first broken request.
const CRASH_MEMORY: Duration = Duration::from_secs(2);

/// Most processes that are remembered at once.
const MAX_CRASHES: usize = 64;

/// Most fingerprints that are kept of one process.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// A process with broken requests.
#[derive(Clone, Debug)]
struct Crash {
    /// When its first request broke off.
    since: clock::Instant,
    /// Whether its address is known to refuse connections.
    confirmed: bool,
    /// Requests that broke off.
    requests: BTreeSet<quarantine::Fingerprint>,
}

/// Processes with broken requests.
#[derive(Debug, Default)]
pub(super) struct Crashes(BTreeMap<quarantine::Process, Crash>);

impl Crashes {
    /// Adds a broken request; whether to probe the process for it.
    fn add(
        &mut self,
        now: clock::Instant,
        process: &quarantine::Process,
        request: quarantine::Fingerprint,
    ) -> bool {
        let known = self.0.contains_key(process);
        if !known && self.0.len() >= MAX_CRASHES {
            return false;
        }
        let crash = self.0.entry(process.clone()).or_insert_with(|| Crash {
            since: now,
            confirmed: false,
            requests: BTreeSet::new(),
        });
        if crash.requests.len() < MAX_REQUESTS_PER_CRASH {
            crash.requests.insert(request);
        }
        !known
    }

    /// Takes the result of a probe; the requests that broke off, if the process ended.
    fn settle(
        &mut self,
        process: &quarantine::Process,
        refused: bool,
    ) -> Option<Vec<quarantine::Fingerprint>> {
        let crash = self.0.get_mut(process)?;
        if !refused {
            self.0.remove(process);
            return None;
        }
        crash.confirmed = true;
        Some(crash.requests.iter().copied().collect())
    }

    /// Processes that ended, for the leader.
    pub(super) fn confirmed(&self, now: clock::Instant) -> Vec<quarantine::Crash> {
        let ended = self.0.iter().filter(|(_, crash)| crash.confirmed);
        let told = ended.map(|(process, crash)| quarantine::Crash {
            process: process.clone(),
            age: now.since(crash.since),
            requests: crash.requests.iter().copied().collect(),
        });
        told.collect()
    }

    /// Whether the process is known to have ended.
    fn is_confirmed(&self, process: &quarantine::Process) -> bool {
        self.0.get(process).is_some_and(|crash| crash.confirmed)
    }

    pub(super) fn forget(&mut self, now: clock::Instant) {
        self.0.retain(|_, crash| now.since(crash.since) < CRASH_MEMORY);
    }
}

impl Core {
    /// Takes in that a request's connection broke off, and probes the upstream.
    pub(super) fn suspect_crash(
        &mut self,
        attempt: &request::Attempt,
        fingerprint: quarantine::Fingerprint,
    ) {
        let process = quarantine::Process {
            instance: attempt.instance.clone(),
            start_time_ms: attempt.incarnation.born,
        };
        if self.is_leaving(&process) {
            return;
        }
        let ended = self.crashes.is_confirmed(&process);
        if self.crashes.add(self.now, &process, fingerprint) {
            let address = attempt.incarnation.address;
            self.actions.push(action::Action::Probe(process, address));
        } else if ended {
            self.quarantine.crashed(self.now, &fingerprint);
            self.tell();
        }
    }

    /// Takes the result of a probe.
    pub(super) fn probed(&mut self, process: &quarantine::Process, refused: bool) {
        let Some(requests) = self.crashes.settle(process, refused) else { return };
        for request in &requests {
            self.quarantine.crashed(self.now, request);
        }
        let now = self.now;
        let target = self.targets.get_mut(&process.instance);
        if let Some(target) =
            target.filter(|target| target.incarnation.born == process.start_time_ms)
        {
            target.health.unreachable(now);
        }
        let (instance, requests) = (process.instance.clone(), requests.len());
        self.note(notice::Notice::Crashed { instance, requests });
        self.tell();
    }

    /// Whether the process ends on request.
    fn is_leaving(&self, process: &quarantine::Process) -> bool {
        self.upstreams.get(&process.instance).is_some_and(|upstream| {
            upstream.announcement.start_time_ms == process.start_time_ms
                && upstream.status == view::Status::Leaving
        })
    }
}
