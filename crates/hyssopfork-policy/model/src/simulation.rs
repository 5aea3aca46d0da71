//! Discrete-event simulation of clients, entry processes, agents and upstreams.

use crate::engine::{Engine, Fault, Job, Progress};
use crate::entry::{self, Effect, Entry, Kind, Reply};
use crate::{parameters, report, scenario, traffic};
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{clock, frame, name, number};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Deliver { request: usize, attempt: u64, upstream: usize },
    Cancel { attempt: u64, upstream: usize },
    Reply { attempt: u64, index: usize },
    Wake { upstream: usize, epoch: u64 },
    Change(usize),
    StartTimeout(usize),
    Tick,
}

/// The agent of an upstream.
#[derive(Clone, Debug)]
struct Agent {
    slow_start: slow_start::SlowStart,
    running: BTreeMap<u64, (clock::Instant, u32)>,
}

/// A run.
pub struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    kind: Kind,
    now: clock::Instant,
    events: BinaryHeap<Reverse<(clock::Instant, u64, Event)>>,
    sequence: u64,
    requests: Vec<traffic::Request>,
    zones: Vec<name::Zone>,
    evacuated_zones: BTreeSet<name::Zone>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    wake_epochs: Vec<u64>,
    replies: Vec<Reply>,
    attempts: HashMap<u64, usize>,
    report: report::Report,
}

/// Name of the zone of an upstream.
pub fn zone_of(index: usize) -> name::Zone {
    name::Zone::new(format!("zone-{}", index % parameters::ZONES))
}

