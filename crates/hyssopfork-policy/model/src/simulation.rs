//! The discrete-event run: callers, entries, agents and upstreams.

use crate::engine::{Engine, Fault, Job, Note};
use crate::entry::{self, Effect, Entry, Kind, Reply};
use crate::{figures, report, scenario, traffic};
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
    Patience(usize),
    Tick,
}

/// The agent in front of an upstream.
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
    out: BTreeSet<name::Zone>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    engines: Vec<Engine>,
    epochs: Vec<u64>,
    replies: Vec<Reply>,
    attempts: HashMap<u64, usize>,
    report: report::Report,
}

/// Name of the zone that an upstream stands in.
pub fn zone(index: usize) -> name::Zone {
    name::Zone::new(format!("zone-{}", index % figures::ZONES))
}

/// Runs a scenario.
pub fn run(scenario: &scenario::Scenario, kind: Kind, seed: u64) -> report::Report {
    let mut simulation = Simulation::new(scenario, kind, seed);
    simulation.schedule();
    simulation.drive();
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a scenario::Scenario, kind: Kind, seed: u64) -> Simulation<'a> {
        let zones: Vec<_> = (0..scenario.upstreams).map(zone).collect();
        let entries =
            (0..figures::ENTRIES).map(|index| Entry::new(kind, index, &zones, seed)).collect();
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
            out: BTreeSet::new(),
            entries,
            agents: vec![agent; scenario.upstreams],
            engines: vec![Engine::new(scenario.warm); scenario.upstreams],
            epochs: vec![0; scenario.upstreams],
            replies: Vec::new(),
            attempts: HashMap::new(),
        }
    }

    fn schedule(&mut self) {
        for index in 0..self.requests.len() {
            self.push(self.requests[index].at, Event::Arrive(index));
        }
        for index in 0..self.scenario.changes.len() {
            self.push(self.scenario.changes[index].0, Event::Change(index));
        }
        self.push(clock::Instant::ORIGIN, Event::Tick);
    }

    fn drive(&mut self) {
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
            Event::Arrive(request) => self.arrive(request),
            Event::Deliver { request, attempt, upstream } => {
                self.deliver(request, attempt, upstream);
            }
            Event::Cancel { attempt, upstream } => self.cancel(attempt, upstream),
            Event::Reply { attempt, index } => self.reply(attempt, index),
            Event::Wake { upstream, epoch } if epoch == self.epochs[upstream] => {
                self.wake(upstream);
                self.rearm(upstream);
            }
            Event::Wake { .. } => {}
            Event::Change(index) => self.change(index),
            Event::Patience(request) => self.lose_patience(request),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let entry = request % self.entries.len();
        if self.scenario.resend != scenario::Resend::Never {
            self.push(self.requests[request].deadline(), Event::Patience(request));
        }
        let effects = self.entries[entry].arrive(self.now, request, &self.requests[request]);
        self.apply(effects);
    }

    fn tick(&mut self) {
        for entry in 0..self.entries.len() {
            let effects = self.entries[entry].tick(self.now);
            self.apply(effects);
        }
        self.push(self.now + figures::TICK, Event::Tick);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let there = self.now + figures::HOP;
            match effect {
                Effect::Send { request, attempt, upstream } => {
                    self.push(there, Event::Deliver { request, attempt, upstream });
                }
                Effect::Cancel { attempt, upstream } => {
                    self.push(there, Event::Cancel { attempt, upstream });
                }
                Effect::Refuse { request, after } => self.refuse(request, after),
                Effect::Fail(request) => self.report.failed(self.now, request),
            }
        }
    }

    fn refuse(&mut self, request: usize, after: Option<Duration>) {
        self.report.refused(self.now, request);
        let after = match self.scenario.resend {
            scenario::Resend::Never => return,
            scenario::Resend::AsAsked => after.unwrap_or(scenario::IMPATIENT),
            scenario::Resend::AtOnce => scenario::IMPATIENT,
        };
        self.resend(request, after);
    }

    fn lose_patience(&mut self, request: usize) {
        if self.report.is_open(request) {
            self.resend(request, scenario::IMPATIENT);
        }
    }

    fn resend(&mut self, request: usize, after: Duration) {
        let mut again = self.requests[request].clone();
        if again.resends == scenario::RESENDS {
            return;
        }
        again.resends += 1;
        again.at = self.now + after;
        self.report.resent(request, &again);
        let at = again.at;
        self.requests.push(again);
        self.push(at, Event::Arrive(self.requests.len() - 1));
    }

    fn deliver(&mut self, request: usize, attempt: u64, upstream: usize) {
        self.wake(upstream);
        if self.kind == Kind::Ours && self.refuses(upstream) {
            self.report.bounced += 1;
            let load = self.load(upstream);
            self.respond(attempt, Reply::Refused(load));
            return self.rearm(upstream);
        }
        self.attempts.insert(attempt, request);
        self.report.ran(request, upstream, self.requests[request].repeatable);
        let asked = &self.requests[request];
        let job =
            Job { attempt, prefill: asked.prefill, decode: asked.decode, prefix: asked.prefix };
        self.agents[upstream].running.insert(attempt, (self.now, asked.cost));
        let load = self.load(upstream);
        self.respond(attempt, Reply::Loaded(load));
        let notes = self.engines[upstream].start(self.now, job);
        self.note(upstream, notes);
        self.rearm(upstream);
    }

    /// The agent's gate.
    fn refuses(&self, upstream: usize) -> bool {
        let agent = &self.agents[upstream];
        let full = agent.running.len() >= agent.slow_start.limit() as usize;
        let down = !self.engines[upstream].is_up(self.now);
        full || down || self.out.contains(&self.zones[upstream])
    }

    fn load(&self, upstream: usize) -> frame::Load {
        let agent = &self.agents[upstream];
        let closed = !self.engines[upstream].is_up(self.now);
        frame::Load {
            version: number::Version(0),
            running: agent.running.len() as u32,
            limit: if closed { 0 } else { agent.slow_start.limit() },
            warm: agent.slow_start.is_warm(),
        }
    }

    fn cancel(&mut self, attempt: u64, upstream: usize) {
        self.wake(upstream);
        self.engines[upstream].cancel(attempt);
        self.agents[upstream].running.remove(&attempt);
        self.rearm(upstream);
    }

    fn wake(&mut self, upstream: usize) {
        let notes = self.engines[upstream].wake(self.now);
        self.note(upstream, notes);
    }

    fn note(&mut self, upstream: usize, notes: Vec<Note>) {
        for note in notes {
            let (attempt, reply, outcome) = match note {
                Note::Begun(attempt) => (attempt, Reply::Begun, None),
                Note::Ended(attempt) => {
                    (attempt, Reply::Ended, Some(slow_start::Outcome::Completed))
                }
                Note::Failed(attempt) => {
                    (attempt, Reply::Failed, Some(slow_start::Outcome::Failed))
                }
            };
            if let Some(outcome) = outcome {
                let agent = &mut self.agents[upstream];
                if let Some((begun, cost)) = agent.running.remove(&attempt) {
                    agent.slow_start.on_request_ended(self.now, begun, cost, outcome);
                }
            }
            self.respond(attempt, reply);
        }
    }

    fn rearm(&mut self, upstream: usize) {
        self.epochs[upstream] += 1;
        if let Some(at) = self.engines[upstream].next() {
            self.push(at, Event::Wake { upstream, epoch: self.epochs[upstream] });
        }
    }

    fn respond(&mut self, attempt: u64, reply: Reply) {
        self.replies.push(reply);
        let index = self.replies.len() - 1;
        self.push(self.now + figures::HOP, Event::Reply { attempt, index });
    }

    fn reply(&mut self, attempt: u64, index: usize) {
        let reply = self.replies[index];
        if let Some(&request) = self.attempts.get(&attempt) {
            match reply {
                Reply::Begun => self.report.begun(self.now, request),
                Reply::Ended => self.report.ended(self.now, request),
                Reply::Loaded(_) | Reply::Refused(_) | Reply::Failed => {}
            }
        }
        let effects = self.entries[entry::of(attempt)].reply(self.now, attempt, reply);
        self.apply(effects);
    }

    fn change(&mut self, index: usize) {
        match self.scenario.changes[index].1 {
            scenario::Change::Fault(upstream, fault) => self.break_down(upstream, fault),
            scenario::Change::Restart(upstream) => self.restart(upstream),
            scenario::Change::ZoneOut(number) => self.set_zone(number, true),
            scenario::Change::ZoneBack(number) => self.set_zone(number, false),
        }
    }

    fn break_down(&mut self, upstream: usize, fault: Fault) {
        self.wake(upstream);
        self.engines[upstream].set_fault(fault);
        self.rearm(upstream);
    }

    fn restart(&mut self, upstream: usize) {
        self.wake(upstream);
        let notes = self.engines[upstream].restart();
        self.note(upstream, notes);
        self.rearm(upstream);
    }

    /// Takes a zone out, or brings it back with engines that were restarted meanwhile, as their
    /// agents are told.
    fn set_zone(&mut self, number: usize, out: bool) {
        let zone = zone(number);
        for entry in &mut self.entries {
            entry.zone(&zone, out);
        }
        if out {
            self.out.insert(zone);
            return;
        }
        self.out.remove(&zone);
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

    fn finish(mut self) -> report::Report {
        for (upstream, engine) in self.engines.iter_mut().enumerate() {
            let left = self.agents[upstream].running.keys().copied().collect::<Vec<_>>();
            for attempt in left {
                engine.cancel(attempt);
            }
            self.report.crashes += engine.crashes;
            self.report.hits.0 += engine.hits.0;
            self.report.hits.1 += engine.hits.1;
            for (attempt, units) in &engine.spent {
                if let Some(&request) = self.attempts.get(attempt) {
                    self.report.spent(request, *units);
                }
            }
        }
        self.report
    }
}

