//! Two operators that submit conflicting changes while zones are taken out and brought in.

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

/// Margin on the bound within which a change is in force, for a busy test machine.
const IN_FORCE_MARGIN: Duration = Duration::from_millis(700);

/// Time for which a zone that is out is observed for new work.
const OBSERVATION_TIME: Duration = Duration::from_millis(800);

/// The two operators.
pub struct Operators {
    first: operator::Operator,
    second: operator::Operator,
    services: Vec<Arc<service::Service>>,
    record: Rc<RefCell<record::Record>>,
    end: Instant,
    race_count: u64,
}

impl Operators {
    /// Operators for `fleet` until `end`.
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

    /// Takes zones out and brings them in until the end; both operators submit each change.
    pub async fn run(mut self, mut random: ChaCha8Rng) {
        while Instant::now() < self.end {
            let index = random.random_range(1..fleet::ZONES.len());
            self.race_to_set_zone_out(index, true).await;
            actix_rt::time::sleep(timing::IN_FORCE_BOUND + IN_FORCE_MARGIN).await;
            let before = self.run_count(index);
            actix_rt::time::sleep(OBSERVATION_TIME).await;
            let after = self.run_count(index);
            if before != after {
                let violation =
                    format!("{} ran {before}, then {after} while out", fleet::ZONES[index]);
                self.record.borrow_mut().violations.push(violation);
            }
            self.race_to_set_zone_out(index, false).await;
            actix_rt::time::sleep(Duration::from_millis(random.random_range(100..2_000))).await;
        }
    }

    fn run_count(&self, index: usize) -> u64 {
        self.services[index].runs_by_reference().values().sum()
    }

    /// Both operators submit the same change based on the same number: exactly one is accepted, the
    /// other is stale.
    async fn race_to_set_zone_out(&mut self, index: usize, out: bool) {
        self.race_count += 1;
        let base = self.first.status().await.view.configuration.number.0;
        let change = || vec![patch::Operation::SetZoneOut(fleet::ZONES[index].into(), out)];
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
