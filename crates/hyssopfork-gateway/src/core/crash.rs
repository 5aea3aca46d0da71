//! Detection of upstream processes that crash while requests are in flight.
//!
//! A lost connection alone does not show that the process has ended. If its address refuses
//! connections right afterwards, it has; a process without power or behind a network partition
//! doesn't respond at all.

use super::Core;
use crate::{action, notice, prompt, request};
use hyssopfork_fleet::{quarantine, view};
use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a process is kept after its first lost connection.
const CRASH_RETENTION: Duration = Duration::from_secs(2);

/// Most processes that are kept at once.
const MAX_CRASHES: usize = 64;

/// Most requests that are kept for one process.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// A process with lost connections.
#[derive(Clone, Debug)]
struct Crash {
    /// When its first connection was lost.
    since: clock::Instant,
    /// Whether its address is known to refuse connections.
    confirmed: bool,
    /// Requests whose connection was lost.
    requests: BTreeMap<quarantine::Fingerprint, prompt::Parts>,
}

/// Processes with lost connections.
#[derive(Debug, Default)]
pub(super) struct Crashes(BTreeMap<quarantine::Process, Crash>);

impl Crashes {
    /// Adds a request whose connection was lost; returns whether to probe the process.
    fn add(
        &mut self,
        now: clock::Instant,
        process: &quarantine::Process,
        fingerprint: quarantine::Fingerprint,
        prompt: prompt::Parts,
    ) -> bool {
        let known = self.0.contains_key(process);
        if !known && self.0.len() >= MAX_CRASHES {
            return false;
        }
        let crash = self.0.entry(process.clone()).or_insert_with(|| Crash {
            since: now,
            confirmed: false,
            requests: BTreeMap::new(),
        });
        if crash.requests.len() < MAX_REQUESTS_PER_CRASH {
            crash.requests.insert(fingerprint, prompt);
        }
        !known
    }

    /// Handles the result of a probe; returns the requests with lost connections if the process has
    /// ended.
    fn on_probe_result(
        &mut self,
        process: &quarantine::Process,
        refused: bool,
    ) -> Option<BTreeMap<quarantine::Fingerprint, prompt::Parts>> {
        let crash = self.0.get_mut(process)?;
        if !refused {
            self.0.remove(process);
            return None;
        }
        crash.confirmed = true;
        Some(crash.requests.clone())
    }

    /// Crashes to report to the leader.
    pub(super) fn confirmed(&self, now: clock::Instant) -> Vec<quarantine::Crash> {
        let ended = self.0.iter().filter(|(_, crash)| crash.confirmed);
        let reported = ended.map(|(process, crash)| quarantine::Crash {
            process: process.clone(),
            age: now.since(crash.since),
            requests: crash
                .requests
                .iter()
                .map(|(fingerprint, prompt)| quarantine::Request {
                    fingerprint: *fingerprint,
                    parts: prompt.as_slice().to_vec(),
                })
                .collect(),
        });
        reported.collect()
    }

    /// Whether the process is known to have ended.
    fn is_confirmed(&self, process: &quarantine::Process) -> bool {
        self.0.get(process).is_some_and(|crash| crash.confirmed)
    }

    pub(super) fn expire(&mut self, now: clock::Instant) {
        self.0.retain(|_, crash| now.since(crash.since) < CRASH_RETENTION);
    }
}

impl Core {
    /// Records that a request's connection was lost, and probes the upstream.
    pub(super) fn suspect_crash(
        &mut self,
        attempt: &request::Attempt,
        fingerprint: quarantine::Fingerprint,
        prompt: prompt::Parts,
    ) {
        let process = quarantine::Process {
            instance: attempt.instance.clone(),
            start_time_ms: attempt.incarnation.born,
        };
        if self.is_leaving(&process) {
            return;
        }
        let ended = self.crashes.is_confirmed(&process);
        if self.crashes.add(self.now, &process, fingerprint, prompt) {
            let address = attempt.incarnation.address;
            self.actions.push(action::Action::Probe(process, address));
        } else if ended {
            self.quarantine.on_crash(self.now, fingerprint, &prompt);
            self.report_evidence();
        }
    }

    /// Handles the result of a probe.
    pub(super) fn on_probed(&mut self, process: &quarantine::Process, refused: bool) {
        let Some(requests) = self.crashes.on_probe_result(process, refused) else { return };
        for (fingerprint, prompt) in &requests {
            self.quarantine.on_crash(self.now, *fingerprint, prompt);
        }
        let now = self.now;
        let target = self.targets.get_mut(&process.instance);
        if let Some(target) =
            target.filter(|target| target.incarnation.born == process.start_time_ms)
        {
            target.health.on_unreachable(now);
        }
        let (instance, requests) = (process.instance.clone(), requests.len());
        self.log(notice::Notice::Crashed { instance, requests });
        self.report_evidence();
    }

    /// Whether the process is shutting down on request.
    fn is_leaving(&self, process: &quarantine::Process) -> bool {
        let is_published = self.upstreams.get(&process.instance).is_some_and(|upstream| {
            upstream.announcement.start_time_ms == process.start_time_ms
                && upstream.status == view::Status::Leaving
        });
        is_published || self.leaving.contains(process)
    }
}
