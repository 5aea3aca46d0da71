//! Scheduling of requests when there is too little capacity: who is served first, and who waits.
//!
//! A request that finds all groups of its model full is queued at the entry while it can still be
//! on time. The order is by rank, then between teams by the work that they have used, then by the
//! time that is left. A request that could no longer be on time is never queued: it would take a
//! place from one that can.

use crate::request;
use hyssopfork_policy::ewma;
use hyssopfork_wire::{clock, name};
use std::cmp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of queued requests of a process.
pub const MAX_QUEUED_REQUESTS: usize = 64;

/// Maximum size of the bodies of all queued requests of a process.
pub const MAX_QUEUED_BYTES: u64 = 8 << 20;

/// Divisor of the time that a client has left: its request is queued at most that long.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// Divisor of the objective that gives the time by which a queued request has to be early. Without
/// it, requests would be sent when their time just suffices, and be late for any small delay.
const MARGIN_DIVISOR: u32 = 10;

/// One in so many places goes to the request that has waited longest, whatever its rank.
pub const STARVATION_INTERVAL: u32 = 10;

/// Half-life of the work that a team has used. It covers several requests of a usual duration, so
/// that teams share the capacity and not only the moments at which a place becomes free.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Work, in seconds of a full group, below which a team's usage is forgotten.
const MIN_USAGE: f64 = 1e-6;

/// Responses over which the time to the first event is averaged.
const FIRST_EVENT_SPAN: f64 = 32.0;

/// Responses from which that average is used. No request is queued before.
pub const MIN_FIRST_EVENT_SAMPLES: f64 = 4.0;

/// Priority at an upstream of a stream that continues: its client already receives it.
const CONTINUED_PRIORITY: u8 = 1;

/// Priority at an upstream of a new request of the most urgent rank.
const NEW_PRIORITY: u8 = 3;

/// Ranks below the most urgent one that upstreams distinguish.
const MAX_UPSTREAM_RANK: u32 = 3;

/// Progress of a request that is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The client receives the stream, which another upstream has begun.
    Continued,
    /// The client states that it has received a part of the stream, which this process can't
    /// verify.
    Resumed,
    /// No part of the response has been sent.
    New,
}

/// Priority of a request among those that wait at its upstream, 0 for the first.
///
/// A stream that a client resumes precedes others as a request of the most urgent rank does and no
/// more, since any client can state that it resumes one. A request that will be late has the priority of
/// its rank: it is accepted only where capacity is left over, and behind all others it would wait at a
/// busy upstream until its client gives up.
pub fn upstream_priority(progress: Progress, rank: u32) -> u8 {
    match progress {
        Progress::Continued => CONTINUED_PRIORITY,
        Progress::Resumed => NEW_PRIORITY,
        Progress::New => NEW_PRIORITY + rank.min(MAX_UPSTREAM_RANK) as u8,
    }
}

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Pool and model.
    pub kind: request::Kind,
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Team of the client.
    pub team: Option<name::Team>,
    /// Expected work, in seconds of a full group.
    pub work: f64,
    /// Size of the body.
    pub bytes: u64,
    /// When it was queued.
    pub queued_at: clock::Instant,
    /// Latest time at which it has to be sent in order to be on time.
    pub send_by: clock::Instant,
}

/// A request whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Next {
    /// Number of the request.
    pub number: u64,
    /// Whether it is its turn because it has waited longest, so that it leaves nothing to more
    /// urgent ones.
    pub is_oldest: bool,
}

/// Why a request left the queue without a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No place became free in time.
    Timeout,
    /// Requests that precede it, or lost capacity, leave no place in time.
    Overtaken,
    /// A more urgent request, or one of a team with fewer requests, took its place in the queue.
    Displaced,
}

/// Whether a request was queued.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It was queued.
    Queued,
    /// It was queued in place of this request, which was removed.
    Displaced(u64, Box<Item>),
    /// The queue is full.
    Full,
}

/// Pool, model and team whose work is summed up.
type Account = (request::Kind, Option<name::Team>);

/// Work that each team has used.
type Usages<'a> = BTreeMap<&'a Option<name::Team>, f64>;

/// Work that a team has used, in seconds of a full group.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    work: f64,
    updated_at: clock::Instant,
}

impl Usage {
    fn get(self, now: clock::Instant) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / USAGE_HALF_LIFE.as_secs_f64();
        self.work * 0.5_f64.powf(half_lives)
    }

    fn add(&mut self, now: clock::Instant, work: f64) {
        *self = Usage { work: (self.get(now) + work).max(0.0), updated_at: now };
    }
}

