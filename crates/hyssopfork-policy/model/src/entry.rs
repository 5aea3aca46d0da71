//! Interface between the model's entry processes and the simulation.

use crate::{baseline, policy, traffic};
use hyssopfork_wire::{clock, frame, name};
use std::time::Duration;

/// An action of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends an attempt to an upstream.
    Send {
        /// The request.
        request: usize,
        /// The attempt.
        attempt: u64,
        /// The upstream.
        upstream: usize,
    },
    /// Cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: u64,
        /// The upstream that it is on.
        upstream: usize,
    },
    /// Rejects a request.
    Reject {
        /// The request.
        request: usize,
        /// When the client should retry.
        retry_after: Option<Duration>,
    },
    /// Reports to the client that its request failed.
    Fail(usize),
}

/// A message to an entry process about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The agent's load report, ahead of the response.
    LoadReport(frame::Load),
    /// The agent rejected the attempt: it did not run.
    Rejected(frame::Load),
    /// The response started.
    Started,
    /// The response ended.
    Completed,
    /// The upstream failed it.
    Failed,
}

/// Kind of an entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A plain proxy: round robin, no limits, first come first served, retries without a budget.
    Baseline,
    /// Decides by the policy package.
    Policy,
}

/// An entry process.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A plain proxy.
    Baseline(baseline::Entry),
    /// Decides by the policy package.
    Policy(Box<policy::Entry>),
}

impl Entry {
    /// An entry process that knows `upstreams`, given by their zones.
    pub fn new(kind: Kind, index: usize, upstreams: &[name::Zone], seed: u64) -> Entry {
        match kind {
            Kind::Baseline => Entry::Baseline(baseline::Entry::new(index, upstreams)),
            Kind::Policy => Entry::Policy(Box::new(policy::Entry::new(index, upstreams, seed))),
        }
    }

    /// Handles the arrival of a request.
    pub fn on_arrival(
        &mut self,
        now: clock::Instant,
        id: usize,
        request: &traffic::Request,
    ) -> Vec<Effect> {
        match self {
            Entry::Baseline(entry) => entry.on_arrival(id),
            Entry::Policy(entry) => entry.on_arrival(now, id, request),
        }
    }

    /// Handles a reply of an agent.
    pub fn on_reply(&mut self, now: clock::Instant, attempt: u64, reply: Reply) -> Vec<Effect> {
        match self {
            Entry::Baseline(entry) => entry.on_reply(attempt, reply),
            Entry::Policy(entry) => entry.on_reply(now, attempt, reply),
        }
    }

    /// Handles a tick of the clock.
    pub fn on_tick(&mut self, now: clock::Instant) -> Vec<Effect> {
        match self {
            Entry::Baseline(_) => Vec::new(),
            Entry::Policy(entry) => entry.on_tick(now),
        }
    }

    /// Sets whether a zone is evacuated.
    pub fn set_zone_evacuated(&mut self, zone: &name::Zone, evacuated: bool) {
        match self {
            Entry::Baseline(entry) => entry.set_zone_evacuated(zone, evacuated),
            Entry::Policy(entry) => entry.set_zone_evacuated(zone, evacuated),
        }
    }
}

/// Identifier of an attempt: unique over all entry processes.
pub fn attempt_id(entry: usize, count: u64) -> u64 {
    (entry as u64) << 40 | count
}

/// The entry process of an attempt.
pub fn entry_of(attempt: u64) -> usize {
    (attempt >> 40) as usize
}
