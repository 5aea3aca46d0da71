//! Retry budget.

use crate::fixture::at;
use hyssopfork_gateway::fleet_limit::Members;
use hyssopfork_gateway::retry_budget::{Budget, Policy, Priority};
use hyssopfork_wire::clock;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Limits of the only entry, which has run for long.
const POLICY: Policy = Policy {
    retry_ratio: 0.2,
    retry_extra: 10.0,
    window: Duration::from_secs(10),
    entries: 1,
    rank: 0,
    accrued: 1.0,
};

fn granted_retries(budget: &mut Budget, millis: u64, policy: Policy, asked: u32) -> usize {
    let grants = (0..asked).filter(|_| {
        let grant = budget.try_grant(at(millis), policy, Priority::High);
        grant.is_some_and(|grant| {
            budget.use_grant(at(millis), policy, grant);
            true
        })
    });
    grants.count()
}

#[test]
fn retries_stay_below_a_share_of_the_requests_plus_an_extra() {
    let mut budget = Budget::new(at(0));
    (0..100).for_each(|_| budget.count_request(at(20_000), POLICY));

    let granted = granted_retries(&mut budget, 20_010, POLICY, 1_000);

    // At once: a bucket of 2, 0.1 of the share of the requests and half of the extra without the bucket.
    assert_eq!(granted, 8);
}

#[test]
fn retries_count_for_the_whole_window() {
    let mut budget = Budget::new(at(0));
    assert_eq!(granted_retries(&mut budget, 20_000, POLICY, 100), 4);
    assert_eq!(granted_retries(&mut budget, 29_000, POLICY, 100), 0);

    assert_eq!(granted_retries(&mut budget, 32_000, POLICY, 100), 4);
}

/// Guards against dividing the extra among more entries than it has retries.
#[test]
fn buckets_and_shares_of_all_entries_add_up_to_the_extra() {
    for entries in [1, 5, 8, 33, 160, 161, 380, 2_000] {
        let policies =
            (0..entries).map(|rank| Policy { retry_extra: 160.0, entries, rank, ..POLICY });

        let sum: f64 = policies.map(|it| it.max_tokens() + 2.0 * it.extra_share()).sum();

        assert!(sum <= 160.0 + 1e-9, "{sum} for {entries} entries");
        assert!(sum >= 159.0, "{sum} for {entries} entries");
    }
}

/// Guards against an entry that retries nothing until it has run for a window.
#[test]
fn a_process_that_has_just_started_spends_what_its_requests_earn() {
    let policy = Policy { accrued: 0.0, ..POLICY };
    let mut budget = Budget::new(at(0));

    let mut granted = 0;
    for tenth in 1..=90 {
        (0..5).for_each(|_| budget.count_request(at(tenth * 100), policy));
        granted += granted_retries(&mut budget, tenth * 100, policy, 10);
    }

    // 0.8 of the share of 450 requests.
    assert_eq!(granted, 72);
}

/// Guards against requests that will likely fail again taking what lost streams need.
#[test]
fn retries_of_low_priority_leave_half_of_a_burst_to_others() {
    let policy = Policy { retry_extra: 100.0, ..POLICY };
    let mut budget = Budget::new(at(0));

    let low = (0..100).filter(|_| budget.try_grant(at(20_000), policy, Priority::Low).is_some());

    // Of half of the extra without the bucket.
    assert_eq!(low.count(), 24);
    assert_eq!(granted_retries(&mut budget, 20_000, policy, 100), 24);
}

/// Guards against retries that are granted while no upstream serves and all sent later, in one window.
#[test]
fn a_granted_retry_counts_from_when_it_is_sent() {
    let mut budget = Budget::new(at(0));
    let grants: Vec<_> =
        (0..4).filter_map(|_| budget.try_grant(at(20_000), POLICY, Priority::High)).collect();
    for grant in grants {
        budget.use_grant(at(28_000), POLICY, grant);
    }

    assert_eq!(granted_retries(&mut budget, 31_000, POLICY, 100), 0);
}

#[test]
fn a_grant_that_is_returned_can_be_given_again() {
    let mut budget = Budget::new(at(0));
    for _ in 0..4 {
        let grant = budget.try_grant(at(20_000), POLICY, Priority::High).expect("it is granted");
        budget.return_grant(POLICY, grant);
    }

    assert_eq!(granted_retries(&mut budget, 20_000, POLICY, 100), 4);
}

const WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 160.0;

/// Length of a step of the simulated fleet, in milliseconds.
const STEP_MS: u64 = 100;

