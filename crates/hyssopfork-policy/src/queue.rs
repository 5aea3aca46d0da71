//! Request queue of one pool in an entry process: combines priority lanes, fair queueing and
//! admission control.
//!
//! One queue serves all upstreams of a pool, so that no request waits for one upstream while
//! another is free. [`Queue::enqueue`] decides at once whether a request may wait;
//! [`Queue::dispatch`] returns the requests to start now, and those that can no longer be served in
//! time.

use crate::{admission, classes, ewma, fairness, random, throughput};
use hyssopfork_wire::{clock, configuration, name, refusal};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Samples over which the time to the start of a response is averaged.
const START_LATENCY_SPAN: f64 = 64.0;

/// Time, beside the average itself, after which the average is stale.
///
/// The average can cause every request to be rejected, and only responses to admitted requests
/// correct it: a few responses that started late, for example through a pause of the process, would
/// reject a class permanently. So it is discarded when no response has started for this long, and
/// the next requests are admitted. Long jobs start seconds apart in any case; an average over
/// [`MIN_START_LATENCY_SAMPLES`] of them or more is kept longer, by the average itself.
const START_LATENCY_TTL: Duration = throughput::MIN_DECAY;

/// Samples from which the average is reliable.
const MIN_START_LATENCY_SAMPLES: f64 = 8.0;

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Number of the request in the entry process.
    pub request: u64,
    /// Team of the client.
    pub team: name::Team,
    /// Class of the route.
    pub class: configuration::Class,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Time by which the response must have started.
    pub deadline: clock::Instant,
}

/// Admission decision for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request waits.
    Queued,
    /// The request is rejected; the client is to be answered at once.
    Rejected(refusal::Refusal),
}

/// A request that can no longer be served in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expired {
    /// The request.
    pub item: Item,
    /// Its rejection; the client is to be answered at once.
    pub rejection: refusal::Refusal,
}

/// Requests that leave the queue.
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
    started_at: clock::Instant,
}

#[derive(Clone, Debug)]
struct LaneQueue {
    scheduler: fairness::Scheduler<Item>,
    throughput: throughput::Throughput,
    /// Throughput of each team, measured while the team has a backlog.
    team_throughputs: BTreeMap<name::Team, throughput::Throughput>,
    start_latency: ewma::Ewma,
    last_start_at: clock::Instant,
}

impl Default for LaneQueue {
    fn default() -> Self {
        LaneQueue {
            scheduler: fairness::Scheduler::default(),
            throughput: throughput::Throughput::default(),
            team_throughputs: BTreeMap::new(),
            start_latency: ewma::Ewma::new(START_LATENCY_SPAN),
            last_start_at: clock::Instant::ORIGIN,
        }
    }
}

impl LaneQueue {
    fn start_latency(&self, now: clock::Instant) -> Duration {
        let latency = Duration::from_secs_f64(self.start_latency.mean().unwrap_or_default());
        let is_reliable = self.start_latency.sample_count() >= MIN_START_LATENCY_SAMPLES;
        let ttl = if is_reliable { START_LATENCY_TTL + latency } else { START_LATENCY_TTL };
        let is_expired = now.since(self.last_start_at) >= ttl;
        if is_expired { Duration::ZERO } else { latency }
    }

    fn record_start_latency(&mut self, now: clock::Instant, elapsed: Duration) {
        if self.start_latency(now).is_zero() {
            self.start_latency = ewma::Ewma::new(START_LATENCY_SPAN);
        }
        self.start_latency.add(elapsed.as_secs_f64());
        self.last_start_at = now;
    }

    /// Estimated wait of an item of `cost` that the team adds now. The cost ahead of it gives too
    /// short a wait while other teams, whose requests never wait long, keep taking turns; then the
    /// team's own throughput gives the better estimate.
    fn estimate_wait(&self, team: &name::Team, cost: u32, slots: u32) -> Option<Duration> {
        let ahead = self.scheduler.cost_ahead(team, cost);
        let shared = self.throughput.time_to_serve(ahead, slots);
        let own = self.scheduler.team_cost(team);
        let throughput = self
            .team_throughputs
            .get(team)
            .filter(|throughput| own > 0 && throughput.is_measured());
        shared.max(throughput.and_then(|throughput| throughput.time_to_serve(own, slots)))
    }

