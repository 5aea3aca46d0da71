//! An upstream that batches continuously: all requests of its batch advance at the same pace, which
//! falls as the batch grows.

use crate::figures;
use hyssopfork_wire::clock;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Virtual work is counted in millionths of a token, so that runs are exact.
const SCALE: f64 = 1e6;

/// A request as the upstream sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: u64,
    /// Work before the answer begins, in tokens.
    pub prefill: f64,
    /// Work from there to the answer's end, in tokens.
    pub decode: f64,
    /// Prompt prefix, which saves the prefill when it is cached.
    pub prefix: Option<u64>,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// Its answer began.
    Begun(u64),
    /// Its answer ended.
    Ended(u64),
    /// It failed.
    Failed(u64),
}

/// What is wrong with an upstream.
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
    begin: u64,
    end: u64,
    begun: bool,
    start: u64,
}

/// The upstream.
#[derive(Clone, Debug)]
pub struct Engine {
    progress: u64,
    updated: clock::Instant,
    batch: BTreeMap<u64, Slot>,
    marks: BTreeSet<(u64, u64)>,
    waiting: VecDeque<Job>,
    cache: VecDeque<u64>,
    bears: f64,
    fault: Fault,
    down_until: Option<clock::Instant>,
    /// Crashes so far.
    pub crashes: u32,
    /// Work done so far for attempts that have left, in tokens.
    pub spent: BTreeMap<u64, f64>,
    /// Prompts found cached, and all prompts with a prefix.
    pub hits: (u64, u64),
}

impl Engine {
    /// An upstream that is warm, or cold.
    pub fn new(warm: bool) -> Engine {
        Engine {
            progress: 0,
            updated: clock::Instant::ORIGIN,
            batch: BTreeMap::new(),
            marks: BTreeSet::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            bears: if warm { figures::BATCH as f64 } else { figures::COLD_BEARS },
            fault: Fault::None,
            down_until: None,
            crashes: 0,
            spent: BTreeMap::new(),
            hits: (0, 0),
        }
    }

    /// Whether it answers at all.
    pub fn is_up(&self, now: clock::Instant) -> bool {
        self.down_until.is_none_or(|until| now >= until)
    }

    /// Requests inside it.
    pub fn load(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Sets what is wrong with it. Call [`Engine::wake`] before.
    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    /// Turns it cold without a word: its process was replaced. What ran fails.
    pub fn restart(&mut self) -> Vec<Note> {
        self.bears = figures::COLD_BEARS;
        self.cache.clear();
        self.fail_all()
    }

    /// Takes a request in. Call [`Engine::wake`] before.
    pub fn start(&mut self, now: clock::Instant, job: Job) -> Vec<Note> {
        if !self.is_up(now) || self.fault == Fault::FailsFast {
            return vec![Note::Failed(job.attempt)];
        }
        self.waiting.push_back(job);
        self.fill();
        if self.tips_over() { self.crash(now) } else { Vec::new() }
    }

    /// Drops a request. Call [`Engine::wake`] before.
    pub fn cancel(&mut self, attempt: u64) {
        self.waiting.retain(|job| job.attempt != attempt);
        self.leave(attempt);
        self.fill();
    }

    /// Advances to `now` and tells what has happened.
    pub fn wake(&mut self, now: clock::Instant) -> Vec<Note> {
        let passed = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.progress += (passed * self.speed() * SCALE).round() as u64;
        let mut notes = Vec::new();
        while let Some(&(mark, attempt)) = self.marks.first() {
            if mark > self.progress {
                break;
            }
            self.marks.pop_first();
            notes.push(self.passed(attempt));
        }
        self.fill();
        notes
    }

    /// When to wake it next; `None` when nothing will happen by itself.
    pub fn next(&self) -> Option<clock::Instant> {
        let &(mark, _) = self.marks.first()?;
        let speed = self.speed();
        if speed <= 0.0 {
            return None;
        }
        let left = mark.saturating_sub(self.progress) as f64 / SCALE;
        Some(self.updated + Duration::from_micros((left / speed * 1e6).ceil() as u64 + 1))
    }

    /// Tokens a second for each request of the batch.
    fn speed(&self) -> f64 {
        let batch = self.batch.len() as f64;
        let step = figures::STEP.as_secs_f64() + figures::STEP_EACH.as_secs_f64() * batch;
        let warmth = self.bears / figures::BATCH as f64;
        let warm = figures::COLD_SPEED + (1.0 - figures::COLD_SPEED) * warmth;
        match self.fault {
            Fault::Stalled => 0.0,
            Fault::Slow(factor) => warm / step / factor,
            Fault::None | Fault::FailsFast => warm / step,
        }
    }

    fn fill(&mut self) {
        while self.batch.len() < figures::BATCH {
            let Some(job) = self.waiting.pop_front() else { return };
            self.run(job);
        }
    }

    fn run(&mut self, job: Job) {
        let cached = job.prefix.is_some_and(|prefix| self.look_up(prefix));
        let prefill = if cached { 0.0 } else { job.prefill };
        let begin = self.progress + (prefill * SCALE) as u64 + 1;
        let end = begin + (job.decode * SCALE) as u64 + 1;
        self.marks.insert((begin, job.attempt));
        let slot = Slot { begin, end, begun: false, start: self.progress };
        self.batch.insert(job.attempt, slot);
    }

    fn look_up(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|held| *held == prefix);
        if let Some(place) = found {
            self.cache.remove(place);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > figures::PREFIXES {
            self.cache.pop_front();
        }
        self.hits.0 += u64::from(found.is_some());
        self.hits.1 += 1;
        found.is_some()
    }

    fn passed(&mut self, attempt: u64) -> Note {
        let slot = self.batch.get_mut(&attempt).expect("marks are of the batch");
        if !slot.begun {
            slot.begun = true;
            self.marks.insert((slot.end, attempt));
            return Note::Begun(attempt);
        }
        self.leave(attempt);
        self.bears = (self.bears + figures::COLD_GROWTH).min(figures::BATCH as f64);
        Note::Ended(attempt)
    }

    fn leave(&mut self, attempt: u64) {
        let Some(slot) = self.batch.remove(&attempt) else { return };
        let mark = if slot.begun { slot.end } else { slot.begin };
        self.marks.remove(&(mark, attempt));
        let spent = self.progress.min(slot.end) - slot.start;
        *self.spent.entry(attempt).or_default() += spent as f64 / SCALE;
    }

    fn tips_over(&self) -> bool {
        let cold = self.bears < figures::BATCH as f64;
        self.load() >= figures::CRASH || (cold && self.load() as f64 > self.bears * 1.5)
    }

    fn crash(&mut self, now: clock::Instant) -> Vec<Note> {
        self.crashes += 1;
        self.down_until = Some(now + figures::RESTART);
        self.restart()
    }

    fn fail_all(&mut self) -> Vec<Note> {
        let mut attempts: Vec<u64> = self.batch.keys().copied().collect();
        for attempt in &attempts {
            self.leave(*attempt);
        }
        attempts.extend(self.waiting.drain(..).map(|job| job.attempt));
        attempts.into_iter().map(Note::Failed).collect()
    }
}
