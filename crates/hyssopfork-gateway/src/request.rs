//! Requests of an entry.

use crate::{content, selection, target};
use hyssopfork_fleet::{declaration, quarantine};
use hyssopfork_wire::{clock, configuration, name};
use std::time::Duration;

/// The attempt that is under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Upstream.
    pub instance: name::Instance,
    /// Process and group that the request was sent to.
    pub incarnation: target::Incarnation,
    /// When it was started.
    pub started_at: clock::Instant,
    /// Requests that the upstream was believed to have then.
    pub load_at_start: f64,
    /// When bytes last came.
    pub last_bytes_at: Option<clock::Instant>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's identifier of it.
    pub identifier: String,
    /// Route.
    pub route: name::Route,
    /// Team.
    pub team: Option<name::Team>,
    /// What it asks for.
    pub content: content::Content,
    /// Pool that does the work.
    pub pool: name::Pool,
    /// Model.
    pub model: Option<name::Model>,
    /// How often the work may run.
    pub repetition: declaration::Repetition,
    /// Upstreams that may run it, at most.
    pub max_attempts: u32,
    /// Time to the answer within which it is on time.
    pub objective: Duration,
    /// When it arrived.
    pub arrived_at: clock::Instant,
    /// When its answer must have begun to be in time.
    pub on_time_until: clock::Instant,
    /// Whether it was queued once for lack of an upstream.
    pub was_queued: bool,
    /// When its time is over.
    pub deadline: clock::Instant,
    /// Upstreams that may have run it.
    pub possible_runs: u32,
    /// Attempts made.
    pub attempt_count: u32,
    /// Upstreams that it was sent to.
    pub excluded: Vec<name::Instance>,
    /// The attempt that is under way.
    pub attempt: Option<Attempt>,
    /// Whether the head of the answer has gone to the caller.
    pub head_forwarded: bool,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// When the first bytes came.
    pub first_bytes_at: Option<clock::Instant>,
}

impl Request {
    /// Fingerprint of the work, the same for each repeat of it.
    pub fn fingerprint(&self) -> quarantine::Fingerprint {
        self.content.fingerprint(self.team.as_ref())
    }

    /// How it stands among others; `again` when it was accepted before.
    pub fn priority(&self, now: clock::Instant, is_retry: bool) -> selection::Priority {
        if is_retry {
            selection::Priority::Retry
        } else if now < self.on_time_until {
            selection::Priority::OnTime
        } else {
            selection::Priority::Late
        }
    }

    /// Class of the work, for metrics.
    pub fn class(&self) -> configuration::Class {
        match self.repetition {
            declaration::Repetition::Idempotent => configuration::Class::Status,
            declaration::Repetition::Once => configuration::Class::Interactive,
            declaration::Repetition::Resumable | declaration::Repetition::Stream => {
                configuration::Class::Batch
            }
        }
    }
}
