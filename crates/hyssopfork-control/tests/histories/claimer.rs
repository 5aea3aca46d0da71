//! Entries that claim a few shared keys, do the work, release keys, or crash in between.

use crate::histories::client;
use hyssopfork_wire::{attempt, claim, control, frame};
use rand::RngExt;

/// Response to a claim.
pub struct Told {
    pub sent: u64,
    pub at: u64,
    pub claim: claim::Claim,
    pub reply: claim::Reply,
}

/// An outcome that an attempt sent to be recorded.
pub struct Ended {
    pub sent: u64,
    pub key: claim::Key,
    pub attempt: attempt::Identifier,
    pub outcome: claim::Outcome,
}

pub struct Claimer {
    index: u64,
    count: u64,
    pub told: Vec<Told>,
    pub ended: Vec<Ended>,
    /// Request that is resent until it is answered.
    open: Option<control::Request>,
    waiting: bool,
}

pub fn new(index: u64) -> Claimer {
    Claimer { index, count: 0, told: Vec::new(), ended: Vec::new(), open: None, waiting: false }
}

impl Claimer {
    pub fn wake(
        &mut self,
        now: u64,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> (Vec<control::Request>, u64) {
        let again = random.random_range(1_000..60_000);
        if self.waiting {
            return (Vec::new(), again);
        }
        // The process crashes: its claim stays in progress.
        if random.random_bool(0.02) {
            self.open = None;
        }
        self.waiting = true;
        let request = match self.open.take() {
            Some(control::Request::Record(key, attempt, outcome)) => {
                let ended = Ended { sent: now, key, attempt, outcome };
                let request = control::Request::Record(
                    ended.key.clone(),
                    ended.attempt,
                    ended.outcome.clone(),
                );
                self.ended.push(ended);
                request
            }
            Some(open) => open,
            None => self.claim(random),
        };
        self.open = Some(request.clone());
        (vec![request], again)
    }

    pub fn answered(&mut self, now: u64, ask: client::Ask, response: Option<control::Response>) {
        self.waiting = false;
        match (ask.request, response) {
            (control::Request::Claim(claim), Some(control::Response::Claimed(reply))) => {
                let attempt = claim.attempt;
                let key = claim.key.clone();
                let granted = reply == claim::Reply::Granted;
                self.told.push(Told { sent: ask.sent, at: now, claim, reply });
                let outcome = outcome(attempt);
                self.open = granted.then_some(control::Request::Record(key, attempt, outcome));
            }
            (control::Request::Record(..), Some(control::Response::Recorded)) => self.open = None,
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