fn new_slow_start(warm: bool) -> slow_start::SlowStart {
    let full = figures::BATCH as u32;
    let mut slow_start = slow_start::SlowStart::new(clock::Instant::ORIGIN, full);
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

/// Time until an upstream that is cold at first has its full limit, when it always gets as much
/// work as the ramp lets through: the bound that the ramp alone gives.
pub fn slow_start_duration() -> Duration {
    let mut engine = Engine::new(false);
    let mut slow_start = slow_start::SlowStart::new(clock::Instant::ORIGIN, figures::BATCH as u32);
    let mut begun = HashMap::new();
    let (mut now, mut count) = (clock::Instant::ORIGIN, 0);
    while !slow_start.is_warm() {
        for note in engine.wake(now) {
            if let Note::Ended(attempt) = note {
                slow_start.on_request_ended(
                    now,
                    begun[&attempt],
                    50,
                    slow_start::Outcome::Completed,
                );
            }
        }
        while engine.load() < slow_start.limit() as usize {
            let (prompt, decode) = figures::SHORT;
            let prefill = prompt * figures::PREFILL;
            begun.insert(count, now);
            engine.start(now, Job { attempt: count, prefill, decode, prefix: None });
            count += 1;
        }
        now = engine.next().unwrap_or(now);
    }
    now.since(clock::Instant::ORIGIN)
}
