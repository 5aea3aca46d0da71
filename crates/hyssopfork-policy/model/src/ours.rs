//! An entry that decides by the policy package, wired as the entry's role wires it.

use crate::entry::{self, Effect, Reply};
use crate::{figures, traffic};
use hyssopfork_policy::{choice, hedge, queue, random, retry};
use hyssopfork_wire::{attempt, clock, configuration, frame, name, refusal};
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug)]
struct Live {
    item: queue::Item,
    prefix: Option<u64>,
    repeatable: bool,
    /// When it was first sent.
    sent: Option<clock::Instant>,
    begun: bool,
    attempts: Vec<u64>,
    tried: Vec<name::Instance>,
}

/// An entry.
#[derive(Clone, Debug)]
pub struct Entry {
    index: usize,
    zone: name::Zone,
    queue: queue::Queue,
    chooser: choice::Chooser,
    budget: retry::Budget,
    hedges: BTreeMap<configuration::Class, hedge::Hedge>,
    live: BTreeMap<usize, Live>,
    attempts: HashMap<u64, (usize, name::Instance)>,
    count: u64,
    random: u64,
}

/// Name of an upstream's instance.
pub fn instance(index: usize) -> name::Instance {
    name::Instance::new(format!("runner-{index:03}"))
}

fn index_of(instance: &name::Instance) -> usize {
    let digits = instance.as_str().trim_start_matches("runner-");
    digits.parse().expect("instances of the model are named by `instance`")
}

fn identifier(attempt: u64) -> attempt::Identifier {
    attempt::Identifier { boot: 0, count: attempt }
}

impl Entry {
    /// An entry that knows `zones`, the zone of each upstream.
    pub fn new(index: usize, zones: &[name::Zone], seed: u64) -> Entry {
        let mut chooser = choice::Chooser::default();
        for (upstream, zone) in zones.iter().enumerate() {
            let concurrency = figures::BATCH as u32;
            let upstream =
                choice::Upstream { instance: instance(upstream), zone: zone.clone(), concurrency };
            chooser.insert(clock::Instant::ORIGIN, upstream);
        }
        Entry {
            index,
            zone: zones[index % zones.len()].clone(),
            queue: queue::Queue::default(),
            chooser,
            budget: retry::Budget::default(),
            hedges: BTreeMap::new(),
            live: BTreeMap::new(),
            attempts: HashMap::new(),
            count: 0,
            random: random::mix(seed, index as u64),
        }
    }

    /// A request arrives.
    pub fn arrive(
        &mut self,
        now: clock::Instant,
        id: usize,
        request: &traffic::Request,
    ) -> Vec<Effect> {
        let item = queue::Item {
            request: id as u64,
            team: request.team.clone(),
            class: request.class,
            cost: request.cost,
            deadline: request.deadline(),
        };
        let random = self.random();
        if let queue::Admission::Rejected(refusal) = self.queue.enqueue(now, item.clone(), random) {
            return vec![Effect::Refuse { request: id, after: refusal.retry_after }];
        }
        let live = Live {
            item,
            prefix: request.prefix,
            repeatable: request.repeatable,
            sent: None,
            begun: false,
            attempts: Vec::new(),
            tried: Vec::new(),
        };
        self.live.insert(id, live);
        self.pump(now)
    }

    /// An agent replies.
    pub fn reply(&mut self, now: clock::Instant, attempt: u64, reply: Reply) -> Vec<Effect> {
        let Some((request, instance)) = self.attempts.get(&attempt).cloned() else {
            return Vec::new();
        };
        let mut effects = match reply {
            Reply::Loaded(load) => {
                self.chooser.on_load_report(now, &instance, load);
                Vec::new()
            }
            Reply::Refused(load) => self.refused(now, attempt, request, &instance, load),
            Reply::Begun => self.begun(now, attempt, request),
            Reply::Ended => self.ended(now, attempt, request),
            Reply::Failed => self.failed(now, attempt, request),
        };
        effects.extend(self.pump(now));
        effects
    }

    /// Time has passed.
    pub fn tick(&mut self, now: clock::Instant) -> Vec<Effect> {
        let mut effects = self.give_up(now);
        effects.extend(self.hedge(now));
        effects.extend(self.pump(now));
        effects
    }

    /// A zone is taken out or brought back.
    pub fn zone(&mut self, zone: &name::Zone, out: bool) {
        self.chooser.set_zone_evacuated(zone, out);
    }

    fn pump(&mut self, now: clock::Instant) -> Vec<Effect> {
        let random = self.random();
        let batch = self.queue.dispatch(now, self.chooser.capacity(now), random);
        let mut effects = Vec::new();
        for expired in batch.expired {
            let request = expired.item.request as usize;
            self.live.remove(&request);
            effects.push(Effect::Refuse { request, after: expired.rejection.retry_after });
        }
        for item in batch.ready {
            let request = item.request as usize;
            if self.live[&request].sent.is_none() {
                self.budget.on_first_attempt();
            }
            match self.send(now, request) {
                Some(effect) => effects.push(effect),
                None => self.queue.requeue(now, item),
            }
        }
        effects
    }

