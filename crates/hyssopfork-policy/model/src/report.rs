//! Report of a run: what clients received, and the upstreams' work for it.

use crate::{parameters, scenario, traffic};
use hyssopfork_wire::{clock, configuration, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time within which a rejection counts as immediate.
pub const IMMEDIATE: Duration = Duration::from_millis(50);

/// Outcome of a request for its client. The benchmark prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Complete, and started before its deadline.
    Good,
    /// Complete, and started after its deadline.
    Late,
    /// Rejected.
    Refused,
    /// Failed, or cut off after it started.
    Failed,
    /// Without a response by the end of the run.
    Silent,
}

/// One request.
#[derive(Clone, Debug)]
struct Record {
    team: name::Team,
    class: configuration::Class,
    arrived_at: clock::Instant,
    deadline: clock::Instant,
    tokens: f64,
    client: usize,
    started_at: Option<clock::Instant>,
    ended_at: Option<clock::Instant>,
    rejected_at: Option<clock::Instant>,
    failed: bool,
    attempts_run: u32,
    tokens_spent: f64,
    repeatable: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Report {
    records: Vec<Record>,
    length: Duration,
    capacity: f64,
    attempts_by_upstream: Vec<u64>,
    /// Attempts that agents rejected before they ran.
    pub agent_rejections: u64,
    /// Crashes of upstreams.
    pub crashes: u32,
    /// Prompts found in a cache, and all prompts with a prefix.
    pub cache_hits: (u64, u64),
}

/// Times to the start of the response, of the good responses of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Good responses.
    pub count: usize,
    /// Median.
    pub p50: Duration,
    /// 99th percentile.
    pub p99: Duration,
}

impl Report {
    /// An empty report.
    pub fn new(scenario: &scenario::Scenario, requests: &[traffic::Request]) -> Report {
        Report {
            records: requests
                .iter()
                .enumerate()
                .map(|(index, it)| Record::new(index, it))
                .collect(),
            length: scenario.length,
            capacity: parameters::capacity(scenario.upstreams) * parameters::short_request_tokens(),
            attempts_by_upstream: vec![0; scenario.upstreams],
            agent_rejections: 0,
            crashes: 0,
            cache_hits: (0, 0),
        }
    }

    /// Records the start of a response.
    pub fn on_started(&mut self, now: clock::Instant, request: usize) {
        self.records[request].started_at.get_or_insert(now);
    }

    /// Records the end of a response.
    pub fn on_ended(&mut self, now: clock::Instant, request: usize) {
        self.records[request].ended_at.get_or_insert(now);
    }

    /// Records the rejection of a request.
    pub fn on_rejected(&mut self, now: clock::Instant, request: usize) {
        self.records[request].rejected_at.get_or_insert(now);
    }

    /// Records the failure of a request.
    pub fn on_failed(&mut self, _now: clock::Instant, request: usize) {
        self.records[request].failed = true;
    }

    /// Records that an upstream started an attempt.
    pub fn on_run(&mut self, request: usize, upstream: usize, repeatable: bool) {
        self.records[request].attempts_run += 1;
        self.records[request].repeatable = repeatable;
        self.attempts_by_upstream[upstream] += 1;
    }

    /// Adds work that upstreams did for a request.
    pub fn add_tokens_spent(&mut self, request: usize, tokens: f64) {
        self.records[request].tokens_spent += tokens;
    }

    /// Records that the client of a request sends it again.
    pub fn on_resent(&mut self, request: usize, resent: &traffic::Request) {
        let client = self.records[request].client;
        self.records.push(Record::new(client, resent));
    }

    /// Whether a request has neither a response, nor its start, nor a rejection.
    pub fn is_unanswered(&self, request: usize) -> bool {
        let record = &self.records[request];
        record.started_at.is_none() && record.rejected_at.is_none() && !record.failed
    }

    /// Number of requests for each outcome.
    pub fn outcomes(&self) -> BTreeMap<Outcome, usize> {
        self.count_outcomes(|_| true)
    }

    /// Number of requests of one class for each outcome.
    pub fn outcomes_of(&self, class: configuration::Class) -> BTreeMap<Outcome, usize> {
        self.count_outcomes(|record| record.class == class)
    }

