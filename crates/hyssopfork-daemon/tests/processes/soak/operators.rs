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
const IN_FORCE_MARGIN: Duration = Duration::from_millis(700);

/// How long a zone that is out is watched for new work.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);

/// The operators' desk.
pub struct Operators {
    first: operator::Operator,
    second: operator::Operator,
    services: Vec<Arc<service::Service>>,
    record: Rc<RefCell<record::Record>>,
    end: Instant,
    race_count: u64,
}

impl Operators {
    /// A desk for `fleet` until `end`.
    pub fn new(
        fleet: &fleet::Fleet,
        record: Rc<RefCell<record::Record>>,
        end: Instant,
    ) -> Operators {
        Operators {
            first: fleet.operator(),
            second: fleet.operator(),
            services: fleet.services.iter().map(|upstream| upstream.fake.clone()).collect(),
            record,
            end,
            race_count: 0,
        }
    }

    /// Takes zones out and back until the end; each change is raced by another operator.
    pub async fn run(mut self, mut random: ChaCha8Rng) {
        while Instant::now() < self.end {
            let place = random.random_range(1..fleet::ZONES.len());
            self.race_to_set_zone_out(place, true).await;
            actix_rt::time::sleep(timing::IN_FORCE_BOUND + IN_FORCE_MARGIN).await;
            let before = self.run_count(place);
            actix_rt::time::sleep(OBSERVATION_TIME).await;
            let after = self.run_count(place);
            if before != after {
                let fault = format!("{} ran {before}, then {after} while out", fleet::ZONES[place]);
                self.record.borrow_mut().violations.push(fault);
            }
            self.race_to_set_zone_out(place, false).await;
            actix_rt::time::sleep(Duration::from_millis(random.random_range(100..2_000))).await;
        }
    }

    fn run_count(&self, place: usize) -> u64 {
        self.services[place].ran().values().sum()
    }

    /// Both operators submit the same change against the same number: exactly one is accepted,
    /// the other is told what changed.
    async fn race_to_set_zone_out(&mut self, place: usize, out: bool) {
        self.race_count += 1;
        let base = self.first.status().await.view.configuration.number.0;
        let change = || vec![patch::Operation::SetZoneOut(fleet::ZONES[place].into(), out)];
        let names = [format!("race-{}-a", self.race_count), format!("race-{}-b", self.race_count)];
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
            record.violations.push(format!("two patches raced on {base}: {one:?} and {two:?}"));
        }
        if accepted(&one) != accepted(&resent) || (accepted(&one) && one != resent) {
            record.violations.push(format!("a resent patch got {resent:?} after {one:?}"));
        }
    }
}
