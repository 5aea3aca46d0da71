//! Faults that come and go, up to a few at once.

use super::record;
use crate::support::{daemon, fleet};
use hyssopfork_test_support::impairment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Faults at once.
const MAX_CONCURRENT_FAULTS: usize = 3;

/// Time between two looks at what is due.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which every control instance must have been up before one may lose its disk: with
/// another one away at the same time, accepted changes may be lost, which no log can prevent.
const MIN_CONTROL_UPTIME_BEFORE_DISK_LOSS: Duration = Duration::from_secs(6);

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Control(usize),
    Entry(usize),
    EngineAgent(usize),
    ServiceAgent(usize),
}

/// How a fault ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    Resume(Process),
    Restart(Process),
    HealEngine(usize),
    HealService(usize),
}

struct Injector<'a> {
    fleet: &'a mut fleet::Fleet,
    record: Rc<RefCell<record::Record>>,
    random: ChaCha8Rng,
    pending_recoveries: Vec<(Instant, Recovery)>,
    controls_up_since: Instant,
}

/// Brings faults about until `end`, then ends them all.
pub async fn run(
    fleet: &mut fleet::Fleet,
    record: Rc<RefCell<record::Record>>,
    random: ChaCha8Rng,
    end: Instant,
) {
    let pending = Vec::new();
    let mut chaos = Injector {
        fleet,
        record,
        random,
        pending_recoveries: pending,
        controls_up_since: Instant::now(),
    };
    while Instant::now() < end {
        chaos.recover_due(Instant::now());
        if chaos.pending_recoveries.len() < MAX_CONCURRENT_FAULTS && chaos.random.random_bool(0.15)
        {
            chaos.inject();
        }
        actix_rt::time::sleep(STEP_INTERVAL).await;
    }
    chaos.recover_due(end + Duration::from_secs(3_600));
}

impl Injector<'_> {
    fn recover_due(&mut self, now: Instant) {
        let due: Vec<Recovery> = self
            .pending_recoveries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, end)| *end)
            .collect();
        self.pending_recoveries.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|end| self.recover(end));
    }

    fn recover(&mut self, end: Recovery) {
        match end {
            Recovery::Resume(process) => self.daemon(process).resume(),
            Recovery::Restart(process) => self.daemon(process).restart(),
            Recovery::HealEngine(place) => {
                self.fleet.engines[place].fake.impair(impairment::Order::Heal)
            }
            Recovery::HealService(place) => {
                self.fleet.services[place].fake.impair(impairment::Order::Heal)
            }
        }
        if matches!(
            end,
            Recovery::Resume(Process::Control(_)) | Recovery::Restart(Process::Control(_))
        ) {
            self.controls_up_since = Instant::now();
        }
    }

    fn daemon(&mut self, process: Process) -> &mut daemon::Daemon {
        match process {
            Process::Control(place) => &mut self.fleet.controls[place],
            Process::Entry(place) => &mut self.fleet.entries[place],
            Process::EngineAgent(place) => &mut self.fleet.engines[place].agent,
            Process::ServiceAgent(place) => &mut self.fleet.services[place].agent,
        }
    }

    fn inject(&mut self) {
        match self.random.random_range(0..10) {
            0..=2 => self.impair_process(),
            3 => self.impair_control(),
            4..=6 => self.impair_engine(),
            _ => self.impair_service(),
        }
    }

    fn schedule_recovery(&mut self, least: u64, most: u64, end: Recovery) {
        let wait = Duration::from_millis(self.random.random_range(least..most));
        self.pending_recoveries.push((Instant::now() + wait, end));
    }

    fn is_impaired(&self, process: Process) -> bool {
        let same = |end: &Recovery| matches!(end, Recovery::Resume(other) | Recovery::Restart(other) if *other == process);
        self.pending_recoveries.iter().any(|(_, end)| same(end))
    }

    fn impair_process(&mut self) {
        let process = match self.random.random_range(0..4) {
            0 => Process::Entry(self.random.random_range(0..self.fleet.entries.len())),
            1 | 2 => Process::EngineAgent(self.random.random_range(0..self.fleet.engines.len())),
            _ => Process::ServiceAgent(self.random.random_range(0..self.fleet.services.len())),
        };
        if !self.is_impaired(process) {
            self.kill_or_pause(process);
        }
    }

    fn kill_or_pause(&mut self, process: Process) {
        if self.random.random_bool(0.5) {
            self.daemon(process).kill();
            self.schedule_recovery(100, 3_000, Recovery::Restart(process));
        } else {
            self.daemon(process).pause();
            self.schedule_recovery(200, 4_000, Recovery::Resume(process));
        }
    }

    /// One control instance at a time, so that a quorum stays; its disk may be lost with it.
    fn impair_control(&mut self) {
        let places = 0..self.fleet.controls.len();
        if places.clone().any(|place| self.is_impaired(Process::Control(place))) {
            return;
        }
        let place = self.random.random_range(places);
        let calm = self.controls_up_since.elapsed() > MIN_CONTROL_UPTIME_BEFORE_DISK_LOSS;
        if calm && self.random.random_bool(0.4) {
            self.fleet.controls[place].kill();
            let folder = self.fleet.layout.folder.join(format!("control-{}", place + 1));
            fs::remove_dir_all(folder).unwrap();
            self.schedule_recovery(100, 2_000, Recovery::Restart(Process::Control(place)));
        } else {
            self.kill_or_pause(Process::Control(place));
        }
    }

    fn impair_engine(&mut self) {
        let place = self.random.random_range(0..self.fleet.engines.len());
        let order = self.random_impairment();
        match order {
            impairment::Order::Cold => {
                *self.record.borrow_mut().unannounced_colds.entry(place).or_default() += 1;
            }
            impairment::Order::Die(_) => {
                *self.record.borrow_mut().unannounced_restarts.entry(place).or_default() += 1;
            }
            _ => {}
        }
        self.fleet.engines[place].fake.impair(order);
        self.schedule_recovery(200, 1_500, Recovery::HealEngine(place));
    }

    fn impair_service(&mut self) {
        let place = self.random.random_range(0..self.fleet.services.len());
        let order = self.random_impairment();
        self.fleet.services[place].fake.impair(order);
        self.schedule_recovery(200, 1_500, Recovery::HealService(place));
    }

    fn random_impairment(&mut self) -> impairment::Order {
        match self.random.random_range(0..5) {
            0 => impairment::Order::Stall,
            1 => impairment::Order::Cold,
            2 => impairment::Order::Die(Duration::from_millis(self.random.random_range(50..1_500))),
            3 => impairment::Order::Cut(self.random.random_range(0..40)),
            _ => impairment::Order::Delay(Duration::from_millis(self.random.random_range(10..400))),
        }
    }
}
