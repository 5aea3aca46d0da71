//! Requests of an entry.

use crate::{choice, content, target};
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
    pub started: clock::Instant,
    /// Requests that the upstream was believed to have then.
    pub load: f64,
    /// When bytes last came.
    pub moved: Option<clock::Instant>,
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
    pub attempts: u32,
    /// Time to the answer within which it is on time.
    pub objective: Duration,
    /// When it arrived.
    pub arrived: clock::Instant,
    /// When its answer must have begun to be in time.
    pub due: clock::Instant,
    /// Whether it was queued once for lack of an upstream.
    pub held: bool,
    /// When its time is over.
    pub limit: clock::Instant,
    /// Upstreams that may have run it.
    pub runs: u32,
    /// Attempts made.
    pub tries: u32,
    /// Upstreams that it was sent to.
    pub excluded: Vec<name::Instance>,
    /// The attempt that is under way.
    pub attempt: Option<Attempt>,
    /// Whether the head of the answer has gone to the caller.
    pub forwarded: bool,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// When the first bytes came.
    pub begun: Option<clock::Instant>,
}

impl Request {
    /// Fingerprint of the work, the same for each repeat of it.
    pub fn fingerprint(&self) -> quarantine::Fingerprint {
        self.content.fingerprint(self.team.as_ref())
    }

    /// How it stands among others; `again` when it was accepted before.
    pub fn standing(&self, now: clock::Instant, again: bool) -> choice::Standing {
        if again {
            choice::Standing::Again
        } else if now < self.due {
            choice::Standing::InTime
        } else {
            choice::Standing::Late
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
