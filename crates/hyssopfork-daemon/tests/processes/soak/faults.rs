//! Fault injection: random temporary faults, up to `MAX_CONCURRENT_FAULTS` at a time.

use super::record;
use crate::support::{daemon, fleet};
use hyssopfork_test_support::fault_injection;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Concurrent faults.
const MAX_CONCURRENT_FAULTS: usize = 3;

/// Interval at which faults are injected and recovered.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which every control instance must have been up before one may lose its disk. With
/// another one down at the same time, accepted changes may be lost, which no log can prevent.
const MIN_CONTROL_UPTIME_BEFORE_DISK_LOSS: Duration = Duration::from_secs(6);

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Control(usize),
    Entry(usize),
    EngineAgent(usize),
    ServiceAgent(usize),
}

/// How a fault is recovered from.
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

/// Injects faults until `end`, then recovers from all of them.
pub async fn run(
    fleet: &mut fleet::Fleet,
    record: Rc<RefCell<record::Record>>,
    random: ChaCha8Rng,
    end: Instant,
) {
    let mut injector = Injector {
        fleet,
        record,
        random,
        pending_recoveries: Vec::new(),
        controls_up_since: Instant::now(),
    };
    while Instant::now() < end {
        injector.recover_due(Instant::now());
        if injector.pending_recoveries.len() < MAX_CONCURRENT_FAULTS
            && injector.random.random_bool(0.15)
        {
            injector.inject();
        }
        actix_rt::time::sleep(STEP_INTERVAL).await;
    }
    injector.recover_due(end + Duration::from_secs(3_600));
}

impl Injector<'_> {
    fn recover_due(&mut self, now: Instant) {
        let due: Vec<Recovery> = self
            .pending_recoveries
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, recovery)| *recovery)
            .collect();
        self.pending_recoveries.retain(|(at, _)| *at > now);
        due.into_iter().for_each(|recovery| self.recover(recovery));
    }

    fn recover(&mut self, recovery: Recovery) {
        match recovery {
            Recovery::Resume(process) => self.daemon(process).resume(),
            Recovery::Restart(process) => self.daemon(process).restart(),
            Recovery::HealEngine(index) => {
                self.fleet.engines[index].fake.inject(fault_injection::Command::Heal)
            }
            Recovery::HealService(index) => {
                self.fleet.services[index].fake.inject(fault_injection::Command::Heal)
            }
        }
        if matches!(
            recovery,
            Recovery::Resume(Process::Control(_)) | Recovery::Restart(Process::Control(_))
        ) {
            self.controls_up_since = Instant::now();
        }
    }

    fn daemon(&mut self, process: Process) -> &mut daemon::Daemon {
        match process {
            Process::Control(index) => &mut self.fleet.controls[index],
            Process::Entry(index) => &mut self.fleet.entries[index],
            Process::EngineAgent(index) => &mut self.fleet.engines[index].agent,
            Process::ServiceAgent(index) => &mut self.fleet.services[index].agent,
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

    fn schedule_recovery(&mut self, min_ms: u64, max_ms: u64, recovery: Recovery) {
        let wait = Duration::from_millis(self.random.random_range(min_ms..max_ms));
        self.pending_recoveries.push((Instant::now() + wait, recovery));
    }

    fn is_impaired(&self, process: Process) -> bool {
        self.pending_recoveries.iter().any(|(_, recovery)| match recovery {
            Recovery::Resume(other) | Recovery::Restart(other) => *other == process,
            Recovery::HealEngine(_) | Recovery::HealService(_) => false,
        })
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

    /// Impairs one control instance at a time, so that a quorum remains; it may also lose its disk.
    fn impair_control(&mut self) {
        let indices = 0..self.fleet.controls.len();
        if indices.clone().any(|index| self.is_impaired(Process::Control(index))) {
            return;
        }
        let index = self.random.random_range(indices);
        let may_lose_disk = self.controls_up_since.elapsed() > MIN_CONTROL_UPTIME_BEFORE_DISK_LOSS;
        if may_lose_disk && self.random.random_bool(0.4) {
            self.fleet.controls[index].kill();
            let folder = self.fleet.layout.folder.join(format!("control-{}", index + 1));
            fs::remove_dir_all(folder).unwrap();
            self.schedule_recovery(100, 2_000, Recovery::Restart(Process::Control(index)));
        } else {
            self.kill_or_pause(Process::Control(index));
        }
    }

    fn impair_engine(&mut self) {
        let index = self.random.random_range(0..self.fleet.engines.len());
        let order = self.random_impairment();
        if order == fault_injection::Command::Cold {
            *self.record.borrow_mut().unannounced_colds.entry(index).or_default() += 1;
        }
        self.fleet.engines[index].fake.inject(order);
        self.schedule_recovery(200, 1_500, Recovery::HealEngine(index));
    }

    fn impair_service(&mut self) {
        let index = self.random.random_range(0..self.fleet.services.len());
        let order = self.random_impairment();
        self.fleet.services[index].fake.inject(order);
        self.schedule_recovery(200, 1_500, Recovery::HealService(index));
    }

    fn random_impairment(&mut self) -> fault_injection::Command {
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
