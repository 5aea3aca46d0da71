//! An entry process that decides by the policy package, connected as the entry role connects it.

use crate::entry::{self, Effect, Reply};
use crate::{parameters, traffic};
use hyssopfork_policy::{choice, hedge, queue, random, retry};
use hyssopfork_wire::{attempt, clock, configuration, frame, name, refusal};
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug)]
struct Pending {
    item: queue::Item,
    prefix: Option<u64>,
    repeatable: bool,
    /// Time of the first attempt.
    first_sent_at: Option<clock::Instant>,
    is_responding: bool,
    attempts: Vec<u64>,
    tried: Vec<name::Instance>,
}

/// An entry process.
#[derive(Clone, Debug)]
pub struct Entry {
    index: usize,
    zone: name::Zone,
    queue: queue::Queue,
    chooser: choice::Chooser,
    budget: retry::Budget,
    hedges: BTreeMap<configuration::Class, hedge::Hedge>,
    pending: BTreeMap<usize, Pending>,
    attempts: HashMap<u64, (usize, name::Instance)>,
    attempt_count: u64,
    random: u64,
}

/// Name of an upstream's instance.
pub fn instance(index: usize) -> name::Instance {
    name::Instance::new(format!("runner-{index:03}"))
}

fn upstream_index(instance: &name::Instance) -> usize {
    let digits = instance.as_str().trim_start_matches("runner-");
    digits.parse().expect("instances of the model are named by `instance`")
}

fn identifier(attempt: u64) -> attempt::Identifier {
    attempt::Identifier { boot: 0, count: attempt }
}

impl Entry {
    /// An entry process that knows `zones`, the zone of each upstream.
    pub fn new(index: usize, zones: &[name::Zone], seed: u64) -> Entry {
        let mut chooser = choice::Chooser::default();
        for (upstream, zone) in zones.iter().enumerate() {
            let concurrency = parameters::BATCH_SIZE as u32;
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
            pending: BTreeMap::new(),
            attempts: HashMap::new(),
            attempt_count: 0,
            random: random::mix(seed, index as u64),
        }
    }

    /// Handles the arrival of a request.
    pub fn on_arrival(
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
        if let queue::Admission::Rejected(rejection) = self.queue.enqueue(now, item.clone(), random)
        {
            return vec![Effect::Reject { request: id, retry_after: rejection.retry_after }];
        }
        let pending = Pending {
            item,
            prefix: request.prefix,
            repeatable: request.repeatable,
            first_sent_at: None,
            is_responding: false,
            attempts: Vec::new(),
            tried: Vec::new(),
        };
        self.pending.insert(id, pending);
        self.dispatch(now)
    }

    /// Handles a reply of an agent.
    pub fn on_reply(&mut self, now: clock::Instant, attempt: u64, reply: Reply) -> Vec<Effect> {
        let Some((request, instance)) = self.attempts.get(&attempt).cloned() else {
            return Vec::new();
        };
        let mut effects = match reply {
            Reply::LoadReport(load) => {
                self.chooser.on_load_report(now, &instance, load);
                Vec::new()
            }
            Reply::Rejected(load) => self.on_rejected(now, attempt, request, &instance, load),
            Reply::Started => self.on_started(now, attempt, request),
            Reply::Completed => self.on_completed(now, attempt, request),
            Reply::Failed => self.on_failed(now, attempt, request),
        };
        effects.extend(self.dispatch(now));
        effects
    }

    /// Handles a tick of the clock.
    pub fn on_tick(&mut self, now: clock::Instant) -> Vec<Effect> {
        let mut effects = self.time_out(now);
        effects.extend(self.send_hedges(now));
        effects.extend(self.dispatch(now));
        effects
    }

    /// Sets whether a zone is evacuated.
    pub fn set_zone_evacuated(&mut self, zone: &name::Zone, evacuated: bool) {
        self.chooser.set_zone_evacuated(zone, evacuated);
    }

    fn dispatch(&mut self, now: clock::Instant) -> Vec<Effect> {
        let random = self.random();
        let batch = self.queue.dispatch(now, self.chooser.capacity(now), random);
        let mut effects = Vec::new();
        for expired in batch.expired {
            let request = expired.item.request as usize;
            self.pending.remove(&request);
            effects.push(Effect::Reject { request, retry_after: expired.rejection.retry_after });
        }
        for item in batch.ready {
            let request = item.request as usize;
            if self.pending[&request].first_sent_at.is_none() {
                self.budget.on_first_attempt();
            }
            match self.send(now, request) {
                Some(effect) => effects.push(effect),
                None => self.queue.requeue(now, item),
            }
        }
        effects
    }

    /// Sends one more attempt of a request; `None` if no upstream has a free slot.
    fn send(&mut self, now: clock::Instant, request: usize) -> Option<Effect> {
        let random = self.random();
        let pending = self.pending.get_mut(&request)?;
        let criteria =
            choice::Criteria { zone: &self.zone, prefix: pending.prefix, excluded: &pending.tried };
        let instance = self.chooser.pick(now, criteria, random)?;
        self.attempt_count += 1;
        let attempt = entry::attempt_id(self.index, self.attempt_count);
        self.chooser.on_attempt_sent(now, &instance, identifier(attempt), pending.item.cost);
        pending.first_sent_at.get_or_insert(now);
        pending.attempts.push(attempt);
        let upstream = upstream_index(&instance);
        self.attempts.insert(attempt, (request, instance));
        Some(Effect::Send { request, attempt, upstream })
    }

