//! Simulated groups with too little capacity, whose clients differ in team and rank.
//!
//! Two groups have eight slots each. A request runs as long as the test says and begins 0.1 s after
//! it gets a slot; the objective is 0.3 s. Queued requests and their timeouts are simulated as well,
//! and a rejected client may return once, with the time that it has left.

use crate::fixture;
use hyssopfork_fleet::{declaration, view};
use hyssopfork_gateway::{action, arrival, core, event, load, settings};
use hyssopfork_wire::{clock, name};
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Time from the start to the first event.
const FIRST_EVENT_MS: u64 = 100;
const OBJECTIVE_MS: u64 = 300;
/// Offset of the entries' clock.
const EPOCH_MS: u64 = 1_000;

/// The fixture's declaration with three more teams: `urgent` of rank 0, `other` of rank 1 as the
/// fixture's, and `patient` of rank 6. Each has its name as key.
pub fn ranked_declaration() -> declaration::Declaration {
    let team = |name: &str, priority| declaration::Team {
        name: name::Team::from(name),
        keys: vec![name.to_owned()],
        priority,
    };
    let mut declaration = fixture::declaration();
    declaration.teams.extend([
        team("urgent", Some(0)),
        team("other", None),
        team("patient", Some(6)),
    ]);
    declaration
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The team, by its key.
    pub team: &'static str,
    /// Time that the request runs.
    pub run_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    work: Work,
    entry: usize,
    arrived_at: u64,
    is_return: bool,
}

#[derive(Default)]
struct Group {
    running: Vec<(u64, u64)>,
    waiting: VecDeque<u64>,
}

/// Results of a team's requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub on_time: u32,
    pub late: u32,
    /// Rejections, including those of clients that return.
    pub rejected: u32,
    /// Clients that were rejected for good.
    pub lost: u32,
    /// Clients that were served when they returned.
    pub returned: u32,
    /// Longest time from arrival to a rejection.
    pub max_rejection_ms: u64,
}

impl Outcome {
    /// Adds the results of another simulation.
    pub fn add(&mut self, other: &Outcome) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.rejected += other.rejected;
        self.lost += other.lost;
        self.returned += other.returned;
        self.max_rejection_ms = self.max_rejection_ms.max(other.max_rejection_ms);
    }

    /// Requests that were served.
    pub fn served(&self) -> u32 {
        self.on_time + self.late
    }

    /// Part of the requests that were served on time.
    pub fn ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from((self.on_time + self.late + self.lost).max(1))
    }
}

/// Entries, groups and clients.
pub struct Simulation {
    entries: Vec<core::Core>,
    groups: BTreeMap<name::Instance, Group>,
    requests: BTreeMap<u64, Sent>,
    queue_timeouts: BTreeSet<(u64, u64)>,
    returns: BTreeMap<u64, Vec<Sent>>,
    now: u64,
    count: u64,
    random: rand_chacha::ChaCha8Rng,
    /// Whether rejected clients return once.
    pub clients_return: bool,
    /// Time that clients wait.
    pub client_timeout_ms: u64,
    /// Requests that were queued.
    pub queued: u32,
    pub outcomes: BTreeMap<&'static str, Outcome>,
}

