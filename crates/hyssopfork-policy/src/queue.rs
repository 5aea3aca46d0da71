//! The queue of one pool in an entry: classes, fairness and admission put together.
//!
//! One queue stands before all upstreams of a pool, so that no request waits behind one upstream
//! while another is free. [`Queue::enqueue`] answers at once whether a request may wait;
//! [`Queue::next`] gives what to start now, and what can no longer be served in time.

use crate::{admission, average, classes, drain, fairness, random};
use hyssopfork_wire::{clock, configuration, name, refusal};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Samples over which the time until an answer begins is averaged.
const BEGIN_SPAN: f64 = 64.0;

/// Time, beside the average itself, after which the average says nothing any more.
///
/// It can refuse everybody, and is corrected only by answers to what was admitted: a few answers
/// that began late, through a pause of the process say, would refuse a class for good. So it is
/// forgotten when no answer has begun for this long, and what comes then tries anew. Long jobs
/// begin seconds apart in any case; an average over [`BEGIN_LEAST`] of them and more lasts longer
/// by itself.
const BEGIN_MEMORY: Duration = drain::MEMORY;

/// Answers after which the average is no accident.
const BEGIN_LEAST: f64 = 8.0;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The entry's number of the request.
    pub request: u64,
    /// Team of the caller.
    pub team: name::Team,
    /// Class of the route.
    pub class: configuration::Class,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// When the answer must have begun.
    pub deadline: clock::Instant,
}

/// What became of a request that asked to wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It waits.
    Queued,
    /// It is refused, and is to be answered at once.
    Refused(refusal::Refusal),
}

/// A request that waited in vain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// The request.
    pub item: Item,
    /// Its refusal, to be answered at once.
    pub refusal: refusal::Refusal,
}

/// What leaves the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Requests to start now, in order.
    pub ready: Vec<Item>,
    /// Requests that can no longer be served in time.
    pub expired: Vec<Expired>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    lane: classes::Lane,
    cost: u32,
    started: clock::Instant,
}

#[derive(Clone, Debug)]
struct Line {
    scheduler: fairness::Scheduler<Item>,
    drain: drain::Drain,
    /// Rates of the teams, each measured while that team waits.
    teams: BTreeMap<name::Team, drain::Drain>,
    begin: average::Average,
    begun: clock::Instant,
}

impl Default for Line {
    fn default() -> Self {
        Line {
            scheduler: fairness::Scheduler::default(),
            drain: drain::Drain::default(),
            teams: BTreeMap::new(),
            begin: average::Average::new(BEGIN_SPAN),
            begun: clock::Instant::ORIGIN,
        }
    }
}

impl Line {
    fn begin(&self, now: clock::Instant) -> Duration {
        let begin = Duration::from_secs_f64(self.begin.get().unwrap_or_default());
        let sound = self.begin.weight() >= BEGIN_LEAST;
        let memory = if sound { BEGIN_MEMORY + begin } else { BEGIN_MEMORY };
        let forgotten = now.since(self.begun) >= memory;
        if forgotten { Duration::ZERO } else { begin }
    }

    fn note_begin(&mut self, now: clock::Instant, elapsed: Duration) {
        if self.begin(now).is_zero() {
            self.begin = average::Average::new(BEGIN_SPAN);
        }
        self.begin.add(elapsed.as_secs_f64());
        self.begun = now;
    }

    /// Estimated wait of an item of `cost` that the team adds now. What waits ahead of it says too
    /// little while other teams, never waiting long, keep taking their turns; then the team's own
    /// rate says more.
    fn wait(&self, team: &name::Team, cost: u32, room: u32) -> Option<Duration> {
        let ahead = self.scheduler.ahead(team, cost);
        let shared = self.drain.time(ahead, room);
        let own = self.scheduler.cost_of(team);
        let drain = self.teams.get(team).filter(|drain| own > 0 && drain.is_measured());
        shared.max(drain.and_then(|drain| drain.time(own, room)))
    }

    fn started(&mut self, now: clock::Instant, team: &name::Team, cost: u32) {
        self.drain.started(now, cost);
        self.teams.entry(team.clone()).or_default().started(now, cost);
    }

    fn returned(&mut self, now: clock::Instant, team: &name::Team, cost: u32) {
        self.drain.returned(now, cost);
        self.teams.entry(team.clone()).or_default().returned(now, cost);
    }

    fn mark(&mut self, now: clock::Instant) {
        self.drain.mark(now, !self.scheduler.is_empty());
        for (team, drain) in &mut self.teams {
            drain.mark(now, self.scheduler.cost_of(team) > 0);
        }
    }
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lines: [Line; classes::LANES],
    classes: classes::Classes,
    waiting: HashMap<u64, (classes::Lane, clock::Instant)>,
    deadlines: BTreeSet<(clock::Instant, u64)>,
    running: HashMap<u64, Running>,
    total: u32,
}

impl Queue {
    /// Sets a team's weight; teams without one have weight 1.
    pub fn weigh(&mut self, team: &name::Team, weight: u32) {
        for line in &mut self.lines {
            line.scheduler.weigh(team, weight);
        }
    }

    /// Takes a request in, or refuses it at once. Call [`Queue::next`] at once after it: only what
    /// still waits then counts as a backlog.
    pub fn enqueue(&mut self, now: clock::Instant, item: Item, random: u64) -> Entered {
        let lane = self.classes.lane(item.class, item.cost);
        self.classes.arrive(now, lane);
        let line = &self.lines[lane.index()];
        let wait = line.wait(&item.team, item.cost, self.total);
        if !admission::fits(now, item.deadline, wait, line.begin(now)) {
            return Entered::Refused(self.refuse(lane, &item, wait, random));
        }
        self.insert(lane, item, false);
        Entered::Queued
    }