    fn on_rejected(
        &mut self,
        now: clock::Instant,
        attempt: u64,
        request: usize,
        instance: &name::Instance,
        load: frame::Load,
    ) -> Vec<Effect> {
        self.end_attempt(now, attempt, choice::Outcome::Rejected(refusal::Reason::Cold));
        self.chooser.on_load_report(now, instance, load);
        if let Some(pending) = self.pending.get(&request)
            && pending.attempts.is_empty()
        {
            self.queue.requeue(now, pending.item.clone());
        }
        Vec::new()
    }

    fn on_started(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        self.chooser.on_response_started(now, identifier(attempt));
        let Some(pending) = self.pending.get_mut(&request) else { return Vec::new() };
        pending.is_responding = true;
        if let Some(first_sent_at) = pending.first_sent_at {
            self.hedges
                .entry(pending.item.class)
                .or_default()
                .record_start_latency(now.since(first_sent_at));
        }
        self.queue.on_response_started(now, request as u64);
        let others: Vec<u64> =
            pending.attempts.iter().copied().filter(|other| *other != attempt).collect();
        others.into_iter().filter_map(|other| self.cancel(now, other)).collect()
    }

    fn on_completed(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        self.end_attempt(now, attempt, choice::Outcome::Completed);
        self.queue.on_request_ended(now, request as u64);
        self.pending.remove(&request);
        Vec::new()
    }

    fn on_failed(&mut self, now: clock::Instant, attempt: u64, request: usize) -> Vec<Effect> {
        let instance = self.attempts.get(&attempt).map(|(_, instance)| instance.clone());
        self.end_attempt(now, attempt, choice::Outcome::Failed);
        let Some(pending) = self.pending.get_mut(&request) else { return Vec::new() };
        if !pending.attempts.is_empty() {
            return Vec::new();
        }
        pending.tried.extend(instance);
        if !pending.is_responding
            && self.budget.try_retry(pending.repeatable, refusal::Ran::MayHaveRun)
        {
            self.queue.requeue(now, pending.item.clone());
            return Vec::new();
        }
        self.pending.remove(&request);
        self.queue.on_request_ended(now, request as u64);
        vec![Effect::Fail(request)]
    }

    /// Cancels and rejects the requests whose response has not started by the deadline.
    fn time_out(&mut self, now: clock::Instant) -> Vec<Effect> {
        let late = self.pending.iter().filter(|(_, pending)| {
            pending.first_sent_at.is_some()
                && !pending.is_responding
                && pending.item.deadline <= now
        });
        let late: Vec<usize> = late.map(|(request, _)| *request).collect();
        let mut effects = Vec::new();
        for request in late {
            let Some(pending) = self.pending.remove(&request) else { continue };
            for attempt in pending.attempts {
                effects.extend(self.cancel_as(now, attempt, choice::Outcome::Failed));
            }
            self.queue.remove(request as u64);
            self.queue.on_request_ended(now, request as u64);
            let random = self.random();
            let retry_after = self.queue.retry_after(pending.item.class, random);
            effects.push(Effect::Reject { request, retry_after: Some(retry_after) });
        }
        effects
    }

    fn send_hedges(&mut self, now: clock::Instant) -> Vec<Effect> {
        let overdue = self.pending.iter().filter(|(_, pending)| {
            let waited = pending.first_sent_at.map(|first_sent_at| now.since(first_sent_at));
            let delay = self.hedges.get(&pending.item.class).and_then(hedge::Hedge::delay);
            let is_due = waited.zip(delay).is_some_and(|(waited, delay)| waited >= delay);
            is_due && pending.repeatable && !pending.is_responding && pending.attempts.len() == 1
        });
        let overdue: Vec<usize> = overdue.map(|(request, _)| *request).collect();
        let mut effects = Vec::new();
        for request in overdue {
            let Some(pending) = self.pending.get_mut(&request) else { continue };
            let waited = pending
                .first_sent_at
                .map(|first_sent_at| now.since(first_sent_at))
                .unwrap_or_default();
            let hedge = self.hedges.entry(pending.item.class).or_default();
            if !hedge.try_hedge(pending.repeatable, waited, &mut self.budget) {
                continue;
            }
            let tried =
                self.attempts.get(&pending.attempts[0]).map(|(_, instance)| instance.clone());
            pending.tried.extend(tried);
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
        let upstream = upstream_index(instance);
        self.end_attempt(now, attempt, outcome);
        Some(Effect::Cancel { attempt, upstream })
    }

    /// Records the outcome of an attempt.
    fn end_attempt(&mut self, now: clock::Instant, attempt: u64, outcome: choice::Outcome) {
        self.chooser.on_attempt_ended(now, identifier(attempt), outcome);
        if let Some((request, _)) = self.attempts.remove(&attempt)
            && let Some(pending) = self.pending.get_mut(&request)
        {
            pending.attempts.retain(|other| *other != attempt);
        }
    }

    fn random(&mut self) -> u64 {
        self.random = random::mix(self.random, 1);
        self.random
    }
}
