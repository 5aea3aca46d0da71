//! Operators that race with equal base numbers and resend after lost responses.

use crate::histories::{client, world};
use crate::solo::fixture;
use hyssopfork_wire::{control, fleet, number, patch};
use rand::RngExt;

/// A patch and every outcome that was returned for it.
pub struct Submission {
    pub patch: patch::Patch,
    pub first_sent_at: u64,
    /// True time and outcome of each response.
    pub responses: Vec<(u64, patch::Outcome)>,
}

pub struct Operator {
    index: usize,
    pub submissions: Vec<Submission>,
    known_number: number::Configuration,
    waiting: bool,
    /// Index of the patch that has no outcome yet.
    undecided: Option<usize>,
}

pub fn new(index: usize) -> Operator {
    let known = number::Configuration(0);
    Operator {
        index,
        submissions: Vec::new(),
        known_number: known,
        waiting: false,
        undecided: None,
    }
}

impl Operator {
    pub fn wake(
        &mut self,
        now: u64,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> (Vec<control::Request>, u64) {
        let next_wake = random.random_range(1_000..40_000);
        if self.waiting {
            return (Vec::new(), next_wake);
        }
        self.waiting = true;
        let resend = !self.submissions.is_empty() && random.random_bool(0.3);
        let submission = match self.undecided {
            Some(undecided) => undecided,
            None if resend => random.random_range(0..self.submissions.len()),
            None => self.new_patch(now, random),
        };
        (vec![control::Request::Submit(self.submissions[submission].patch.clone())], next_wake)
    }

    pub fn on_response(
        &mut self,
        now: u64,
        call: client::Call,
        response: Option<control::Response>,
    ) {
        self.waiting = false;
        let Some(control::Response::Submitted(outcome)) = response else { return };
        let control::Request::Submit(patch) = call.request else { return };
        match &outcome {
            patch::Outcome::Accepted(number) => self.known_number = self.known_number.max(*number),
            patch::Outcome::Stale { current, .. } => {
                self.known_number = self.known_number.max(*current)
            }
            patch::Outcome::Invalid(_) | patch::Outcome::Reused => {}
        }
        let position = self.submissions.iter().position(|submission| submission.patch == patch);
        let position = position.expect("a response belongs to a submission");
        self.submissions[position].responses.push((now, outcome));
        self.undecided = self.undecided.filter(|undecided| *undecided != position);
    }

    fn new_patch(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) -> usize {
        let count = self.submissions.len();
        let operations = if self.known_number.0 == 0 || now >= world::FAULTS_END {
            vec![patch::Operation::Declare(Box::new(fixture::declaration()))]
        } else {
            vec![operation(random)]
        };
        let patch = patch::Patch {
            identifier: patch::Identifier(format!("o{}-{count}", self.index)),
            base: self.known_number,
            author: "desk".into(),
            operations,
        };
        self.submissions.push(Submission { patch, first_sent_at: now, responses: Vec::new() });
        self.undecided = Some(count);
        count
    }
}

fn operation(random: &mut rand_chacha::ChaCha8Rng) -> patch::Operation {
    let flag = random.random_bool(0.3);
    match random.random_range(0..6) {
        0 => patch::Operation::SetZoneOut("zone-a".into(), flag),
        1 => patch::Operation::SetZoneOut("nowhere".into(), flag),
        2 => patch::Operation::SetDrained("a1".into(), flag),
        3 => patch::Operation::PutGroup("g1".into(), fixture::group(1 + u32::from(flag))),
        4 if flag => patch::Operation::RemoveGroup("g1".into()),
        _ => patch::Operation::PutGroup("g2".into(), fixture::group(1)),
    }
}

/// Whether a placement is one of the final declaration.
pub fn is_final(placement: &fleet::Placement) -> bool {
    placement.members.len() == 2
}
