//! Requests of an entry.

use crate::{content, ending, engine_model, event, prompt, retry_budget, selection, size, target};
use hyssopfork_fleet::{declaration, quarantine};
use hyssopfork_wire::{clock, configuration, name};
use std::time::Duration;

/// A move away from an upstream that accepted the request and is not known to be gone.
#[derive(Clone, Debug)]
pub struct Interruption {
    /// The upstream.
    pub instance: name::Instance,
    /// Its process and group.
    pub incarnation: target::Incarnation,
    /// Whether the request waits until an upstream accepts it.
    pub is_waiting: bool,
}

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
    /// Host, path and query, and the body if it is small enough to be kept.
    pub content: content::Content,
    /// Length of the body in bytes.
    pub body_length: u64,
    /// Fingerprint of a request whose body is not kept.
    pub known_fingerprint: Option<quarantine::Fingerprint>,
    /// Whether the body was written to an upstream and is no longer at hand for another attempt.
    pub is_body_gone: bool,
    /// Pool of the upstreams.
    pub pool: name::Pool,
    /// Model.
    pub model: Option<name::Model>,
    /// Size in tokens; `None` if it is not known.
    pub size: Option<size::Size>,
    /// Parts of the prompt; empty if the client names none.
    pub prompt: prompt::Parts,
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
    /// Retry that was granted and has not been sent yet.
    pub retry_grant: Option<retry_budget::Grant>,
    /// Upstreams that the request has been sent to.
    pub excluded: Vec<name::Instance>,
    /// The attempt in flight.
    pub attempt: Option<Attempt>,
    /// Whether the head of the response has been forwarded to the client.
    pub head_forwarded: bool,
    /// Head of a large response that is forwarded as it arrives.
    pub large_response: Option<event::Head>,
    /// Last event that the client has received.
    pub last_event: Option<u64>,
    /// Observed time to the first event in multiples of the predicted one.
    pub first_event_ratio: Option<f64>,
    /// Set once the request has moved away from an upstream that may go on.
    pub interruption: Option<Interruption>,
    /// End of the last attempt that has ended.
    pub ending: Option<ending::Ending>,
    /// When the first bytes of the response arrived.
    pub first_bytes_at: Option<clock::Instant>,
}

impl Request {
    /// Pool and model.
    pub fn kind(&self) -> Kind {
        (self.pool.clone(), self.model.clone())
    }

    /// Time since the last bytes of the attempt in flight, or since its start.
    pub fn silence(&self, now: clock::Instant) -> Option<Duration> {
        let attempt = self.attempt.as_ref()?;
        Some(now.since(attempt.last_bytes_at.unwrap_or(attempt.started_at)))
    }

    /// Fingerprint of the request, the same for each repetition.
    pub fn fingerprint(&self) -> quarantine::Fingerprint {
        self.known_fingerprint.unwrap_or_else(|| self.content.fingerprint(self.team.as_ref()))
    }

    /// Records that an upstream may have received the body. A large one is not kept.
    pub fn on_body_sent(&mut self) {
        self.is_body_gone = self.known_fingerprint.is_some();
    }

    /// Whether the request may run again, as far as the work and the response allow it.
    pub fn may_run_again(&self) -> bool {
        self.repetition.may_repeat() && self.large_response.is_none() && !self.is_body_gone
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
