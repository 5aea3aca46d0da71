//! Operators who race each other, and take a zone out and back.

use super::record;
use crate::support::{fleet, operator};
use futures::future;
use hyssopfork_test_support::service;
use hyssopfork_wire::{patch, timing};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Added to the bound within which a change is in force, for a busy test machine.
const MARGIN: Duration = Duration::from_millis(700);

/// How long a zone that is out is watched for new work.
const LOOK: Duration = Duration::from_millis(800);

/// The operators' desk.
pub struct Desk {
    first: operator::Operator,
    second: operator::Operator,
    services: Vec<Arc<service::Service>>,
    record: Rc<RefCell<record::Record>>,
    end: Instant,
    races: u64,
}

impl Desk {
    /// A desk for `fleet` until `end`.
    pub fn new(fleet: &fleet::Fleet, record: Rc<RefCell<record::Record>>, end: Instant) -> Desk {
        Desk {
            first: fleet.operator(),
            second: fleet.operator(),
            services: fleet.services.iter().map(|upstream| upstream.fake.clone()).collect(),
            record,
            end,
            races: 0,
        }
    }

    /// Takes zones out and back until the end; each change is raced by another operator.
    pub async fn run(mut self, mut random: ChaCha8Rng) {
        while Instant::now() < self.end {
            let place = random.random_range(1..fleet::ZONES.len());
            self.set(place, true).await;
            actix_rt::time::sleep(timing::IN_FORCE_BOUND + MARGIN).await;
            let before = self.ran(place);
            actix_rt::time::sleep(LOOK).await;
            let after = self.ran(place);
            if before != after {
                let fault = format!("{} ran {before}, then {after} while out", fleet::ZONES[place]);
                self.record.borrow_mut().seen.push(fault);
            }
            self.set(place, false).await;
            actix_rt::time::sleep(Duration::from_millis(random.random_range(100..2_000))).await;
        }
    }

    fn ran(&self, place: usize) -> u64 {
        self.services[place].runs_by_reference().values().sum()
    }

    /// Both operators submit the same change against the same number: exactly one is accepted,
    /// the other is told what changed.
    async fn set(&mut self, place: usize, out: bool) {
        self.races += 1;
        let base = self.first.status().await.view.configuration.number.0;
        let change = || vec![patch::Operation::SetZoneOut(fleet::ZONES[place].into(), out)];
        let names = [format!("race-{}-a", self.races), format!("race-{}-b", self.races)];
        let (one, two) = future::join(
            self.first.submit(&names[0], base, change()),
            self.second.submit(&names[1], base, change()),
        )
        .await;
        let resent = self.first.submit(&names[0], base, change()).await;
        let mut record = self.record.borrow_mut();
        record.patches += 1;
        let accepted = |outcome: &patch::Outcome| matches!(outcome, patch::Outcome::Accepted(_));
        if accepted(&one) == accepted(&two) {
            record.seen.push(format!("two patches raced on {base}: {one:?} and {two:?}"));
        }
        if accepted(&one) != accepted(&resent) || (accepted(&one) && one != resent) {
            record.seen.push(format!("a resent patch got {resent:?} after {one:?}"));
        }
    }
}
