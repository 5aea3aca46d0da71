//! Requests in this entry.

use crate::{arrival, event, measure};
use bytes::Bytes;
use hyssopfork_wire::{attempt, claim, clock, frame, name, refusal};

/// What the caller has got so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Nothing.
    Waiting,
    /// The head of the answer, and perhaps a part.
    Reading,
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
    Running,
    /// Its answer is being recorded.
    Recording,
    /// No work is to be done for it any more.
    Over,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Asked for; whether it is held isn't known.
    Asking,
    /// Asked for, but given up meanwhile: to be freed when it turns out to be held.
    Renouncing,
    /// Held.
    Held,
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
    pub hold: Hold,
    /// Call to control that is outstanding.
    pub call: Option<u64>,
    /// When to ask again.
    pub ask_at: clock::Instant,
}

/// A whole answer that waits for its recording.
#[derive(Clone, Debug)]
pub struct Answer {
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
    pub plan: arrival::Plan,
    /// When it arrived.
    pub arrived: clock::Instant,
    /// When its answer must have begun.
    pub deadline: clock::Instant,
    /// What is being done for it.
    pub phase: Phase,
    /// What the caller has got.
    pub caller: Caller,
    /// Its claim, where it is non-repeatable work with a key.
    pub claim: Option<Claim>,
    /// Identifier that the next attempt takes: the claim's, for the first.
    pub next: Option<attempt::Identifier>,
    /// Attempts in flight.
    pub attempts: Vec<attempt::Identifier>,
    /// Attempts offered so far.
    pub tries: u32,
    /// Instances that it was offered to since it last waited in the queue.
    pub excluded: Vec<name::Instance>,
    /// Rests that it took because no upstream would take it.
    pub rests: u32,
    /// Refusal of the attempt that ended last.
    pub last: Option<refusal::Refusal>,
    /// Whether an attempt that has ended may have run work.
    pub may_have_run: bool,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Events of the stream that the caller has whole, where the shell has told.
    pub delivered: Option<u64>,
    /// When the first attempt was offered.
    pub offered: Option<clock::Instant>,
    /// When the first part of the body came.
    pub begun: Option<clock::Instant>,
    /// Whole answer, while it is being recorded.
    pub answer: Option<Answer>,
}

impl Request {
    /// A request that arrived at `now`.
    pub fn new(now: clock::Instant, arrival: event::Arrival, plan: arrival::Plan) -> Request {
        Request {
            deadline: now + plan.deadline,
            arrival,
            plan,
            arrived: now,
            phase: Phase::Waiting,
            caller: Caller::Waiting,
            claim: None,
            next: None,
            attempts: Vec::new(),
            tries: 0,
            excluded: Vec::new(),
            rests: 0,
            last: None,
            may_have_run: false,
            streams: false,
            delivered: None,
            offered: None,
            begun: None,
            answer: None,
        }
    }

    /// Whether nothing is left to do, for the caller or for its claim.
    pub fn is_over(&self) -> bool {
        let settled = |claim: &Claim| claim.hold == Hold::Settled;
        self.caller == Caller::Done
            && self.attempts.is_empty()
            && self.claim.as_ref().is_none_or(settled)
    }

    /// Measurement of the request, which ended at `now`.
    pub fn measure(&self, now: clock::Instant, outcome: measure::Outcome) -> measure::Measure {
        let gaps = self.delivered.unwrap_or(0).saturating_sub(1);
        let gaps = u32::try_from(gaps).unwrap_or(u32::MAX);
        let between = self.begun.filter(|_| gaps > 0).map(|begun| now.since(begun) / gaps);
        measure::Measure {
            team: Some(self.plan.team.clone()),
            class: Some(self.plan.class),
            route: Some(self.plan.route.clone()),
            outcome,
            attempts: self.tries,
            wait: self.offered.unwrap_or(now).since(self.arrived),
            first: self.begun.map(|begun| begun.since(self.arrived)),
            between,
            whole: now.since(self.arrived),
        }
    }
}