/// Queue of an entry for all pools and models.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: BTreeMap<u64, Item>,
    bytes: u64,
    usages: BTreeMap<Account, Usage>,
    /// Expected work of each request in flight, which its team's usage contains.
    in_flight: BTreeMap<u64, (Account, f64)>,
    /// Number of releases for each pool and model.
    releases: BTreeMap<request::Kind, u32>,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The queued request with this number.
    pub fn get(&self, number: u64) -> Option<&Item> {
        self.items.get(&number)
    }

    /// Pools and models with queued requests.
    pub fn kinds(&self) -> BTreeSet<request::Kind> {
        self.items.values().map(|item| item.kind.clone()).collect()
    }

    /// Queues a request. If the queue is full, a less urgent one gives way, or one of a team that
    /// has more requests in the queue.
    pub fn push(&mut self, number: u64, item: Item) -> Admission {
        let is_full = self.items.len() >= MAX_QUEUED_REQUESTS;
        if !is_full && self.bytes + item.bytes <= MAX_QUEUED_BYTES {
            self.insert(number, item);
            return Admission::Queued;
        }
        let Some(victim) = self.find_victim(&item) else { return Admission::Full };
        let Some(removed) = self.remove(victim) else { return Admission::Full };
        if self.bytes + item.bytes > MAX_QUEUED_BYTES {
            self.insert(victim, removed);
            return Admission::Full;
        }
        self.insert(number, item);
        Admission::Displaced(victim, Box::new(removed))
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) -> Option<Item> {
        let item = self.items.remove(&number)?;
        self.bytes -= item.bytes;
        Some(item)
    }

    /// Removes a request that got a place.
    pub fn release(&mut self, number: u64) -> Option<Item> {
        let item = self.remove(number)?;
        let count = self.releases.entry(item.kind.clone()).or_default();
        *count = count.wrapping_add(1) % STARVATION_INTERVAL;
        Some(item)
    }

    /// The request of the pool and model that gets the next place, among those that can be on time.
    pub fn next(&self, now: clock::Instant, kind: &request::Kind) -> Option<Next> {
        let releases = self.releases.get(kind).copied().unwrap_or_default();
        next(self.on_time(now, kind), &self.usages(now, kind), releases)
    }

    /// The queued requests of the pool and model that can be on time, in the order in which they
    /// will get a place.
    pub fn order(&self, now: clock::Instant, kind: &request::Kind) -> Vec<u64> {
        let mut left: BTreeMap<u64, &Item> = self.on_time(now, kind).collect();
        let mut usages = self.usages(now, kind);
        let mut releases = self.releases.get(kind).copied().unwrap_or_default();
        let mut order = Vec::with_capacity(left.len());
        loop {
            let items = left.iter().map(|(number, item)| (*number, *item));
            let Some(next) = next(items, &usages, releases) else { return order };
            let Some(item) = left.remove(&next.number) else { return order };
            *usages.entry(&item.team).or_default() += item.work;
            releases = (releases + 1) % STARVATION_INTERVAL;
            order.push(next.number);
        }
    }

    /// Adds the expected work of a request that was sent to the usage of its team.
    pub fn on_sent(
        &mut self,
        now: clock::Instant,
        number: u64,
        account: (request::Kind, Option<name::Team>),
        work: f64,
    ) {
        self.usages.entry(account.clone()).or_default().add(now, work);
        self.in_flight.insert(number, (account, work));
    }

    /// Replaces the expected work of a request by the work that its attempt has used.
    pub fn on_ended(&mut self, now: clock::Instant, number: u64, work: f64) {
        let Some((account, expected)) = self.in_flight.remove(&number) else { return };
        self.usages.entry(account).or_default().add(now, work - expected);
    }

    /// Forgets teams that have used nothing lately.
    pub fn expire(&mut self, now: clock::Instant) {
        self.usages.retain(|_, usage| usage.get(now) >= MIN_USAGE);
    }

    fn insert(&mut self, number: u64, item: Item) {
        self.bytes += item.bytes;
        self.items.insert(number, item);
    }

    /// Work that the teams with queued requests of the pool and model have used.
    fn usages(&self, now: clock::Instant, kind: &request::Kind) -> Usages<'_> {
        let mut usages = Usages::new();
        for item in self.items.values().filter(|item| item.kind == *kind) {
            usages.entry(&item.team).or_insert_with(|| {
                let usage = self.usages.get(&(kind.clone(), item.team.clone()));
                usage.map_or(0.0, |usage| usage.get(now))
            });
        }
        usages
    }

    fn on_time<'a>(
        &'a self,
        now: clock::Instant,
        kind: &'a request::Kind,
    ) -> impl Iterator<Item = (u64, &'a Item)> + Clone {
        let items = self.items.iter().map(|(number, item)| (*number, item));
        items.filter(move |(_, item)| item.kind == *kind && item.send_by >= now)
    }

    /// The request that gives way to this one: the least urgent one, of the team with the most
    /// queued requests, with the most time left.
    fn find_victim(&self, item: &Item) -> Option<u64> {
        let mut counts: BTreeMap<&Option<name::Team>, usize> = BTreeMap::new();
        for queued in self.items.values() {
            *counts.entry(&queued.team).or_default() += 1;
        }
        let count = |team: &Option<name::Team>| counts.get(team).copied().unwrap_or_default();
        let (number, last) = self.items.iter().max_by_key(|(number, queued)| {
            (queued.rank, count(&queued.team), queued.send_by, **number)
        })?;
        let is_of_larger_team = count(&last.team) > count(&item.team) + 1;
        let gives_way = last.rank > item.rank || (last.rank == item.rank && is_of_larger_team);
        gives_way.then_some(*number)
    }
}

