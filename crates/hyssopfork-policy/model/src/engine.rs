//! An upstream with continuous batching: all requests of its batch advance at the same speed, which
//! falls as the batch grows.

use crate::parameters;
use hyssopfork_wire::clock;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Progress is counted in millionths of a token, so that runs are reproducible.
const UNITS_PER_TOKEN: f64 = 1e6;

/// A request as the upstream sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the attempt.
    pub attempt: u64,
    /// Work before the response starts, in tokens.
    pub prefill: f64,
    /// Work from the start to the end of the response, in tokens.
    pub decode: f64,
    /// Prompt prefix, which saves the prefill if it is cached.
    pub prefix: Option<u64>,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Its response started.
    Started(u64),
    /// Its response ended.
    Completed(u64),
    /// It failed.
    Failed(u64),
}

/// Fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// It is slower by this factor.
    Slow(f64),
    /// It makes no progress.
    Stalled,
    /// It fails every request at once.
    FailsFast,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    response_at: u64,
    end_at: u64,
    is_responding: bool,
    started_at: u64,
}

/// The upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    progress: u64,
    updated_at: clock::Instant,
    batch: BTreeMap<u64, Slot>,
    milestones: BTreeSet<(u64, u64)>,
    waiting: VecDeque<Job>,
    cached_prefixes: VecDeque<u64>,
    capacity: f64,
    fault: Fault,
    down_until: Option<clock::Instant>,
    /// Crashes so far.
    pub crashes: u32,
    /// Work done for each attempt, in tokens.
    pub work_done: BTreeMap<u64, f64>,
    /// Prompt prefixes found in the cache, and all lookups.
    pub cache_hits: (u64, u64),
}

impl Engine {
    /// An upstream that is warm, or cold.
    pub fn new(warm: bool) -> Engine {
        Engine {
            progress: 0,
            updated_at: clock::Instant::ORIGIN,
            batch: BTreeMap::new(),
            milestones: BTreeSet::new(),
            waiting: VecDeque::new(),
            cached_prefixes: VecDeque::new(),
            capacity: if warm { parameters::BATCH_SIZE as f64 } else { parameters::COLD_CAPACITY },
            fault: Fault::None,
            down_until: None,
            crashes: 0,
            work_done: BTreeMap::new(),
            cache_hits: (0, 0),
        }
    }

