//! What entries tell the model to do, and what they hear from agents.

use crate::{baseline, policy, traffic};
use hyssopfork_wire::{clock, frame, name};
use std::time::Duration;

/// What an entry does.
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
    /// Refuses a request.
    Reject {
        /// The request.
        request: usize,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Tells the caller that its request failed.
    Fail(usize),
}

/// What an entry hears of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// The agent's load, ahead of an answer.
    LoadReport(frame::Load),
    /// The agent refused it: it did not run.
    Rejected(frame::Load),
    /// The answer began.
    Started,
    /// The answer ended.
    Completed,
    /// The upstream failed it.
    Failed,
}

/// Who decides in an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A plain proxy: round robin, no limits, first come first served, retries without a budget.
    Baseline,
    /// The policy package.
    Policy,
}

/// An entry.
#[derive(Clone, Debug)]
pub enum Entry {
    /// A plain proxy.
    Baseline(baseline::Entry),
    /// The policy package.
    Policy(Box<policy::Entry>),
}

impl Entry {
    /// An entry that knows `upstreams`, each with its zone.
    pub fn new(kind: Kind, index: usize, upstreams: &[name::Zone], seed: u64) -> Entry {
        match kind {
            Kind::Baseline => Entry::Baseline(baseline::Entry::new(index, upstreams)),
            Kind::Policy => Entry::Policy(Box::new(policy::Entry::new(index, upstreams, seed))),
        }
    }

    /// A request arrives.
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

    /// An agent replies.
    pub fn on_reply(&mut self, now: clock::Instant, attempt: u64, reply: Reply) -> Vec<Effect> {
        match self {
            Entry::Baseline(entry) => entry.on_reply(attempt, reply),
            Entry::Policy(entry) => entry.on_reply(now, attempt, reply),
        }
    }

    /// Time has passed.
    pub fn on_tick(&mut self, now: clock::Instant) -> Vec<Effect> {
        match self {
            Entry::Baseline(_) => Vec::new(),
            Entry::Policy(entry) => entry.on_tick(now),
        }
    }

    /// A zone is taken out or brought back.
    pub fn set_zone_evacuated(&mut self, zone: &name::Zone, evacuated: bool) {
        match self {
            Entry::Baseline(entry) => entry.set_zone_evacuated(zone, evacuated),
            Entry::Policy(entry) => entry.set_zone_evacuated(zone, evacuated),
        }
    }
}

/// Number of an attempt: unique over entries.
pub fn attempt_id(entry: usize, count: u64) -> u64 {
    (entry as u64) << 40 | count
}

/// The entry of an attempt.
pub fn entry_of(attempt: u64) -> usize {
    (attempt >> 40) as usize
}
