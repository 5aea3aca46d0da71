//! Requests of this entry.

use crate::{event, measurement, routing};
use bytes::Bytes;
use hyssopfork_wire::{attempt, claim, clock, frame, name, refusal};

/// What the client has received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Client {
    /// Nothing.
    Waiting,
    /// The head of the response, and possibly a part of the body.
    Receiving,
    /// The final response, or the client disconnected.
    ///
    /// Invariant: nothing is sent to the client any more.
    Done,
}

/// What is being done for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim is being requested.
    Claiming,
    /// It waits for an upstream, queued or backing off.
    Waiting,
    /// Attempts are in flight.
    InFlight,
    /// Its response is being recorded.
    Recording,
    /// No more work is done for it.
    Finished,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// Requested from control; whether it is granted is not known.
    Requested,
    /// Requested, but no longer needed: it is released if it turns out to be granted.
    Abandoned,
    /// Granted.
    Granted,
    /// The outcome is to be recorded.
    Recording(claim::Outcome),
    /// Nothing is left to do.
    Settled,
}

/// A claim of a request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Key of the work.
    pub key: claim::Key,
    /// Identifier of the claim: that of the first attempt.
    pub identifier: attempt::Identifier,
    /// State.
    pub state: ClaimState,
    /// Outstanding call to control.
    pub call: Option<u64>,
    /// When to call control next.
    pub next_call_at: clock::Instant,
}

/// A complete response that waits for its recording.
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
    /// The request as it arrived.
    pub arrival: event::Arrival,
    /// Its team, route and rules.
    pub routing: routing::Match,
    /// When it arrived.
    pub arrived_at: clock::Instant,
    /// When its response must have started.
    pub deadline: clock::Instant,
    /// What is being done for it.
    pub phase: Phase,
    /// What the client has received.
    pub client: Client,
    /// Its claim, for non-repeatable work with a key.
    pub claim: Option<Claim>,
    /// Identifier of the next attempt, if reserved: the first attempt takes that of the claim.
    pub next_identifier: Option<attempt::Identifier>,
    /// Attempts in flight.
    pub attempts: Vec<attempt::Identifier>,
    /// Number of attempts offered so far.
    pub attempt_count: u32,
    /// Instances that it was offered to since it was last queued.
    pub excluded: Vec<name::Instance>,
    /// Number of times that it backed off because no upstream accepted it.
    pub backoff_count: u32,
    /// Rejection of the attempt that ended last.
    pub last_rejection: Option<refusal::Refusal>,
    /// Whether an attempt that has ended may have run the work.
    pub may_have_run: bool,
    /// Whether the response is an event stream.
    pub is_stream: bool,
    /// Number of stream events that the client has received completely, if the shell has reported
    /// it.
    pub delivered_events: Option<u64>,
    /// When the first attempt was offered.
    pub first_offered_at: Option<clock::Instant>,
    /// When the first part of the body arrived.
    pub response_started_at: Option<clock::Instant>,
    /// Complete response, while it is being recorded.
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

    /// Whether nothing is left to do, for the client or for its claim.
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