    /// Whether it responds at all.
    pub fn is_up(&self, now: clock::Instant) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }

    /// Requests inside it, running and waiting.
    pub fn request_count(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Sets its fault. Call [`Engine::advance`] before.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// Replaces its process unannounced: the new one is cold, and all running requests fail.
    pub fn restart(&mut self) -> Vec<Progress> {
        self.capacity = parameters::COLD_CAPACITY;
        self.cached_prefixes.clear();
        self.fail_all()
    }

    /// Accepts a request. Call [`Engine::advance`] before.
    pub fn on_request(&mut self, now: clock::Instant, job: Job) -> Vec<Progress> {
        if !self.is_up(now) || self.fault == Fault::FailsFast {
            return vec![Progress::Failed(job.attempt)];
        }
        self.waiting.push_back(job);
        self.fill_batch();
        if self.is_overloaded() { self.crash(now) } else { Vec::new() }
    }

    /// Cancels a request. Call [`Engine::advance`] before.
    pub fn cancel(&mut self, attempt: u64) {
        self.waiting.retain(|job| job.attempt != attempt);
        self.remove(attempt);
        self.fill_batch();
    }

    /// Advances to `now` and returns the progress made.
    pub fn advance(&mut self, now: clock::Instant) -> Vec<Progress> {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.progress += (elapsed * self.tokens_per_second() * UNITS_PER_TOKEN).round() as u64;
        let mut events = Vec::new();
        while let Some(&(milestone, attempt)) = self.milestones.first() {
            if milestone > self.progress {
                break;
            }
            self.milestones.pop_first();
            events.push(self.on_milestone(attempt));
        }
        self.fill_batch();
        events
    }

    /// Time of the next progress; `None` if there will be none by itself.
    pub fn next_milestone_at(&self) -> Option<clock::Instant> {
        let &(milestone, _) = self.milestones.first()?;
        let speed = self.tokens_per_second();
        if speed <= 0.0 {
            return None;
        }
        let left = milestone.saturating_sub(self.progress) as f64 / UNITS_PER_TOKEN;
        Some(self.updated_at + Duration::from_micros((left / speed * 1e6).ceil() as u64 + 1))
    }

    /// Tokens per second of each request in the batch.
    fn tokens_per_second(&self) -> f64 {
        let batch = self.batch.len() as f64;
        let step = parameters::STEP_TIME.as_secs_f64()
            + parameters::STEP_TIME_PER_REQUEST.as_secs_f64() * batch;
        let warmth = self.capacity / parameters::BATCH_SIZE as f64;
        let relative_speed = parameters::COLD_SPEED + (1.0 - parameters::COLD_SPEED) * warmth;
        match self.fault {
            Fault::Stalled => 0.0,
            Fault::Slow(factor) => relative_speed / step / factor,
            Fault::None | Fault::FailsFast => relative_speed / step,
        }
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < parameters::BATCH_SIZE {
            let Some(job) = self.waiting.pop_front() else { return };
            self.add_to_batch(job);
        }
    }

    fn add_to_batch(&mut self, job: Job) {
        let is_cached = job.prefix.is_some_and(|prefix| self.look_up_prefix(prefix));
        let prefill = if is_cached { 0.0 } else { job.prefill };
        let response_at = self.progress + (prefill * UNITS_PER_TOKEN) as u64 + 1;
        let end_at = response_at + (job.decode * UNITS_PER_TOKEN) as u64 + 1;
        self.milestones.insert((response_at, job.attempt));
        let slot = Slot { response_at, end_at, is_responding: false, started_at: self.progress };
        self.batch.insert(job.attempt, slot);
    }

    fn look_up_prefix(&mut self, prefix: u64) -> bool {
        let position = self.cached_prefixes.iter().position(|cached| *cached == prefix);
        if let Some(index) = position {
            self.cached_prefixes.remove(index);
        }
        self.cached_prefixes.push_back(prefix);
        if self.cached_prefixes.len() > parameters::CACHED_PREFIXES {
            self.cached_prefixes.pop_front();
        }
        self.cache_hits.0 += u64::from(position.is_some());
        self.cache_hits.1 += 1;
        position.is_some()
    }

    fn on_milestone(&mut self, attempt: u64) -> Progress {
        let slot =
            self.batch.get_mut(&attempt).expect("milestones belong to requests of the batch");
        if !slot.is_responding {
            slot.is_responding = true;
            self.milestones.insert((slot.end_at, attempt));
            return Progress::Started(attempt);
        }
        self.remove(attempt);
        self.capacity =
            (self.capacity + parameters::COLD_GROWTH).min(parameters::BATCH_SIZE as f64);
        Progress::Completed(attempt)
    }

    fn remove(&mut self, attempt: u64) {
        let Some(slot) = self.batch.remove(&attempt) else { return };
        let milestone = if slot.is_responding { slot.end_at } else { slot.response_at };
        self.milestones.remove(&(milestone, attempt));
        let done = self.progress.min(slot.end_at) - slot.started_at;
        *self.work_done.entry(attempt).or_default() += done as f64 / UNITS_PER_TOKEN;
    }

    fn is_overloaded(&self) -> bool {
        let is_cold = self.capacity < parameters::BATCH_SIZE as f64;
        self.request_count() >= parameters::CRASH_REQUESTS
            || (is_cold && self.request_count() as f64 > self.capacity * 1.5)
    }

    fn crash(&mut self, now: clock::Instant) -> Vec<Progress> {
        self.crashes += 1;
        self.down_until = Some(now + parameters::RESTART_TIME);
        self.restart()
    }

    fn fail_all(&mut self) -> Vec<Progress> {
        let mut attempts: Vec<u64> = self.batch.keys().copied().collect();
        for attempt in &attempts {
            self.remove(*attempt);
        }
        attempts.extend(self.waiting.drain(..).map(|job| job.attempt));
        attempts.into_iter().map(Progress::Failed).collect()
    }
}