/// Steps between two watches of an entry.
const WATCH_STEPS: u64 = 4;

/// Steps without a watch after which the leader removes an entry.
const REMOVAL_STEPS: u64 = 30;

/// Steps from the kill of a process to its next start.
const RESTART_STEPS: u64 = 3;

/// Retries of a request that fails each time.
const MAX_RETRIES: usize = 10;

/// Simulated steps.
const STEPS: u64 = 450;

/// What happens to the fleet.
#[derive(Clone, Debug)]
enum Event {
    Kill(usize),
    KillAll,
    /// No watch is answered for this number of steps.
    CutOff(usize, u64),
    /// The process does nothing for this number of steps.
    Pause(usize, u64),
    /// The leader is lost; the next one begins after a second with the view of this entry.
    LoseLeader(usize),
    /// The entry is removed for good and its requests go to the others.
    Remove(usize),
    Add,
    /// Failures in ten requests.
    Fail(u8),
    /// Requests of all entries in a step.
    Load(u32),
}

/// Requests in a step; with few of them, most of the budget is the extra.
fn load() -> impl Strategy<Value = u32> {
    prop_oneof![1..6_u32, 6..60_u32]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..12_usize).prop_map(Event::Kill),
        4 => Just(Event::KillAll),
        2 => (0..12_usize, 5..80_u64).prop_map(|(index, steps)| Event::CutOff(index, steps)),
        1 => (0..12_usize, 5..60_u64).prop_map(|(index, steps)| Event::Pause(index, steps)),
        1 => (0..12_usize).prop_map(Event::LoseLeader),
        1 => (0..12_usize).prop_map(Event::Remove),
        1 => Just(Event::Add),
        1 => (0..=10_u8).prop_map(Event::Fail),
        1 => load().prop_map(Event::Load),
    ]
}

struct Process {
    members: Members,
    budget: Budget,
    /// View of the entries.
    view: BTreeSet<usize>,
}