    fn on_start(&mut self, now: clock::Instant, team: &name::Team, cost: u32) {
        self.throughput.on_start(now, cost);
        self.team_throughputs.entry(team.clone()).or_default().on_start(now, cost);
    }

    fn on_requeue(&mut self, now: clock::Instant, team: &name::Team, cost: u32) {
        self.throughput.on_requeue(now, cost);
        self.team_throughputs.entry(team.clone()).or_default().on_requeue(now, cost);
    }

    fn update_backlog(&mut self, now: clock::Instant) {
        self.throughput.set_backlogged(now, !self.scheduler.is_empty());
        for (team, throughput) in &mut self.team_throughputs {
            throughput.set_backlogged(now, self.scheduler.team_cost(team) > 0);
        }
    }
}

/// The queue.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: [LaneQueue; classes::LANE_COUNT],
    allocator: classes::Allocator,
    waiting: HashMap<u64, (classes::Lane, clock::Instant)>,
    deadlines: BTreeSet<(clock::Instant, u64)>,
    running: HashMap<u64, Running>,
    total_slots: u32,
}

impl Queue {
    /// Sets a team's weight; the default is 1.
    pub fn set_weight(&mut self, team: &name::Team, weight: u32) {
        for lane_queue in &mut self.lanes {
            lane_queue.scheduler.set_weight(team, weight);
        }
    }

    /// Queues a request, or rejects it at once. Call [`Queue::dispatch`] right after it: only what
    /// still waits then counts as a backlog.
    pub fn enqueue(&mut self, now: clock::Instant, item: Item, random: u64) -> Admission {
        let lane = self.allocator.classify(item.class, item.cost);
        self.allocator.on_arrival(now, lane);
        let lane_queue = &self.lanes[lane.index()];
        let wait = lane_queue.estimate_wait(&item.team, item.cost, self.total_slots);
        if !admission::fits_deadline(now, item.deadline, wait, lane_queue.start_latency(now)) {
            return Admission::Rejected(self.reject(lane, &item, wait, random));
        }
        self.insert(lane, item, false);
        Admission::Queued
    }

    /// Puts a dispatched request back at the front of its team's queue, after an upstream rejected
    /// it before any of it ran. It is not subject to admission again, but expires as before.
    pub fn requeue(&mut self, now: clock::Instant, item: Item) {
        if let Some(running) = self.running.remove(&item.request) {
            self.allocator.undo_start(running.lane);
            self.lanes[running.lane.index()].on_requeue(now, &item.team, running.cost);
        }
        let lane = self.allocator.classify(item.class, item.cost);
        self.insert(lane, item, true);
    }

    /// Removes the requests that can start within `capacity`, and those that can no longer be
    /// served in time.
    pub fn dispatch(
        &mut self,
        now: clock::Instant,
        capacity: classes::Capacity,
        random: u64,
    ) -> Batch {
        self.total_slots = capacity.total;
        let expired = self.expire(now, random);
        let mut ready = Vec::new();
        let mut capacity = capacity;
        while let Some(lane) = self.allocator.choose_lane(now, capacity, self.waiting_lanes()) {
            let Some(item) = self.dequeue(now, lane) else { break };
            capacity.free -= 1;
            ready.push(item);
        }
        self.update_backlog(now);
        Batch { ready, expired }
    }

    /// Records that the response to a dispatched request has started.
    pub fn on_response_started(&mut self, now: clock::Instant, request: u64) {
        if let Some(running) = self.running.get(&request) {
            let elapsed = now.since(running.started_at);
            self.lanes[running.lane.index()].record_start_latency(now, elapsed);
        }
    }

    /// Records that a dispatched request has ended, with any outcome.
    pub fn on_request_ended(&mut self, now: clock::Instant, request: u64) {
        if let Some(running) = self.running.remove(&request) {
            let elapsed = now.since(running.started_at);
            self.allocator.on_end(running.lane, elapsed);
            self.lanes[running.lane.index()].throughput.on_completion(running.cost, elapsed);
        }
    }