    /// Work of the good responses that ended between two seconds of the run, as a share of the
    /// upstreams' capacity in that time.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let inside = |record: &&Record| {
            let ended_at = record.ended_at.map_or(0.0, seconds);
            record.outcome() == Outcome::Good && ended_at >= from && ended_at < to
        };
        let tokens: f64 = self.records.iter().filter(inside).map(|record| record.tokens).sum();
        tokens / ((to - from) * self.capacity)
    }

    /// Good responses as a share of the requests that arrived between two seconds of the run.
    pub fn served_share(&self, from: f64, to: f64) -> f64 {
        self.share_of(from, to, |record| record.outcome() == Outcome::Good)
    }

    /// Share of the rejections that came within [`IMMEDIATE`]; 1 without rejections.
    pub fn rejected_immediately(&self) -> f64 {
        let waits = self
            .records
            .iter()
            .filter_map(|record| Some(record.rejected_at?.since(record.arrived_at)));
        let waits: Vec<Duration> = waits.collect();
        let fast = waits.iter().filter(|wait| **wait <= IMMEDIATE).count();
        if waits.is_empty() { 1.0 } else { fast as f64 / waits.len() as f64 }
    }

    /// Share of the upstreams' work for requests without a good response.
    pub fn wasted_share(&self) -> f64 {
        let all: f64 = self.records.iter().map(|record| record.tokens_spent).sum();
        let good: f64 = self.records.iter().map(Record::useful_tokens).sum();
        if all > 0.0 { 1.0 - good / all } else { 0.0 }
    }

    /// Non-repeatable requests that ran more than once.
    pub fn ran_twice(&self) -> usize {
        self.records.iter().filter(|record| !record.repeatable && record.attempts_run > 1).count()
    }

    /// Attempts run per request.
    pub fn amplification(&self) -> f64 {
        let runs: u32 = self.records.iter().map(|record| record.attempts_run).sum();
        f64::from(runs) / self.records.len().max(1) as f64
    }

    /// Share of the clients that received a good response in the end.
    pub fn clients_served(&self) -> f64 {
        let all: BTreeSet<usize> = self.records.iter().map(|record| record.client).collect();
        let good = self.records.iter().filter(|record| record.outcome() == Outcome::Good);
        let good: BTreeSet<usize> = good.map(|record| record.client).collect();
        good.len() as f64 / all.len().max(1) as f64
    }

    /// Requests per client, those sent again included.
    pub fn requests_per_client(&self) -> f64 {
        let all: BTreeSet<usize> = self.records.iter().map(|record| record.client).collect();
        self.records.len() as f64 / all.len().max(1) as f64
    }

    /// Waits of the good responses for each team and class.
    pub fn waits(&self) -> BTreeMap<(name::Team, configuration::Class), Waits> {
        let mut waits: BTreeMap<_, Vec<Duration>> = BTreeMap::new();
        for record in &self.records {
            if let Some(wait) = record.wait() {
                waits.entry((record.team.clone(), record.class)).or_default().push(wait);
            }
        }
        waits.into_iter().map(|(key, waits)| (key, percentiles(waits))).collect()
    }

    /// Waits of the good responses of one class, for the teams that `chosen` selects.
    pub fn waits_of(
        &self,
        class: configuration::Class,
        chosen: impl Fn(&name::Team) -> bool,
    ) -> Waits {
        let records =
            self.records.iter().filter(|record| record.class == class && chosen(&record.team));
        percentiles(records.filter_map(Record::wait).collect())
    }

    /// Jain's fairness index over teams of good work as a share of what the team could have had:
    /// its demand, or its fair share of the capacity if that is less.
    pub fn jain_index(&self) -> f64 {
        let mut teams: BTreeMap<&name::Team, (f64, f64)> = BTreeMap::new();
        for record in &self.records {
            let team = teams.entry(&record.team).or_default();
            team.0 += record.tokens;
            if record.outcome() == Outcome::Good {
                team.1 += record.tokens;
            }
        }
        let demanded = teams.values().map(|team| team.0).collect();
        let fair_share = max_min_share(demanded, self.capacity * self.length.as_secs_f64());
        let shares = teams.values().map(|(demanded, good)| good / demanded.min(fair_share));
        let shares: Vec<f64> = shares.map(|share| share.min(1.0)).collect();
        jain_index_of(&shares)
    }

    /// Largest number of attempts on one upstream, as a multiple of the mean.
    pub fn max_load_ratio(&self) -> f64 {
        let max = self.attempts_by_upstream.iter().max().copied().unwrap_or_default() as f64;
        let all: u64 = self.attempts_by_upstream.iter().sum();
        max * self.attempts_by_upstream.len() as f64 / all.max(1) as f64
    }

    /// Responses that took longer than `limit` from the client's request to their end.
    pub fn count_longer_than(&self, limit: Duration) -> usize {
        let took = |record: &Record| Some(record.ended_at?.since(record.arrived_at) > limit);
        self.records.iter().filter(|record| took(record) == Some(true)).count()
    }

    /// First second of the run, at or after `from`, from which on the median wait of every second
    /// is within `limit` and at least 99 in 100 of its requests get a good response; `None` if
    /// there is none.
    pub fn recovered_at(&self, from: f64, limit: Duration) -> Option<f64> {
        let end = self.length.as_secs_f64();
        let mut normal_since = None;
        let mut second = from;
        while second < end {
            let is_normal = self.is_normal(second, limit);
            normal_since = if is_normal { normal_since.or(Some(second)) } else { None };
            second += 1.0;
        }
        normal_since
    }

    fn is_normal(&self, second: f64, limit: Duration) -> bool {
        let arrived = self.records.iter().filter(|record| {
            let at = seconds(record.arrived_at);
            at >= second && at < second + 1.0
        });
        let arrived: Vec<&Record> = arrived.collect();
        let good = arrived.iter().filter(|record| record.outcome() == Outcome::Good).count();
        let waits = percentiles(arrived.iter().filter_map(|record| record.wait()).collect());
        good * 100 >= arrived.len() * 99 && waits.p50 <= limit
    }

    fn share_of(&self, from: f64, to: f64, counts: impl Fn(&Record) -> bool) -> f64 {
        let inside = |record: &&Record| {
            seconds(record.arrived_at) >= from && seconds(record.arrived_at) < to
        };
        let all = self.records.iter().filter(inside).count();
        let chosen = self.records.iter().filter(inside).filter(|record| counts(record)).count();
        chosen as f64 / all.max(1) as f64
    }

    fn count_outcomes(&self, chosen: impl Fn(&Record) -> bool) -> BTreeMap<Outcome, usize> {
        let mut counts = BTreeMap::new();
        for record in self.records.iter().filter(|record| chosen(record)) {
            *counts.entry(record.outcome()).or_default() += 1;
        }
        counts
    }
}

