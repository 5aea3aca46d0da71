//! Entries that claim a few shared keys, do the work, release keys, or crash in between.

use crate::histories::client;
use hyssopfork_wire::{attempt, claim, control, frame};
use rand::RngExt;

/// Response to a claim.
pub struct Response {
    pub sent_at: u64,
    pub received_at: u64,
    pub claim: claim::Claim,
    pub reply: claim::Reply,
}

/// An outcome that an attempt sent to be recorded.
pub struct Record {
    pub sent_at: u64,
    pub key: claim::Key,
    pub attempt: attempt::Identifier,
    pub outcome: claim::Outcome,
}

pub struct Claimer {
    index: u64,
    count: u64,
    pub responses: Vec<Response>,
    pub records: Vec<Record>,
    /// Request that is resent until it is answered.
    unanswered: Option<control::Request>,
    waiting: bool,
}

pub fn new(index: u64) -> Claimer {
    Claimer {
        index,
        count: 0,
        responses: Vec::new(),
        records: Vec::new(),
        unanswered: None,
        waiting: false,
    }
}

impl Claimer {
    pub fn wake(
        &mut self,
        now: u64,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> (Vec<control::Request>, u64) {
        let next_wake = random.random_range(1_000..60_000);
        if self.waiting {
            return (Vec::new(), next_wake);
        }
        // The process crashes: its claim stays in progress.
        if random.random_bool(0.02) {
            self.unanswered = None;
        }
        self.waiting = true;
        let request = match self.unanswered.take() {
            Some(control::Request::Record(key, attempt, outcome)) => {
                let record = Record { sent_at: now, key, attempt, outcome };
                let request = control::Request::Record(
                    record.key.clone(),
                    record.attempt,
                    record.outcome.clone(),
                );
                self.records.push(record);
                request
            }
            Some(request) => request,
            None => self.claim(random),
        };
        self.unanswered = Some(request.clone());
        (vec![request], next_wake)
    }

    pub fn on_response(
        &mut self,
        now: u64,
        call: client::Call,
        response: Option<control::Response>,
    ) {
        self.waiting = false;
        match (call.request, response) {
            (control::Request::Claim(claim), Some(control::Response::Claimed(reply))) => {
                let attempt = claim.attempt;
                let key = claim.key.clone();
                let granted = reply == claim::Reply::Granted;
                self.responses.push(Response {
                    sent_at: call.sent_at,
                    received_at: now,
                    claim,
                    reply,
                });
                let outcome = outcome(attempt);
                self.unanswered =
                    granted.then_some(control::Request::Record(key, attempt, outcome));
            }
            (control::Request::Record(..), Some(control::Response::Recorded)) => {
                self.unanswered = None
            }
            _ => {}
        }
    }

    fn claim(&mut self, random: &mut rand_chacha::ChaCha8Rng) -> control::Request {
        self.count += 1;
        let attempt = attempt::Identifier { boot: self.index, count: self.count };
        let text = format!("k{}", random.random_range(0..60));
        let key = claim::Key { team: "team".into(), route: "lodge".into(), text };
        control::Request::Claim(claim::Claim { key, digest: [0; 32], attempt })
    }
}

/// Returns [`claim::Outcome::NotRun`] for a third of the attempts.
fn outcome(attempt: attempt::Identifier) -> claim::Outcome {
    if attempt.count.is_multiple_of(3) {
        return claim::Outcome::NotRun;
    }
    let head = frame::Head { status: 200, headers: Vec::new() };
    claim::Outcome::Answered { head, body: attempt.to_string().into_bytes() }
}