/// The next of these requests, after this number of releases.
fn next<'a>(
    items: impl Iterator<Item = (u64, &'a Item)>,
    usages: &Usages<'_>,
    releases: u32,
) -> Option<Next> {
    if (releases + 1).is_multiple_of(STARVATION_INTERVAL) {
        let oldest = items.min_by_key(|(number, item)| (item.queued_at, *number));
        return oldest.map(|(number, _)| Next { number, is_oldest: true });
    }
    let usage = |item: &Item| usages.get(&item.team).copied().unwrap_or_default();
    let first = items.map(|(number, item)| (number, item, usage(item))).min_by(
        |(left_number, left, left_usage), (right_number, right, right_usage)| {
            let by_slack = || (left.send_by, left_number).cmp(&(right.send_by, right_number));
            left.rank
                .cmp(&right.rank)
                .then_with(|| left_usage.total_cmp(right_usage))
                .then_with(by_slack)
        },
    );
    first.map(|(number, ..)| Next { number, is_oldest: false })
}

/// Rate at which places become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Requests that the groups complete per second, for all entries together.
    pub throughput: f64,
    /// Number of entries.
    pub entries: usize,
}

impl Capacity {
    /// Time until this many queued requests of this entry have got a place. Each of the other
    /// entries is assumed to queue as many.
    pub fn time_for(self, requests: usize) -> Duration {
        let places = (requests * self.entries.max(1)) as f64;
        Duration::try_from_secs_f64(places / self.throughput.max(0.0)).unwrap_or(Duration::MAX)
    }
}

/// Typical time from the start of an attempt to the first event, at a group that is not full.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventTime {
    mean: ewma::Ewma,
    deviation: ewma::Ewma,
}

impl Default for FirstEventTime {
    fn default() -> FirstEventTime {
        let empty = ewma::Ewma::new(FIRST_EVENT_SPAN);
        FirstEventTime { mean: empty, deviation: empty }
    }
}

impl FirstEventTime {
    /// Adds the time of a response.
    pub fn add(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if let Some(mean) = self.mean.mean() {
            self.deviation.add((time - mean).abs());
        }
        self.mean.add(time);
    }

    /// Time within which most responses begin: the mean and the mean deviation; `None` before there
    /// are enough samples.
    pub fn get(&self) -> Option<Duration> {
        let mean = self.mean.mean().filter(|_| self.mean.sample_count() >= MIN_FIRST_EVENT_SAMPLES);
        let seconds = mean? + self.deviation.mean().unwrap_or_default();
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Latest time at which a request has to be sent: so that it is on time by a margin, and before it
/// has waited a quarter of the time that its client has left. `None` if that is over.
pub fn send_by(
    now: clock::Instant,
    request: &request::Request,
    first_event: Duration,
) -> Option<clock::Instant> {
    let margin = request.objective / MARGIN_DIVISOR;
    let slack = now.until(request.on_time_until).checked_sub(first_event + margin)?;
    let max_wait = now.until(request.deadline) / QUEUE_TIME_DIVISOR;
    Some(now + cmp::min(slack, max_wait)).filter(|time| *time > now)
}
