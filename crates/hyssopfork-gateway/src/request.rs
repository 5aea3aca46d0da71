//! Requests of an entry.

use crate::{content, engine_model, selection, size, target};
use hyssopfork_fleet::{declaration, quarantine};
use hyssopfork_wire::{clock, configuration, name};
use std::time::Duration;

/// Pool and model of a request; no model for a plain service.
pub type Kind = (name::Pool, Option<name::Model>);

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Upstream.
    pub instance: name::Instance,
    /// Process and group that the request was sent to.
    pub incarnation: target::Incarnation,
    /// When the attempt started.
    pub started_at: clock::Instant,
    /// Estimated requests at the upstream when the attempt started.
    pub load_at_start: f64,
    /// Tokens that it counts for at the upstream.
    pub tokens: u64,
    /// Predicted time to the first event; `None` if none can be predicted.
    pub prediction: Option<engine_model::Prediction>,
    /// When the last bytes arrived.
    pub last_bytes_at: Option<clock::Instant>,
}

impl Attempt {
    /// Whether a response after `time` that missed the objective was predicted to do so: then it says
    /// nothing of the upstream.
    pub fn is_late_as_predicted(&self, time: Duration, objective: Duration) -> bool {
        let is_late = |predicted: &engine_model::Prediction| predicted.corrected > objective;
        time > objective && self.prediction.as_ref().is_some_and(is_late)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier that the client assigned.
    pub identifier: String,
    /// Route.
    pub route: name::Route,
    /// Team.
    pub team: Option<name::Team>,
    /// Host, path, query and body.
    pub content: content::Content,
    /// Pool of the upstreams.
    pub pool: name::Pool,
    /// Model.
    pub model: Option<name::Model>,
    /// Size in tokens; `None` if it is not known.
    pub size: Option<size::Size>,
    /// Tokens that it is expected to need; `None` if its size or the performance of the pool is not
    /// known.
    pub need: Option<engine_model::Need>,
    /// Priority of the team, or else of the route; 0 is the highest.
    pub rank: u32,
    /// Whether the work may run more than once.
    pub repetition: declaration::Repetition,
    /// Most upstreams that may run the request.
    pub max_attempts: u32,
    /// Target time to the first bytes of the response.
    pub objective: Duration,
    /// When the request arrived.
    pub arrived_at: clock::Instant,
    /// Time until which a response that begins meets the objective.
    pub on_time_until: clock::Instant,
    /// Whether the request was queued for lack of an upstream; this happens once at most.
    pub was_queued: bool,
    /// Time that the request waited for a place; `None` if it did not or still does.
    pub queue_time: Option<Duration>,
    /// Deadline.
    pub deadline: clock::Instant,
    /// Upstreams that may have run the request.
    pub possible_runs: u32,
    /// Attempts so far.
    pub attempt_count: u32,
    /// Upstreams that the request has been sent to.
    pub excluded: Vec<name::Instance>,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
    /// Whether the head of the response has been forwarded to the client.
    pub head_forwarded: bool,
    /// Last event that the client has received.
    pub last_event: Option<u64>,
    /// Observed time to the first event in multiples of the predicted one.
    pub first_event_ratio: Option<f64>,
    /// When the first bytes of the response arrived.
    pub first_bytes_at: Option<clock::Instant>,
}

impl Request {
    /// Pool and model.
    pub fn kind(&self) -> Kind {
        (self.pool.clone(), self.model.clone())
    }

    /// Fingerprint of the request, the same for each repetition.
    pub fn fingerprint(&self) -> quarantine::Fingerprint {
        self.content.fingerprint(self.team.as_ref())
    }

    /// Priority over other requests; `is_retry` if the request has been accepted before.
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