impl Simulation {
    /// This many entries with the view of two groups, and this declaration; `seed` decides which
    /// entry receives which request.
    pub fn new(entries: u32, seed: u64, declaration: declaration::Declaration) -> Simulation {
        let declaration = Arc::new(declaration);
        let start = |number| {
            let settings = settings::Settings {
                address: fixture::entry_address(number),
                zone: name::Zone::from("z1"),
                retry_ratio: 0.2,
                retry_extra: 100.0,
                retry_window: Duration::from_secs(10),
            };
            let mut core = core::Core::new(settings, u64::from(number), at(0));
            let update = view::Update { entries: fixture::entries(entries), ..fixture::view() };
            core.step(
                at(0),
                event::Event::ViewUpdated(Box::new(update), Some(declaration.clone())),
            );
            core
        };
        Simulation {
            entries: (0..entries).map(start).collect(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue_timeouts: BTreeSet::new(),
            returns: BTreeMap::new(),
            now: 0,
            count: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            clients_return: false,
            client_timeout_ms: 4_000,
            queued: 0,
            outcomes: BTreeMap::new(),
        }
    }

    /// Simulates until this time; `arrivals` returns the requests that arrive in a millisecond.
    pub fn run_until(&mut self, end: u64, mut arrivals: impl FnMut(u64) -> Vec<Work>) {
        while self.now < end {
            self.advance_groups();
            self.expire_queued();
            let returning = self.returns.remove(&self.now).unwrap_or_default();
            for work in arrivals(self.now) {
                let entry = self.random.random_range(0..self.entries.len());
                self.arrive(Sent { work, entry, arrived_at: self.now, is_return: false });
            }
            for sent in returning {
                self.arrive(sent);
            }
            if self.now.is_multiple_of(250) {
                (0..self.entries.len()).for_each(|entry| self.step(entry, event::Event::Tick));
            }
            self.now += 1;
        }
    }

    /// Outcome of a team.
    pub fn outcome(&self, team: &str) -> Outcome {
        self.outcomes.get(team).cloned().unwrap_or_default()
    }

    fn arrive(&mut self, sent: Sent) {
        self.count += 1;
        let left = (sent.arrived_at + self.client_timeout_ms).saturating_sub(self.now);
        let arrival = arrival::Arrival {
            key: Some(sent.work.team.to_owned()),
            timeout: Some(Duration::from_millis(left)),
            ..fixture::arrival("stream")
        };
        self.requests.insert(self.count, sent);
        self.step(sent.entry, event::Event::Arrived(self.count, Box::new(arrival)));
    }

    fn step(&mut self, entry: usize, event: event::Event) {
        for action in self.entries[entry].step(at(self.now), event) {
            if let action::Action::Decide(number, decision) = action {
                self.on_decision(number, decision);
            }
        }
    }

    fn on_decision(&mut self, number: u64, decision: action::Decision) {
        self.queue_timeouts.retain(|(_, queued)| *queued != number);
        match decision {
            action::Decision::Start(start) => {
                self.groups.entry(start.instance.clone()).or_default().waiting.push_back(number);
            }
            action::Decision::Queue(timeout) => {
                self.queued += 1;
                self.queue_timeouts.insert((self.now + timeout.as_millis() as u64, number));
            }
            action::Decision::Reject(rejection) => {
                let sent = self.requests.remove(&number).expect("the request is known");
                let outcome = self.outcomes.entry(sent.work.team).or_default();
                outcome.rejected += 1;
                if !sent.is_return {
                    let elapsed = self.now - sent.arrived_at;
                    outcome.max_rejection_ms = outcome.max_rejection_ms.max(elapsed);
                }
                let wait = rejection.retry_after.map_or(0, |wait| wait.as_millis() as u64);
                if sent.is_return || !self.clients_return {
                    outcome.lost += 1;
                } else {
                    let returned = Sent { is_return: true, ..sent };
                    self.returns.entry(self.now + wait.max(1)).or_default().push(returned);
                }
            }
            action::Decision::ForwardStream => {}
            other => panic!("{other:?}"),
        }
    }

    fn expire_queued(&mut self) {
        while let Some(&(time, number)) = self.queue_timeouts.first() {
            if time > self.now {
                return;
            }
            self.queue_timeouts.pop_first();
            let entry = self.requests[&number].entry;
            self.step(entry, event::Event::QueueTimeout(number));
        }
    }

    fn advance_groups(&mut self) {
        let instances: Vec<name::Instance> = self.groups.keys().cloned().collect();
        for instance in instances {
            let (requests, now) = (&self.requests, self.now);
            let Some(group) = self.groups.get_mut(&instance) else { continue };
            let has_ended =
                |(number, at): &mut (u64, u64)| *at + requests[number].work.run_ms <= now;
            let ended: Vec<u64> = group.running.extract_if(.., has_ended).map(|it| it.0).collect();
            while group.running.len() < fixture::SLOTS as usize {
                let Some(number) = group.waiting.pop_front() else { break };
                group.running.push((number, now));
            }
            let begun = group.running.iter().filter(|(_, at)| *at + FIRST_EVENT_MS == now);
            let begun: Vec<u64> = begun.map(|it| it.0).collect();
            let report = load::Report {
                running: group.running.len() as u32,
                waiting: group.waiting.len() as u32,
                slots: fixture::SLOTS,
            };
            for number in ended {
                let entry = self.requests[&number].entry;
                self.step(entry, event::Event::StreamCompleted(number));
            }
            for number in begun {
                let sent = self.requests[&number];
                let outcome = self.outcomes.entry(sent.work.team).or_default();
                let is_on_time = self.now - sent.arrived_at <= OBJECTIVE_MS;
                outcome.on_time += u32::from(is_on_time);
                outcome.late += u32::from(!is_on_time);
                outcome.returned += u32::from(sent.is_return);
                let head = event::Head { load: Some(report), ..event::Head::new(200) };
                self.step(sent.entry, event::Event::HeadReceived(number, head));
            }
        }
    }
}

fn at(millis: u64) -> clock::Instant {
    fixture::at(EPOCH_MS + millis)
}