/// Runs a scenario.
pub fn run(scenario: &scenario::Scenario, kind: Kind, seed: u64) -> report::Report {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.schedule_inputs();
    simulation.run_events();
    simulation.into_report()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a scenario::Scenario, kind: Kind, seed: u64) -> Simulation<'a> {
        let zones: Vec<_> = (0..scenario.upstreams).map(zone_of).collect();
        let entries =
            (0..parameters::ENTRIES).map(|index| Entry::new(kind, index, &zones, seed)).collect();
        let agent = Agent { slow_start: new_slow_start(scenario.warm), running: BTreeMap::new() };
        let requests = traffic::arrivals(&scenario.sources, seed);
        Simulation {
            scenario,
            kind,
            now: clock::Instant::ORIGIN,
            events: BinaryHeap::new(),
            sequence: 0,
            report: report::Report::new(scenario, &requests),
            requests,
            zones,
            evacuated_zones: BTreeSet::new(),
            entries,
            agents: vec![agent; scenario.upstreams],
            engines: vec![Engine::new(scenario.warm); scenario.upstreams],
            wake_epochs: vec![0; scenario.upstreams],
            replies: Vec::new(),
            attempts: HashMap::new(),
        }
    }

    fn schedule_inputs(&mut self) {
        for index in 0..self.requests.len() {
            self.push(self.requests[index].arrives_at, Event::Arrive(index));
        }
        for index in 0..self.scenario.changes.len() {
            self.push(self.scenario.changes[index].0, Event::Change(index));
        }
        self.push(clock::Instant::ORIGIN, Event::Tick);
    }

    fn run_events(&mut self) {
        let end = clock::Instant::ORIGIN + self.scenario.length + self.scenario.drain;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.on_arrival(request),
            Event::Deliver { request, attempt, upstream } => {
                self.on_deliver(request, attempt, upstream);
            }
            Event::Cancel { attempt, upstream } => self.on_cancel(attempt, upstream),
            Event::Reply { attempt, index } => self.on_reply(attempt, index),
            Event::Wake { upstream, epoch } if epoch == self.wake_epochs[upstream] => {
                self.advance(upstream);
                self.schedule_wake(upstream);
            }
            Event::Wake { .. } => {}
            Event::Change(index) => self.on_change(index),
            Event::StartTimeout(request) => self.on_start_timeout(request),
            Event::Tick => self.on_tick(),
        }
    }

    fn on_arrival(&mut self, request: usize) {
        let entry = request % self.entries.len();
        if self.scenario.resend != scenario::Resend::Never {
            self.push(self.requests[request].deadline(), Event::StartTimeout(request));
        }
        let effects = self.entries[entry].on_arrival(self.now, request, &self.requests[request]);
        self.apply(effects);
    }

    fn on_tick(&mut self) {
        for entry in 0..self.entries.len() {
            let effects = self.entries[entry].on_tick(self.now);
            self.apply(effects);
        }
        self.push(self.now + parameters::TICK_INTERVAL, Event::Tick);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let arrives_at = self.now + parameters::NETWORK_DELAY;
            match effect {
                Effect::Send { request, attempt, upstream } => {
                    self.push(arrives_at, Event::Deliver { request, attempt, upstream });
                }
                Effect::Cancel { attempt, upstream } => {
                    self.push(arrives_at, Event::Cancel { attempt, upstream });
                }
                Effect::Reject { request, retry_after } => self.on_rejected(request, retry_after),
                Effect::Fail(request) => self.report.on_failed(self.now, request),
            }
        }
    }

    fn on_rejected(&mut self, request: usize, retry_after: Option<Duration>) {
        self.report.on_rejected(self.now, request);
        let delay = match self.scenario.resend {
            scenario::Resend::Never => return,
            scenario::Resend::RetryAfter => retry_after.unwrap_or(scenario::RESEND_DELAY),
            scenario::Resend::Immediate => scenario::RESEND_DELAY,
        };
        self.resend(request, delay);
    }

    fn on_start_timeout(&mut self, request: usize) {
        if self.report.is_unanswered(request) {
            self.resend(request, scenario::RESEND_DELAY);
        }
    }

    fn resend(&mut self, request: usize, delay: Duration) {
        let mut resent = self.requests[request].clone();
        if resent.resend_count == scenario::MAX_RESENDS {
            return;
        }
        resent.resend_count += 1;
        resent.arrives_at = self.now + delay;
        self.report.on_resent(request, &resent);
        let at = resent.arrives_at;
        self.requests.push(resent);
        self.push(at, Event::Arrive(self.requests.len() - 1));
    }

    fn on_deliver(&mut self, request: usize, attempt: u64, upstream: usize) {
        self.advance(upstream);
        if self.kind == Kind::Policy && self.rejects(upstream) {
            self.report.agent_rejections += 1;
            let load = self.load_report(upstream);
            self.send_reply(attempt, Reply::Rejected(load));
            return self.schedule_wake(upstream);
        }
        self.attempts.insert(attempt, request);
        self.report.on_run(request, upstream, self.requests[request].repeatable);
        let arrival = &self.requests[request];
        let job = Job {
            attempt,
            prefill: arrival.prefill,
            decode: arrival.decode,
            prefix: arrival.prefix,
        };
        self.agents[upstream].running.insert(attempt, (self.now, arrival.cost));
        let load = self.load_report(upstream);
        self.send_reply(attempt, Reply::LoadReport(load));
        let progress = self.engines[upstream].on_request(self.now, job);
        self.on_progress(upstream, progress);
        self.schedule_wake(upstream);
    }

    /// Whether the agent rejects an attempt.
    fn rejects(&self, upstream: usize) -> bool {
        let agent = &self.agents[upstream];
        let is_full = agent.running.len() >= agent.slow_start.limit() as usize;
        let is_down = !self.engines[upstream].is_up(self.now);
        is_full || is_down || self.evacuated_zones.contains(&self.zones[upstream])
    }

    fn load_report(&self, upstream: usize) -> frame::Load {
        let agent = &self.agents[upstream];
        let is_down = !self.engines[upstream].is_up(self.now);
        frame::Load {
            version: number::Version(0),
            running: agent.running.len() as u32,
            limit: if is_down { 0 } else { agent.slow_start.limit() },
            warm: agent.slow_start.is_warm(),
        }
    }

    fn on_cancel(&mut self, attempt: u64, upstream: usize) {
        self.advance(upstream);
        self.engines[upstream].cancel(attempt);
        self.agents[upstream].running.remove(&attempt);
        self.schedule_wake(upstream);
    }

    fn advance(&mut self, upstream: usize) {
        let progress = self.engines[upstream].advance(self.now);
        self.on_progress(upstream, progress);
    }

    fn on_progress(&mut self, upstream: usize, events: Vec<Progress>) {
        for event in events {
            let (attempt, reply, outcome) = match event {
                Progress::Started(attempt) => (attempt, Reply::Started, None),
                Progress::Completed(attempt) => {
                    (attempt, Reply::Completed, Some(slow_start::Outcome::Completed))
                }
                Progress::Failed(attempt) => {
                    (attempt, Reply::Failed, Some(slow_start::Outcome::Failed))
                }
            };
            if let Some(outcome) = outcome {
                let agent = &mut self.agents[upstream];
                if let Some((started_at, cost)) = agent.running.remove(&attempt) {
                    agent.slow_start.on_request_ended(self.now, started_at, cost, outcome);
                }
            }
            self.send_reply(attempt, reply);
        }
    }

    fn schedule_wake(&mut self, upstream: usize) {
        self.wake_epochs[upstream] += 1;
        if let Some(at) = self.engines[upstream].next_milestone_at() {
            self.push(at, Event::Wake { upstream, epoch: self.wake_epochs[upstream] });
        }
    }

    fn send_reply(&mut self, attempt: u64, reply: Reply) {
        self.replies.push(reply);
        let index = self.replies.len() - 1;
        self.push(self.now + parameters::NETWORK_DELAY, Event::Reply { attempt, index });
    }

    fn on_reply(&mut self, attempt: u64, index: usize) {
        let reply = self.replies[index];
        if let Some(&request) = self.attempts.get(&attempt) {
            match reply {
                Reply::Started => self.report.on_started(self.now, request),
                Reply::Completed => self.report.on_ended(self.now, request),
                Reply::LoadReport(_) | Reply::Rejected(_) | Reply::Failed => {}
            }
        }
        let effects = self.entries[entry::entry_of(attempt)].on_reply(self.now, attempt, reply);
        self.apply(effects);
    }

    fn on_change(&mut self, index: usize) {
        match self.scenario.changes[index].1 {
            scenario::Change::Fault(upstream, fault) => self.set_fault(upstream, fault),
            scenario::Change::Restart(upstream) => self.restart(upstream),
            scenario::Change::ZoneEvacuated(number) => self.set_zone_evacuated(number, true),
            scenario::Change::ZoneRestored(number) => self.set_zone_evacuated(number, false),
        }
    }

    fn set_fault(&mut self, upstream: usize, fault: Fault) {
        self.advance(upstream);
        self.engines[upstream].set_fault(fault);
        self.schedule_wake(upstream);
    }

    fn restart(&mut self, upstream: usize) {
        self.advance(upstream);
        let progress = self.engines[upstream].restart();
        self.on_progress(upstream, progress);
        self.schedule_wake(upstream);
    }

    /// Evacuates a zone, or brings it back with restarted engines, of which the agents are
    /// informed.
    fn set_zone_evacuated(&mut self, number: usize, evacuated: bool) {
        let zone = zone_of(number);
        for entry in &mut self.entries {
            entry.set_zone_evacuated(&zone, evacuated);
        }
        if evacuated {
            self.evacuated_zones.insert(zone);
            return;
        }
        self.evacuated_zones.remove(&zone);
        for upstream in 0..self.engines.len() {
            if self.zones[upstream] == zone {
                self.restart(upstream);
                self.agents[upstream].slow_start.reset(self.now);
            }
        }
    }

    fn push(&mut self, at: clock::Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn into_report(mut self) -> report::Report {
        for (upstream, engine) in self.engines.iter_mut().enumerate() {
            let running = self.agents[upstream].running.keys().copied().collect::<Vec<_>>();
            for attempt in running {
                engine.cancel(attempt);
            }
            self.report.crashes += engine.crashes;
            self.report.cache_hits.0 += engine.cache_hits.0;
            self.report.cache_hits.1 += engine.cache_hits.1;
            for (attempt, tokens) in &engine.work_done {
                if let Some(&request) = self.attempts.get(attempt) {
                    self.report.add_tokens_spent(request, *tokens);
                }
            }
        }
        self.report
    }
}