impl Record {
    fn new(client: usize, request: &traffic::Request) -> Record {
        Record {
            team: request.team.clone(),
            class: request.class,
            arrived_at: request.arrives_at,
            deadline: request.deadline(),
            tokens: request.tokens(),
            client,
            started_at: None,
            ended_at: None,
            rejected_at: None,
            failed: false,
            attempts_run: 0,
            tokens_spent: 0.0,
            repeatable: request.repeatable,
        }
    }

    fn outcome(&self) -> Outcome {
        if self.failed {
            return Outcome::Failed;
        }
        if self.rejected_at.is_some() {
            return Outcome::Refused;
        }
        match (self.started_at, self.ended_at) {
            (Some(started_at), Some(_)) if started_at <= self.deadline => Outcome::Good,
            (_, Some(_)) => Outcome::Late,
            (Some(_), None) => Outcome::Failed,
            (None, None) => Outcome::Silent,
        }
    }

    fn wait(&self) -> Option<Duration> {
        let started_at = self.started_at?;
        (self.outcome() == Outcome::Good).then(|| started_at.since(self.arrived_at))
    }

    /// Work that the good response needed; work of duplicates is wasted.
    fn useful_tokens(&self) -> f64 {
        if self.outcome() == Outcome::Good { self.tokens_spent.min(self.tokens) } else { 0.0 }
    }
}

fn seconds(at: clock::Instant) -> f64 {
    at.as_micros() as f64 / 1e6
}

fn percentiles(mut waits: Vec<Duration>) -> Waits {
    waits.sort_unstable();
    let at = |share: f64| {
        let index = (waits.len() as f64 * share) as usize;
        waits.get(index.min(waits.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    Waits { count: waits.len(), p50: at(0.5), p99: at(0.99) }
}

/// Max-min fair share of `capacity`: teams that demand more are limited to it.
fn max_min_share(mut demanded: Vec<f64>, capacity: f64) -> f64 {
    demanded.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in demanded.iter().enumerate() {
        let share = left / (demanded.len() - index) as f64;
        if *amount > share {
            return share;
        }
        left -= amount;
    }
    f64::INFINITY
}

fn jain_index_of(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 0.0 }
}