/// Entries at a number of addresses, and the leader that lists them.
struct Fleet {
    step: u64,
    processes: BTreeMap<usize, Process>,
    /// Addresses of killed processes, with the step at which they start again.
    restarts: BTreeMap<usize, u64>,
    cut_off_until: BTreeMap<usize, u64>,
    paused_until: BTreeMap<usize, u64>,
    /// Entries that the leader lists, with the step of their last watch; `None` without a leader.
    listed: Option<BTreeMap<usize, u64>>,
    /// When the next leader begins, and the entries that it knows.
    next_leader: Option<(u64, BTreeSet<usize>)>,
    next_address: usize,
    failures_in_ten: u8,
    load: u32,
    run_count: usize,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    /// Processes that have run for a while without failures.
    fn new(count: usize, load: u32) -> Fleet {
        let mut fleet = Fleet {
            step: 0,
            processes: BTreeMap::new(),
            restarts: (0..count).map(|address| (address, 0)).collect(),
            cut_off_until: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            listed: Some(BTreeMap::new()),
            next_leader: None,
            next_address: count,
            failures_in_ten: 0,
            load,
            run_count: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        (0..200).for_each(|_| fleet.run_step());
        fleet.failures_in_ten = 10;
        fleet
    }

    fn now(&self) -> clock::Instant {
        at(self.step * STEP_MS)
    }

    fn address(&self, index: usize) -> Option<usize> {
        let count = self.processes.len();
        self.processes.keys().nth(index % count.max(1)).copied()
    }

    fn kill(&mut self, address: usize) {
        self.processes.remove(&address);
        self.restarts.insert(address, self.step + RESTART_STEPS);
    }

    fn apply(&mut self, event: &Event) {
        let step = self.step;
        match event {
            Event::KillAll => {
                let addresses: Vec<usize> = self.processes.keys().copied().collect();
                addresses.into_iter().for_each(|address| self.kill(address));
                self.listed = None;
                self.next_leader = Some((step + 10, BTreeSet::new()));
            }
            Event::Add => {
                self.restarts.insert(self.next_address, step);
                self.next_address += 1;
            }
            Event::Fail(failures) => self.failures_in_ten = *failures,
            Event::Load(load) => self.load = *load,
            Event::Kill(index)
            | Event::CutOff(index, _)
            | Event::Pause(index, _)
            | Event::LoseLeader(index)
            | Event::Remove(index) => {
                let Some(address) = self.address(*index) else { return };
                match event {
                    Event::Kill(_) => self.kill(address),
                    Event::CutOff(_, steps) => {
                        self.cut_off_until.insert(address, step + steps);
                    }
                    Event::Pause(_, steps) => {
                        self.paused_until.insert(address, step + steps);
                    }
                    Event::LoseLeader(_) => {
                        let known = self.processes[&address].view.clone();
                        self.listed = None;
                        self.next_leader = Some((step + 10, known));
                    }
                    _ => drop(self.processes.remove(&address)),
                }
            }
        }
    }

    fn run_step(&mut self) {
        let now = self.now();
        let started = self.restarts.extract_if(.., |_, due| *due <= self.step);
        let started: Vec<usize> = started.map(|(address, _)| address).collect();
        for address in started {
            let (members, budget) = (Members::new(now, WINDOW), Budget::new(now));
            self.processes.insert(address, Process { members, budget, view: BTreeSet::new() });
        }
        if let Some((_, known)) = self.next_leader.take_if(|(due, _)| *due <= self.step) {
            self.listed = Some(known.into_iter().map(|address| (address, self.step)).collect());
        }
        self.answer_watches();
        let addresses: Vec<usize> = self.processes.keys().copied().collect();
        for count in 0..self.load as usize {
            let Some(address) = addresses.get(count % addresses.len().max(1)) else { break };
            if self.paused_until.get(address).is_none_or(|until| *until <= self.step) {
                self.run_request(*address);
            }
        }
        self.step += 1;
    }

    fn answer_watches(&mut self) {
        let (now, step) = (self.now(), self.step);
        let Some(listed) = &mut self.listed else { return };
        let is_blocked = |blocks: &BTreeMap<usize, u64>, address: &usize| {
            blocks.get(address).is_some_and(|until| *until > step)
        };
        let watching: Vec<usize> = self
            .processes
            .keys()
            .filter(|address| (step + **address as u64).is_multiple_of(WATCH_STEPS))
            .filter(|address| !is_blocked(&self.cut_off_until, address))
            .filter(|address| !is_blocked(&self.paused_until, address))
            .copied()
            .collect();
        listed.extend(watching.iter().map(|address| (*address, step)));
        listed.retain(|_, last_watch| step - *last_watch < REMOVAL_STEPS);
        let view: BTreeSet<usize> = listed.keys().copied().collect();
        for address in watching {
            let process = self.processes.get_mut(&address).expect("it watches");
            process.members.on_view(now, now, view.len(), view.contains(&address));
            process.view = view.clone();
        }
    }

    /// Runs a request at the entry, with as many retries as are granted.
    fn run_request(&mut self, address: usize) {
        let now = self.now();
        let process = self.processes.get_mut(&address).expect("it runs");
        let policy = Policy::new(RETRY_RATIO, RETRY_EXTRA, WINDOW, &process.members, 0, now);
        process.budget.count_request(now, policy);
        self.requests.push(self.step);
        self.run_count += 7;
        if self.run_count % 10 >= usize::from(self.failures_in_ten) {
            return;
        }
        for _ in 0..MAX_RETRIES {
            let Some(grant) = process.budget.try_grant(now, policy, Priority::High) else { break };
            process.budget.use_grant(now, policy, grant);
            self.retries.push(self.step);
        }
    }

    /// Retries beyond the budget in the window in which most exceed it.
    fn worst_excess(&self) -> f64 {
        let length = WINDOW.as_millis() as u64 / STEP_MS;
        let within = |steps: &[u64], from: u64| {
            steps.partition_point(|it| *it < from + length) - steps.partition_point(|it| *it < from)
        };
        let excess = |from: &u64| {
            let starts = [*from, from.saturating_sub(length / 2), from.saturating_sub(length)];
            let requests = starts.iter().map(|from| within(&self.requests, *from)).max();
            let allowed = requests.unwrap_or(0) as f64 * RETRY_RATIO + RETRY_EXTRA;
            within(&self.retries, *from) as f64 - allowed
        };
        self.retries.iter().map(excess).fold(-RETRY_EXTRA, f64::max)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a budget that is exceeded by processes that start, stop, are cut off or know
    /// other entries than there are.
    #[test]
    fn retries_of_the_fleet_stay_within_the_budget(
        count in 1..12_usize,
        load in load(),
        events in prop::collection::vec((0..STEPS, event()), 0..60),
    ) {
        let mut fleet = Fleet::new(count, load);
        let start = fleet.step;
        while fleet.step < start + STEPS {
            let now = fleet.step - start;
            for (_, event) in events.iter().filter(|(step, _)| *step == now) {
                fleet.apply(event);
            }
            fleet.run_step();
        }

        let excess = fleet.worst_excess();

        prop_assert!(excess <= 0.0, "{excess} retries beyond the budget");
    }
}