fn new_slow_start(warm: bool) -> slow_start::SlowStart {
    let full_limit = parameters::BATCH_SIZE as u32;
    let mut slow_start = slow_start::SlowStart::new(clock::Instant::ORIGIN, full_limit);
    while warm && !slow_start.is_warm() {
        let origin = clock::Instant::ORIGIN;
        slow_start.on_request_ended(
            origin + Duration::from_secs(1),
            origin,
            50,
            slow_start::Outcome::Completed,
        );
    }
    slow_start
}

/// Time until an upstream that is cold at first has its full limit, if it always gets as many
/// requests as slow start allows: the bound that slow start alone sets.
pub fn slow_start_duration() -> Duration {
    let mut engine = Engine::new(false);
    let mut slow_start =
        slow_start::SlowStart::new(clock::Instant::ORIGIN, parameters::BATCH_SIZE as u32);
    let mut started = HashMap::new();
    let (mut now, mut count) = (clock::Instant::ORIGIN, 0);
    while !slow_start.is_warm() {
        for event in engine.advance(now) {
            if let Progress::Completed(attempt) = event {
                slow_start.on_request_ended(
                    now,
                    started[&attempt],
                    50,
                    slow_start::Outcome::Completed,
                );
            }
        }
        while engine.request_count() < slow_start.limit() as usize {
            let (prompt, decode) = parameters::SHORT_TOKENS;
            let prefill = prompt * parameters::PREFILL_COST;
            started.insert(count, now);
            engine.on_request(now, Job { attempt: count, prefill, decode, prefix: None });
            count += 1;
        }
        now = engine.next_milestone_at().unwrap_or(now);
    }
    now.since(clock::Instant::ORIGIN)
}