    /// Removes a waiting request whose client has disconnected; `None` if it doesn't wait.
    pub fn remove(&mut self, request: u64) -> Option<Item> {
        let (lane, deadline) = self.waiting.remove(&request)?;
        self.deadlines.remove(&(deadline, request));
        let scheduler = &mut self.lanes[lane.index()].scheduler;
        scheduler.extract_if(|item| item.request == request).pop()
    }

    /// Retry-after time for a client of `class` whose request the entry process rejects for lack of
    /// an upstream.
    pub fn retry_after(&self, class: configuration::Class, random: u64) -> Duration {
        let lane = match class {
            configuration::Class::Status => classes::Lane::Status,
            configuration::Class::Interactive => classes::Lane::Short,
            configuration::Class::Batch => classes::Lane::Long,
        };
        let lane_queue = &self.lanes[lane.index()];
        admission::retry_after(
            lane_queue.throughput.time_to_serve(lane_queue.scheduler.cost(), self.total_slots),
            random,
        )
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn reject(
        &self,
        lane: classes::Lane,
        item: &Item,
        wait: Option<Duration>,
        random: u64,
    ) -> refusal::Refusal {
        let lane_queue = &self.lanes[lane.index()];
        let team_cost = lane_queue.scheduler.team_cost(&item.team);
        let reason = if team_cost * 2 > lane_queue.scheduler.cost()
            && lane_queue.scheduler.cost() > team_cost
        {
            refusal::Reason::TeamLimit
        } else {
            refusal::Reason::Overloaded
        };
        admission::rejection(reason, wait, random::mix(random, item.request))
    }

    fn insert(&mut self, lane: classes::Lane, item: Item, front: bool) {
        self.waiting.insert(item.request, (lane, item.deadline));
        self.deadlines.insert((item.deadline, item.request));
        let scheduler = &mut self.lanes[lane.index()].scheduler;
        let (team, cost) = (item.team.clone(), item.cost);
        if front {
            scheduler.push_front(&team, cost, item);
        } else {
            scheduler.push(&team, cost, item);
        }
    }

    fn dequeue(&mut self, now: clock::Instant, lane: classes::Lane) -> Option<Item> {
        let lane_queue = &mut self.lanes[lane.index()];
        let item = lane_queue.scheduler.pop()?;
        lane_queue.on_start(now, &item.team, item.cost);
        self.allocator.on_start(lane);
        self.waiting.remove(&item.request);
        self.deadlines.remove(&(item.deadline, item.request));
        self.running.insert(item.request, Running { lane, cost: item.cost, started_at: now });
        Some(item)
    }

    fn expire(&mut self, now: clock::Instant, random: u64) -> Vec<Expired> {
        let mut late = BTreeSet::new();
        let max_start_latency = self
            .lanes
            .iter()
            .map(|lane_queue| lane_queue.start_latency(now))
            .max()
            .unwrap_or_default();
        for &(deadline, request) in &self.deadlines {
            if deadline > now + max_start_latency {
                break;
            }
            let Some((lane, _)) = self.waiting.get(&request) else { continue };
            if deadline <= now + self.lanes[lane.index()].start_latency(now) {
                late.insert(request);
            }
        }
        if late.is_empty() {
            return Vec::new();
        }
        self.remove_late(&late, random)
    }

    fn remove_late(&mut self, late: &BTreeSet<u64>, random: u64) -> Vec<Expired> {
        let mut expired = Vec::new();
        for index in 0..classes::LANE_COUNT {
            let lane_queue = &mut self.lanes[index];
            let wait =
                lane_queue.throughput.time_to_serve(lane_queue.scheduler.cost(), self.total_slots);
            for item in lane_queue.scheduler.extract_if(|item| late.contains(&item.request)) {
                self.waiting.remove(&item.request);
                self.deadlines.remove(&(item.deadline, item.request));
                let random = random::mix(random, item.request);
                let rejection = admission::rejection(refusal::Reason::Deadline, wait, random);
                expired.push(Expired { item, rejection });
            }
        }
        expired
    }

    fn waiting_lanes(&self) -> [bool; classes::LANE_COUNT] {
        std::array::from_fn(|index| !self.lanes[index].scheduler.is_empty())
    }

    fn update_backlog(&mut self, now: clock::Instant) {
        for lane_queue in &mut self.lanes {
            lane_queue.update_backlog(now);
        }
    }
}
