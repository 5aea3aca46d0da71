//! Requests in this entry.

use crate::{event, measurement, routing};
use bytes::Bytes;
use hyssopfork_wire::{attempt, claim, clock, frame, name, refusal};

/// What the caller has got so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Client {
    /// Nothing.
    Waiting,
    /// The head of the answer, and perhaps a part.
    Receiving,
    /// Its final answer, or it went away.
    ///
    /// Invariant: nothing is sent to the caller any more.
    Done,
}

/// What is being done for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim is being asked for.
    Claiming,
    /// It waits for an upstream.
    Waiting,
    /// Attempts are in flight.
    InFlight,
    /// Its answer is being recorded.
    Recording,
    /// No work is to be done for it any more.
    Finished,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Asked for; whether it is held isn't known.
    Requested,
    /// Asked for, but given up meanwhile: to be freed when it turns out to be held.
    Abandoned,
    /// Held.
    Granted,
    /// The outcome is to be recorded.
    Recording(claim::Outcome),
    /// Nothing is left to do.
    Settled,
}

/// A claim of a request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The work.
    pub key: claim::Key,
    /// Identifier of the claim: the first attempt's.
    pub identifier: attempt::Identifier,
    /// State.
    pub state: ClaimState,
    /// Call to control that is outstanding.
    pub call: Option<u64>,
    /// When to ask again.
    pub next_call_at: clock::Instant,
}

/// A whole answer that waits for its recording.
#[derive(Clone, Debug)]
pub struct Response {
    /// Head.
    pub head: frame::Head,
    /// Body.
    pub body: Bytes,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    /// What was asked.
    pub arrival: event::Arrival,
    /// How it is to be treated.
    pub routing: routing::Match,
    /// When it arrived.
    pub arrived_at: clock::Instant,
    /// When its answer must have begun.
    pub deadline: clock::Instant,
    /// What is being done for it.
    pub phase: Phase,
    /// What the caller has got.
    pub client: Client,
    /// Its claim, where it is non-repeatable work with a key.
    pub claim: Option<Claim>,
    /// Identifier that the next attempt takes: the claim's, for the first.
    pub next_identifier: Option<attempt::Identifier>,
    /// Attempts in flight.
    pub attempts: Vec<attempt::Identifier>,
    /// Attempts offered so far.
    pub attempt_count: u32,
    /// Instances that it was offered to since it last waited in the queue.
    pub excluded: Vec<name::Instance>,
    /// Rests that it took because no upstream would take it.
    pub backoff_count: u32,
    /// Refusal of the attempt that ended last.
    pub last_rejection: Option<refusal::Refusal>,
    /// Whether an attempt that has ended may have run work.
    pub may_have_run: bool,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Events of the stream that the caller has whole, where the shell has told.
    pub delivered_events: Option<u64>,
    /// When the first attempt was offered.
    pub first_offered_at: Option<clock::Instant>,
    /// When the first part of the body came.
    pub response_started_at: Option<clock::Instant>,
    /// Whole answer, while it is being recorded.
    pub response: Option<Response>,
}

impl Request {
    /// A request that arrived at `now`.
    pub fn new(now: clock::Instant, arrival: event::Arrival, routing: routing::Match) -> Request {
        Request {
            deadline: now + routing.deadline,
            arrival,
            routing,
            arrived_at: now,
            phase: Phase::Waiting,
            client: Client::Waiting,
            claim: None,
            next_identifier: None,
            attempts: Vec::new(),
            attempt_count: 0,
            excluded: Vec::new(),
            backoff_count: 0,
            last_rejection: None,
            may_have_run: false,
            is_stream: false,
            delivered_events: None,
            first_offered_at: None,
            response_started_at: None,
            response: None,
        }
    }

    /// Whether nothing is left to do, for the caller or for its claim.
    pub fn is_finished(&self) -> bool {
        let is_settled = |claim: &Claim| claim.state == ClaimState::Settled;
        self.client == Client::Done
            && self.attempts.is_empty()
            && self.claim.as_ref().is_none_or(is_settled)
    }

    /// Measurement of the request, which ended at `now`.
    pub fn measure(
        &self,
        now: clock::Instant,
        outcome: measurement::Outcome,
    ) -> measurement::Measurement {
        let intervals = self.delivered_events.unwrap_or(0).saturating_sub(1);
        let intervals = u32::try_from(intervals).unwrap_or(u32::MAX);
        let mean_event_interval = self
            .response_started_at
            .filter(|_| intervals > 0)
            .map(|started_at| now.since(started_at) / intervals);
        measurement::Measurement {
            team: Some(self.routing.team.clone()),
            class: Some(self.routing.class),
            route: Some(self.routing.route.clone()),
            outcome,
            attempts: self.attempt_count,
            wait_time: self.first_offered_at.unwrap_or(now).since(self.arrived_at),
            time_to_first_byte: self
                .response_started_at
                .map(|started_at| started_at.since(self.arrived_at)),
            mean_event_interval,
            total_time: now.since(self.arrived_at),
        }
    }
}