    /// Puts a request back at the front of its team's queue, after it was taken and an upstream
    /// refused it before any of it ran. It is not judged again, but expires as before.
    pub fn restore(&mut self, now: clock::Instant, item: Item) {
        if let Some(running) = self.running.remove(&item.request) {
            self.classes.put_back(running.lane);
            self.lines[running.lane.index()].returned(now, &item.team, running.cost);
        }
        let lane = self.classes.lane(item.class, item.cost);
        self.insert(lane, item, true);
    }

    /// Takes what can start in `room`, and what can no longer be served in time.
    pub fn next(&mut self, now: clock::Instant, room: classes::Room, random: u64) -> Batch {
        self.total = room.total;
        let expired = self.expire(now, random);
        let mut ready = Vec::new();
        let mut room = room;
        while let Some(lane) = self.classes.choose(now, room, self.lanes_waiting()) {
            let Some(item) = self.take(now, lane) else { break };
            room.free -= 1;
            ready.push(item);
        }
        self.mark(now);
        Batch { ready, expired }
    }

    /// Takes in that a started request's answer has begun.
    pub fn begun(&mut self, now: clock::Instant, request: u64) {
        if let Some(running) = self.running.get(&request) {
            let elapsed = now.since(running.started);
            self.lines[running.lane.index()].note_begin(now, elapsed);
        }
    }

    /// Takes in that a started request has ended, whichever way.
    pub fn complete(&mut self, now: clock::Instant, request: u64) {
        if let Some(running) = self.running.remove(&request) {
            let elapsed = now.since(running.started);
            self.classes.end(running.lane, elapsed);
            self.lines[running.lane.index()].drain.completed(running.cost, elapsed);
        }
    }

    /// Removes a request that waits, because its caller went away; `None` when it doesn't wait.
    pub fn remove(&mut self, request: u64) -> Option<Item> {
        let (lane, deadline) = self.waiting.remove(&request)?;
        self.deadlines.remove(&(deadline, request));
        let scheduler = &mut self.lines[lane.index()].scheduler;
        scheduler.extract(|item| item.request == request).pop()
    }

    /// When a caller of the class whom the entry refuses for want of an upstream should come back.
    pub fn retry_after(&self, class: configuration::Class, random: u64) -> Duration {
        let lane = match class {
            configuration::Class::Status => classes::Lane::Status,
            configuration::Class::Interactive => classes::Lane::Short,
            configuration::Class::Batch => classes::Lane::Long,
        };
        let line = &self.lines[lane.index()];
        admission::retry_after(line.drain.time(line.scheduler.cost(), self.total), random)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn refuse(
        &self,
        lane: classes::Lane,
        item: &Item,
        wait: Option<Duration>,
        random: u64,
    ) -> refusal::Refusal {
        let line = &self.lines[lane.index()];
        let own = line.scheduler.cost_of(&item.team);
        let reason = if own * 2 > line.scheduler.cost() && line.scheduler.cost() > own {
            refusal::Reason::TeamLimit
        } else {
            refusal::Reason::Overloaded
        };
        admission::refusal(reason, wait, random::mix(random, item.request))
    }

    fn insert(&mut self, lane: classes::Lane, item: Item, front: bool) {
        self.waiting.insert(item.request, (lane, item.deadline));
        self.deadlines.insert((item.deadline, item.request));
        let scheduler = &mut self.lines[lane.index()].scheduler;
        let (team, cost) = (item.team.clone(), item.cost);
        if front {
            scheduler.restore(&team, cost, item);
        } else {
            scheduler.push(&team, cost, item);
        }
    }

    fn take(&mut self, now: clock::Instant, lane: classes::Lane) -> Option<Item> {
        let line = &mut self.lines[lane.index()];
        let item = line.scheduler.pop()?;
        line.started(now, &item.team, item.cost);
        self.classes.start(lane);
        self.waiting.remove(&item.request);
        self.deadlines.remove(&(item.deadline, item.request));
        self.running.insert(item.request, Running { lane, cost: item.cost, started: now });
        Some(item)
    }

    fn expire(&mut self, now: clock::Instant, random: u64) -> Vec<Expired> {
        let mut late = BTreeSet::new();
        let most = self.lines.iter().map(|line| line.begin(now)).max().unwrap_or_default();
        for &(deadline, request) in &self.deadlines {
            if deadline > now + most {
                break;
            }
            let Some((lane, _)) = self.waiting.get(&request) else { continue };
            if deadline <= now + self.lines[lane.index()].begin(now) {
                late.insert(request);
            }
        }
        if late.is_empty() {
            return Vec::new();
        }
        self.drop_late(&late, random)
    }

    fn drop_late(&mut self, late: &BTreeSet<u64>, random: u64) -> Vec<Expired> {
        let mut expired = Vec::new();
        for index in 0..classes::LANES {
            let line = &mut self.lines[index];
            let wait = line.drain.time(line.scheduler.cost(), self.total);
            for item in line.scheduler.extract(|item| late.contains(&item.request)) {
                self.waiting.remove(&item.request);
                self.deadlines.remove(&(item.deadline, item.request));
                let random = random::mix(random, item.request);
                let refusal = admission::refusal(refusal::Reason::Deadline, wait, random);
                expired.push(Expired { item, refusal });
            }
        }
        expired
    }

    fn lanes_waiting(&self) -> [bool; classes::LANES] {
        std::array::from_fn(|index| !self.lines[index].scheduler.is_empty())
    }

    fn mark(&mut self, now: clock::Instant) {
        for line in &mut self.lines {
            line.mark(now);
        }
    }
}
