//! Operators that race with equal base numbers and resend after lost responses.

use crate::histories::{client, world};
use crate::solo::fixture;
use hyssopfork_wire::{control, fleet, number, patch};
use rand::RngExt;

/// A patch and every outcome that was returned for it.
pub struct Story {
    pub patch: patch::Patch,
    pub first_sent: u64,
    /// True time and outcome of each response.
    pub told: Vec<(u64, patch::Outcome)>,
}

pub struct Operator {
    index: usize,
    pub stories: Vec<Story>,
    known: number::Configuration,
    waiting: bool,
    /// Index of the patch that has no outcome yet.
    open: Option<usize>,
}

pub fn new(index: usize) -> Operator {
    let known = number::Configuration(0);
    Operator { index, stories: Vec::new(), known, waiting: false, open: None }
}

impl Operator {
    pub fn wake(
        &mut self,
        now: u64,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> (Vec<control::Request>, u64) {
        let again = random.random_range(1_000..40_000);
        if self.waiting {
            return (Vec::new(), again);
        }
        self.waiting = true;
        let resend = !self.stories.is_empty() && random.random_bool(0.3);
        let story = match self.open {
            Some(open) => open,
            None if resend => random.random_range(0..self.stories.len()),
            None => self.write(now, random),
        };
        (vec![control::Request::Submit(self.stories[story].patch.clone())], again)
    }

    pub fn answered(&mut self, now: u64, ask: client::Ask, response: Option<control::Response>) {
        self.waiting = false;
        let Some(control::Response::Submitted(outcome)) = response else { return };
        let control::Request::Submit(patch) = ask.request else { return };
        match &outcome {
            patch::Outcome::Accepted(number) => self.known = self.known.max(*number),
            patch::Outcome::Stale { current, .. } => self.known = self.known.max(*current),
            patch::Outcome::Invalid(_) | patch::Outcome::Reused => {}
        }
        let position = self.stories.iter().position(|story| story.patch == patch);
        let position = position.expect("an answer belongs to a story");
        self.stories[position].told.push((now, outcome));
        self.open = self.open.filter(|open| *open != position);
    }

    fn write(&mut self, now: u64, random: &mut rand_chacha::ChaCha8Rng) -> usize {
        let count = self.stories.len();
        let operations = if self.known.0 == 0 || now >= world::HEALED {
            vec![patch::Operation::Declare(Box::new(fixture::declaration()))]
        } else {
            vec![operation(random)]
        };
        let patch = patch::Patch {
            identifier: patch::Identifier(format!("o{}-{count}", self.index)),
            base: self.known,
            author: "desk".into(),
            operations,
        };
        self.stories.push(Story { patch, first_sent: now, told: Vec::new() });
        self.open = Some(count);
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
