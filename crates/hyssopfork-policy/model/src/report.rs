//! What callers received in a run, and what the upstreams spent on it.

use crate::{figures, scenario, traffic};
use hyssopfork_wire::{clock, configuration, name};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time within which a refusal counts as given at once.
pub const AT_ONCE: Duration = Duration::from_millis(50);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// Whole, and begun before its deadline.
    Good,
    /// Whole, and begun after its deadline.
    Late,
    /// Refused.
    Refused,
    /// Failed, or cut off after it began.
    Failed,
    /// Nothing came by the end of the run.
    Silent,
}

/// One request.
#[derive(Clone, Debug)]
struct Line {
    team: name::Team,
    class: configuration::Class,
    at: clock::Instant,
    deadline: clock::Instant,
    units: f64,
    origin: usize,
    begun: Option<clock::Instant>,
    ended: Option<clock::Instant>,
    refused: Option<clock::Instant>,
    failed: bool,
    runs: u32,
    spent: f64,
    repeatable: bool,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub struct Report {
    lines: Vec<Line>,
    length: Duration,
    capacity: f64,
    upstreams: Vec<u64>,
    /// Attempts that agents refused before they ran.
    pub bounced: u64,
    /// Crashes of upstreams.
    pub crashes: u32,
    /// Prompts found cached, and all prompts with a prefix.
    pub hits: (u64, u64),
}

/// Waits until the answer began, of the good answers of one kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    /// Good answers.
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
            lines: requests.iter().enumerate().map(|(index, it)| Line::new(index, it)).collect(),
            length: scenario.length,
            capacity: figures::capacity(scenario.upstreams) * figures::short_units(),
            upstreams: vec![0; scenario.upstreams],
            bounced: 0,
            crashes: 0,
            hits: (0, 0),
        }
    }

    /// The answer of a request began.
    pub fn begun(&mut self, now: clock::Instant, request: usize) {
        self.lines[request].begun.get_or_insert(now);
    }

    /// The answer of a request ended.
    pub fn ended(&mut self, now: clock::Instant, request: usize) {
        self.lines[request].ended.get_or_insert(now);
    }

    /// A request was refused.
    pub fn refused(&mut self, now: clock::Instant, request: usize) {
        self.lines[request].refused.get_or_insert(now);
    }

    /// A request failed.
    pub fn failed(&mut self, _now: clock::Instant, request: usize) {
        self.lines[request].failed = true;
    }

    /// An upstream began to work on a request.
    pub fn ran(&mut self, request: usize, upstream: usize, repeatable: bool) {
        self.lines[request].runs += 1;
        self.lines[request].repeatable = repeatable;
        self.upstreams[upstream] += 1;
    }

    /// Work that upstreams spent on a request.
    pub fn spent(&mut self, request: usize, units: f64) {
        self.lines[request].spent += units;
    }

    /// The caller of a request sends it again.
    pub fn resent(&mut self, request: usize, again: &traffic::Request) {
        let origin = self.lines[request].origin;
        self.lines.push(Line::new(origin, again));
    }

    /// Whether a request has had no answer yet, nor its beginning.
    pub fn is_open(&self, request: usize) -> bool {
        let line = &self.lines[request];
        line.begun.is_none() && line.refused.is_none() && !line.failed
    }

    /// Requests that ended in each way.
    pub fn answers(&self) -> BTreeMap<Answer, usize> {
        self.answers_where(|_| true)
    }

    /// The same for one class.
    pub fn answers_of(&self, class: configuration::Class) -> BTreeMap<Answer, usize> {
        self.answers_where(|line| line.class == class)
    }

    /// Good answers' work between two seconds of the run, as a share of what the upstreams can
    /// do in that time.
    pub fn goodput(&self, from: f64, to: f64) -> f64 {
        let inside = |line: &&Line| {
            let ended = line.ended.map_or(0.0, seconds);
            line.answer() == Answer::Good && ended >= from && ended < to
        };
        let units: f64 = self.lines.iter().filter(inside).map(|line| line.units).sum();
        units / ((to - from) * self.capacity)
    }

    /// Good answers as a share of the requests that arrived between two seconds of the run.
    pub fn served(&self, from: f64, to: f64) -> f64 {
        self.share(from, to, |line| line.answer() == Answer::Good)
    }

    /// Share of the refusals that came within [`AT_ONCE`]; 1 without refusals.
    pub fn refused_at_once(&self) -> f64 {
        let waits = self.lines.iter().filter_map(|line| Some(line.refused?.since(line.at)));
        let waits: Vec<Duration> = waits.collect();
        let fast = waits.iter().filter(|wait| **wait <= AT_ONCE).count();
        if waits.is_empty() { 1.0 } else { fast as f64 / waits.len() as f64 }
    }

    /// Share of the upstreams' work that went to requests without a good answer.
    pub fn wasted(&self) -> f64 {
        let all: f64 = self.lines.iter().map(|line| line.spent).sum();
        let good: f64 = self.lines.iter().map(Line::well_spent).sum();
        if all > 0.0 { 1.0 - good / all } else { 0.0 }
    }

    /// Requests that may not repeat and ran more than once.
    pub fn ran_twice(&self) -> usize {
        self.lines.iter().filter(|line| !line.repeatable && line.runs > 1).count()
    }

    /// Attempts that ran, for each request.
    pub fn amplification(&self) -> f64 {
        let runs: u32 = self.lines.iter().map(|line| line.runs).sum();
        f64::from(runs) / self.lines.len().max(1) as f64
    }

    /// Callers that got a good answer in the end, as a share of all callers.
    pub fn callers_served(&self) -> f64 {
        let all: BTreeSet<usize> = self.lines.iter().map(|line| line.origin).collect();
        let good = self.lines.iter().filter(|line| line.answer() == Answer::Good);
        let good: BTreeSet<usize> = good.map(|line| line.origin).collect();
        good.len() as f64 / all.len().max(1) as f64
    }

    /// Requests that arrived, resent ones too, for each caller.
    pub fn sends(&self) -> f64 {
        let all: BTreeSet<usize> = self.lines.iter().map(|line| line.origin).collect();
        self.lines.len() as f64 / all.len().max(1) as f64
    }

    /// Waits of the good answers for each team and class.
    pub fn waits(&self) -> BTreeMap<(name::Team, configuration::Class), Waits> {
        let mut waits: BTreeMap<_, Vec<Duration>> = BTreeMap::new();
        for line in &self.lines {
            if let Some(wait) = line.wait() {
                waits.entry((line.team.clone(), line.class)).or_default().push(wait);
            }
        }
        waits.into_iter().map(|(key, waits)| (key, percentiles(waits))).collect()
    }

    /// Waits of the good answers of the teams for which `chosen` says so, in one class.
    pub fn waits_of(
        &self,
        class: configuration::Class,
        chosen: impl Fn(&name::Team) -> bool,
    ) -> Waits {
        let lines = self.lines.iter().filter(|line| line.class == class && chosen(&line.team));
        percentiles(lines.filter_map(Line::wait).collect())
    }

    /// Jain's index over teams of good work as a share of what the team could have had: what it
    /// asked for, or its fair share of the capacity if that is less.
    pub fn jain(&self) -> f64 {
        let mut teams: BTreeMap<&name::Team, (f64, f64)> = BTreeMap::new();
        for line in &self.lines {
            let team = teams.entry(&line.team).or_default();
            team.0 += line.units;
            if line.answer() == Answer::Good {
                team.1 += line.units;
            }
        }
        let asked = teams.values().map(|team| team.0).collect();
        let level = water_level(asked, self.capacity * self.length.as_secs_f64());
        let shares = teams.values().map(|(asked, good)| good / asked.min(level));
        let shares: Vec<f64> = shares.map(|share| share.min(1.0)).collect();
        jain(&shares)
    }

    /// Most attempts on one upstream, as a multiple of the mean.
    pub fn spread(&self) -> f64 {
        let most = self.upstreams.iter().max().copied().unwrap_or_default() as f64;
        let all: u64 = self.upstreams.iter().sum();
        most * self.upstreams.len() as f64 / all.max(1) as f64
    }

    /// Answers that took longer than `limit` from the caller's sending to their end.
    pub fn longer_than(&self, limit: Duration) -> usize {
        let took = |line: &Line| Some(line.ended?.since(line.at) > limit);
        self.lines.iter().filter(|line| took(line) == Some(true)).count()
    }

    /// First second of the run from `from` on after which every second's median wait is within
    /// `limit` and nothing is refused or late; `None` when that never is.
    pub fn recovered(&self, from: f64, limit: Duration) -> Option<f64> {
        let end = self.length.as_secs_f64();
        let mut normal_since = None;
        let mut second = from;
        while second < end {
            let normal = self.is_normal(second, limit);
            normal_since = if normal { normal_since.or(Some(second)) } else { None };
            second += 1.0;
        }
        normal_since
    }

    fn is_normal(&self, second: f64, limit: Duration) -> bool {
        let arrived = self.lines.iter().filter(|line| {
            let at = seconds(line.at);
            at >= second && at < second + 1.0
        });
        let arrived: Vec<&Line> = arrived.collect();
        let good = arrived.iter().filter(|line| line.answer() == Answer::Good).count();
        let waits = percentiles(arrived.iter().filter_map(|line| line.wait()).collect());
        good * 100 >= arrived.len() * 99 && waits.p50 <= limit
    }

    fn share(&self, from: f64, to: f64, counts: impl Fn(&Line) -> bool) -> f64 {
        let inside = |line: &&Line| seconds(line.at) >= from && seconds(line.at) < to;
        let all = self.lines.iter().filter(inside).count();
        let chosen = self.lines.iter().filter(inside).filter(|line| counts(line)).count();
        chosen as f64 / all.max(1) as f64
    }

    fn answers_where(&self, chosen: impl Fn(&Line) -> bool) -> BTreeMap<Answer, usize> {
        let mut answers = BTreeMap::new();
        for line in self.lines.iter().filter(|line| chosen(line)) {
            *answers.entry(line.answer()).or_default() += 1;
        }
        answers
    }
}

