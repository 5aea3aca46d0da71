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

    /// Takes the result of a probe; the number of requests that broke off, if the process ended.
    fn settle(&mut self, process: &quarantine::Process, refused: bool) -> Option<usize> {
        let crash = self.0.get_mut(process)?;
        if !refused {
            self.0.remove(process);
            return None;
        }
        crash.confirmed = true;
        Some(crash.requests.len())
    }

    fn forget(&mut self, now: clock::Instant) {
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
            born: attempt.incarnation.born,
        };
        if self.is_leaving(&process) {
            return;
        }
        if self.crashes.add(self.now, &process, fingerprint) {
            let address = attempt.incarnation.address;
            self.actions.push(action::Action::Probe(process, address));
        }
    }

    /// Takes the result of a probe.
    pub(super) fn probed(&mut self, process: &quarantine::Process, refused: bool) {
        let Some(requests) = self.crashes.settle(process, refused) else { return };
        let instance = process.instance.clone();
        self.note(notice::Notice::Crashed { instance, requests });
    }

    /// Forgets crashes that are too old to say anything new.
    pub(super) fn forget_crashes(&mut self) {
        self.crashes.forget(self.now);
    }

    /// Whether the process ends on request.
    fn is_leaving(&self, process: &quarantine::Process) -> bool {
        self.upstreams.get(&process.instance).is_some_and(|upstream| {
            upstream.announcement.born == process.born
                && upstream.standing == view::Standing::Leaving
        })
    }
}