    /// Sends one more attempt of a request; `None` when no upstream has room.
    fn send(&mut self, now: clock::Instant, request: usize) -> Option<Effect> {
        let random = self.random();
        let live = self.live.get_mut(&request)?;
        let want =
            choice::Criteria { zone: &self.zone, prefix: live.prefix, excluded: &live.tried };
        let instance = self.chooser.pick(now, want, random)?;
        self.count += 1;
        let attempt = entry::attempt(self.index, self.count);
        self.chooser.on_attempt_sent(now, &instance, identifier(attempt), live.item.cost);
        live.sent.get_or_insert(now);
        live.attempts.push(attempt);
        let upstream = index_of(&instance);
        self.attempts.insert(attempt, (request, instance));
        Some(Effect::Send { request, attempt, upstream })
    }

    fn refused(
        &mut self,
        now: clock::Instant,
        attempt: u64,
        request: usize,
        instance: &name::Instance,
        load: frame::Load,
    ) -> Vec<Effect> {
        self.close(now, attempt, choice::Outcome::Rejected(refusal::Reason::Cold));
        self.chooser.on_load_report(now, instance, load);
        if let Some(live) = self.live.get(&request)
            && live.attempts.is_empty()
        {
            self.queue.requeue(now, live.item.clone());
        }
        Vec::new()
    }

    fn begun(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        self.chooser.on_response_started(now, identifier(attempt));
        let Some(live) = self.live.get_mut(&request) else { return Vec::new() };
        live.begun = true;
        if let Some(sent) = live.sent {
            self.hedges.entry(live.item.class).or_default().record_start_latency(now.since(sent));
        }
        self.queue.on_response_started(now, request as u64);
        let others: Vec<u64> =
            live.attempts.iter().copied().filter(|other| *other != attempt).collect();
        others.into_iter().filter_map(|other| self.cancel(now, other)).collect()
    }

    fn ended(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        self.close(now, attempt, choice::Outcome::Completed);
        self.queue.on_request_ended(now, request as u64);
        self.live.remove(&request);
        Vec::new()
    }

    fn failed(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        let instance = self.attempts.get(&attempt).map(|(_, instance)| instance.clone());
        self.close(now, attempt, choice::Outcome::Failed);
        let Some(live) = self.live.get_mut(&request) else { return Vec::new() };
        if !live.attempts.is_empty() {
            return Vec::new();
        }
        live.tried.extend(instance);
        if !live.begun && self.budget.try_retry(live.repeatable, refusal::Ran::MayHaveRun) {
            self.queue.requeue(now, live.item.clone());
            return Vec::new();
        }
        self.live.remove(&request);
        self.queue.on_request_ended(now, request as u64);
        vec![Effect::Fail(request)]
    }

    /// Cancels and answers what has not begun by its deadline.
    fn give_up(&mut self, now: clock::Instant) -> Vec<Effect> {
        let late = self
            .live
            .iter()
            .filter(|(_, live)| live.sent.is_some() && !live.begun && live.item.deadline <= now);
        let late: Vec<usize> = late.map(|(request, _)| *request).collect();
        let mut effects = Vec::new();
        for request in late {
            let Some(live) = self.live.remove(&request) else { continue };
            for attempt in live.attempts {
                effects.extend(self.cancel_as(now, attempt, choice::Outcome::Failed));
            }
            self.queue.remove(request as u64);
            self.queue.on_request_ended(now, request as u64);
            let random = self.random();
            let after = self.queue.retry_after(live.item.class, random);
            effects.push(Effect::Refuse { request, after: Some(after) });
        }
        effects
    }

    fn hedge(&mut self, now: clock::Instant) -> Vec<Effect> {
        let slow = self.live.iter().filter(|(_, live)| {
            let waited = live.sent.map(|sent| now.since(sent));
            let delay = self.hedges.get(&live.item.class).and_then(hedge::Hedge::delay);
            let due = waited.zip(delay).is_some_and(|(waited, delay)| waited >= delay);
            due && live.repeatable && !live.begun && live.attempts.len() == 1
        });
        let slow: Vec<usize> = slow.map(|(request, _)| *request).collect();
        let mut effects = Vec::new();
        for request in slow {
            let Some(live) = self.live.get_mut(&request) else { continue };
            let waited = live.sent.map(|sent| now.since(sent)).unwrap_or_default();
            let hedge = self.hedges.entry(live.item.class).or_default();
            if !hedge.try_hedge(live.repeatable, waited, &mut self.budget) {
                continue;
            }
            let on = self.attempts.get(&live.attempts[0]).map(|(_, instance)| instance.clone());
            live.tried.extend(on);
            effects.extend(self.send(now, request));
        }
        effects
    }

    fn cancel(&mut self, now: clock::Instant, attempt: u64) -> Option<Effect> {
        self.cancel_as(now, attempt, choice::Outcome::Cancelled)
    }

    fn cancel_as(
        &mut self,
        now: clock::Instant,
        attempt: u64,
        outcome: choice::Outcome,
    ) -> Option<Effect> {
        let (_, instance) = self.attempts.get(&attempt)?;
        let upstream = index_of(instance);
        self.close(now, attempt, outcome);
        Some(Effect::Cancel { attempt, upstream })
    }

    /// Ends an attempt in the books.
    fn close(&mut self, now: clock::Instant, attempt: u64, outcome: choice::Outcome) {
        self.chooser.on_attempt_ended(now, identifier(attempt), outcome);
        if let Some((request, _)) = self.attempts.remove(&attempt)
            && let Some(live) = self.live.get_mut(&request)
        {
            live.attempts.retain(|other| *other != attempt);
        }
    }

    fn random(&mut self) -> u64 {
        self.random = random::mix(self.random, 1);
        self.random
    }
}
