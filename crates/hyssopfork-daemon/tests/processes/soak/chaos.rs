//! Faults that come and go, up to a few at once.

use super::record;
use crate::support::{daemon, fleet};
use hyssopfork_test_support::fault_injection;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Faults at once.
const AT_ONCE: usize = 3;

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(50);

/// Time for which every control instance must have been up before one may lose its disk: with
/// another one away at the same time, accepted changes may be lost, which no log can prevent.
const CALM_BEFORE_LOSS: Duration = Duration::from_secs(6);

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
enum End {
    Resume(Process),
    Restart(Process),
    HealEngine(usize),
    HealService(usize),
}

struct Chaos<'a> {
    fleet: &'a mut fleet::Fleet,
    record: Rc<RefCell<record::Record>>,
    random: ChaCha8Rng,
    pending: Vec<(Instant, End)>,
    control_calm_since: Instant,
}

/// Brings faults about until `end`, then ends them all.
pub async fn run(
    fleet: &mut fleet::Fleet,
    record: Rc<RefCell<record::Record>>,
    random: ChaCha8Rng,
    end: Instant,
) {
    let pending = Vec::new();
    let mut chaos = Chaos { fleet, record, random, pending, control_calm_since: Instant::now() };
    while Instant::now() < end {
        chaos.end_due(Instant::now());
        if chaos.pending.len() < AT_ONCE && chaos.random.random_bool(0.15) {
            chaos.begin();
        }
        actix_rt::time::sleep(STEP).await;
    }
    chaos.end_due(end + Duration::from_secs(3_600));
}

impl Chaos<'_> {
    fn end_due(&mut self, now: Instant) {
        let due: Vec<End> =
            self.pending.iter().filter(|(at, _)| *at <= now).map(|(_, end)| *end).collect();
        self.pending.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|end| self.end(end));
    }

    fn end(&mut self, end: End) {
        match end {
            End::Resume(process) => self.daemon(process).resume(),
            End::Restart(process) => self.daemon(process).restart(),
            End::HealEngine(place) => {
                self.fleet.engines[place].fake.inject(fault_injection::Command::Heal)
            }
            End::HealService(place) => {
                self.fleet.services[place].fake.inject(fault_injection::Command::Heal)
            }
        }
        if matches!(end, End::Resume(Process::Control(_)) | End::Restart(Process::Control(_))) {
            self.control_calm_since = Instant::now();
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

    fn begin(&mut self) {
        match self.random.random_range(0..10) {
            0..=2 => self.impair_process(),
            3 => self.impair_control(),
            4..=6 => self.impair_engine(),
            _ => self.impair_service(),
        }
    }

    fn later(&mut self, least: u64, most: u64, end: End) {
        let wait = Duration::from_millis(self.random.random_range(least..most));
        self.pending.push((Instant::now() + wait, end));
    }

    fn is_impaired(&self, process: Process) -> bool {
        let same = |end: &End| matches!(end, End::Resume(other) | End::Restart(other) if *other == process);
        self.pending.iter().any(|(_, end)| same(end))
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
            self.later(100, 3_000, End::Restart(process));
        } else {
            self.daemon(process).pause();
            self.later(200, 4_000, End::Resume(process));
        }
    }

    /// One control instance at a time, so that a quorum stays; its disk may be lost with it.
    fn impair_control(&mut self) {
        let places = 0..self.fleet.controls.len();
        if places.clone().any(|place| self.is_impaired(Process::Control(place))) {
            return;
        }
        let place = self.random.random_range(places);
        let calm = self.control_calm_since.elapsed() > CALM_BEFORE_LOSS;
        if calm && self.random.random_bool(0.4) {
            self.fleet.controls[place].kill();
            let folder = self.fleet.layout.folder.join(format!("control-{}", place + 1));
            fs::remove_dir_all(folder).unwrap();
            self.later(100, 2_000, End::Restart(Process::Control(place)));
        } else {
            self.kill_or_pause(Process::Control(place));
        }
    }

    fn impair_engine(&mut self) {
        let place = self.random.random_range(0..self.fleet.engines.len());
        let order = self.order();
        match order {
            fault_injection::Command::Cold => {
                *self.record.borrow_mut().silent_colds.entry(place).or_default() += 1;
            }
            fault_injection::Command::Die(_) => {
                *self.record.borrow_mut().silent_restarts.entry(place).or_default() += 1;
            }
            _ => {}
        }
        self.fleet.engines[place].fake.inject(order);
        self.later(200, 1_500, End::HealEngine(place));
    }

    fn impair_service(&mut self) {
        let place = self.random.random_range(0..self.fleet.services.len());
        let order = self.order();
        self.fleet.services[place].fake.inject(order);
        self.later(200, 1_500, End::HealService(place));
    }

    fn order(&mut self) -> fault_injection::Command {
        match self.random.random_range(0..5) {
            0 => fault_injection::Command::Stall,
            1 => fault_injection::Command::Cold,
            2 => fault_injection::Command::Die(Duration::from_millis(
                self.random.random_range(50..1_500),
            )),
            3 => fault_injection::Command::Cut(self.random.random_range(0..40)),
            _ => fault_injection::Command::Delay(Duration::from_millis(
                self.random.random_range(10..400),
            )),
        }
    }
}