impl Line {
    fn new(origin: usize, request: &traffic::Request) -> Line {
        Line {
            team: request.team.clone(),
            class: request.class,
            at: request.at,
            deadline: request.deadline(),
            units: request.units(),
            origin,
            begun: None,
            ended: None,
            refused: None,
            failed: false,
            runs: 0,
            spent: 0.0,
            repeatable: request.repeatable,
        }
    }

    fn answer(&self) -> Answer {
        if self.failed {
            return Answer::Failed;
        }
        if self.refused.is_some() {
            return Answer::Refused;
        }
        match (self.begun, self.ended) {
            (Some(begun), Some(_)) if begun <= self.deadline => Answer::Good,
            (_, Some(_)) => Answer::Late,
            (Some(_), None) => Answer::Failed,
            (None, None) => Answer::Silent,
        }
    }

    fn wait(&self) -> Option<Duration> {
        let begun = self.begun?;
        (self.answer() == Answer::Good).then(|| begun.since(self.at))
    }

    /// Work that the good answer needed; what duplicates spent is wasted.
    fn well_spent(&self) -> f64 {
        if self.answer() == Answer::Good { self.spent.min(self.units) } else { 0.0 }
    }
}

fn seconds(at: clock::Instant) -> f64 {
    at.as_micros() as f64 / 1e6
}

fn percentiles(mut waits: Vec<Duration>) -> Waits {
    waits.sort_unstable();
    let at = |share: f64| {
        let place = (waits.len() as f64 * share) as usize;
        waits.get(place.min(waits.len().saturating_sub(1))).copied().unwrap_or_default()
    };
    Waits { count: waits.len(), p50: at(0.5), p99: at(0.99) }
}

/// Share of `capacity` at which every team that asks for more is cut off (max-min fairness).
fn water_level(mut asked: Vec<f64>, capacity: f64) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    let mut left = capacity;
    for (index, amount) in asked.iter().enumerate() {
        let share = left / (asked.len() - index) as f64;
        if *amount > share {
            return share;
        }
        left -= amount;
    }
    f64::INFINITY
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 0.0 }
}
