//! The choice of an upstream in an entry: balance, affinity, ejection, limits and evacuation put
//! together for one pool.
//!
//! [`Chooser::room`] says how much work may start, [`Chooser::pick`] where a piece of it goes.
//! Between them and the upstreams' agents, which alone can refuse for sure, stand late reports;
//! an agent's refusal "not run" is the correction.

use crate::{affinity, balance, classes, ejection, evacuation, limit, ramp};
use hyssopfork_wire::{attempt, clock, frame, name, refusal};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Time between two comparisons of the upstreams with each other.
const JUDGEMENT: Duration = Duration::from_millis(100);

/// An upstream that work may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its instance: for a group the first member.
    pub instance: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Pieces of work that it bears at once when warm, as announced.
    pub concurrency: u32,
}

/// What a piece of work asks of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Zone of the entry.
    pub zone: &'a name::Zone,
    /// Hash of the prompt prefix, where there is one.
    pub prefix: Option<u64>,
    /// Upstreams that must not be chosen: they were tried already.
    pub excluded: &'a [name::Instance],
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered in full.
    Answered,
    /// Refused before any of it ran.
    Refused(refusal::Reason),
    /// The upstream failed, broke off or could not be reached.
    Failed,
    /// Ended for a reason that says nothing of the upstream.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    load: balance::Load,
    limit: limit::Limit,
    record: ejection::Record,
    /// Attempts in flight.
    flying: BTreeMap<attempt::Identifier, Flying>,
    /// Present while the upstream returns from an ejection.
    ramp: Option<ramp::Ramp>,
}

#[derive(Clone, Copy, Debug)]
struct Flying {
    sent: clock::Instant,
    cost: u32,
    /// Whether its answer has begun.
    begun: bool,
}

#[derive(Clone, Debug)]
struct Running {
    instance: name::Instance,
    begun: clock::Instant,
    cost: u32,
}

/// The upstreams of one pool as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Chooser {
    entries: Vec<Entry>,
    index: BTreeMap<name::Instance, usize>,
    attempts: HashMap<attempt::Identifier, Running>,
    holders: affinity::Holders,
    evacuation: evacuation::Evacuation,
    judged: clock::Instant,
}

impl Chooser {
    /// Adds an upstream, or takes in what changed of it. A new one is trusted with little until
    /// its agent's first report.
    pub fn insert(&mut self, now: clock::Instant, upstream: Upstream) {
        if let Some(&index) = self.index.get(&upstream.instance) {
            self.entries[index].upstream = upstream;
            return;
        }
        self.index.insert(upstream.instance.clone(), self.entries.len());
        self.entries.push(Entry {
            load: balance::Load::default(),
            limit: limit::Limit::new(upstream.concurrency),
            record: ejection::Record::new(now),
            flying: BTreeMap::new(),
            ramp: None,
            upstream,
        });
    }

    /// Removes an upstream. Attempts on it may still end.
    pub fn remove(&mut self, instance: &name::Instance) {
        let Some(index) = self.index.remove(instance) else { return };
        self.entries.swap_remove(index);
        if let Some(moved) = self.entries.get(index) {
            self.index.insert(moved.upstream.instance.clone(), index);
        }
        self.holders.forget(instance);
    }

    /// Upstreams that are known.
    pub fn instances(&self) -> impl Iterator<Item = &name::Instance> {
        self.index.keys()
    }

    /// Takes in whether a zone is out.
    pub fn set_zone(&mut self, zone: &name::Zone, out: bool) {
        if !self.evacuation.set(zone, out) {
            return;
        }
        for entry in self.entries.iter_mut().filter(|entry| entry.upstream.zone == *zone) {
            entry.load.distrust();
        }
    }

    /// Takes in a load report of an agent.
    pub fn report(&mut self, now: clock::Instant, instance: &name::Instance, load: frame::Load) {
        let Some(entry) = self.entry(instance) else { return };
        entry.load.report(now, load);
        entry.record.heard(now);
    }

    /// Takes in a cache event: the upstream holds a prompt prefix now, or has dropped it.
    pub fn cached(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        prefix: u64,
        held: bool,
    ) {
        self.holders.event(now, instance, prefix, held);
    }

    /// Forgets what cache events of an upstream told: there was a gap, or it turned cold.
    pub fn uncached(&mut self, instance: &name::Instance) {
        self.holders.forget(instance);
    }

    /// Work that the upstreams have room for. What other entries hold, and their part of what is
    /// free, is no room of this one: shares of a total that counted it would never bind.
    pub fn room(&self, now: clock::Instant) -> classes::Room {
        let (mut own, mut others, mut free) = (0, 0.0, 0);
        for entry in &self.entries {
            let bound = self.bound(now, entry);
            own += entry.load.own;
            others += entry.load.others(now);
            free += entry.load.free(now, bound);
        }
        let part = f64::from(own + 1) / (f64::from(own + 1) + others);
        classes::Room { free, total: own + (f64::from(free) * part).ceil() as u32 }
    }

    /// Chooses an upstream with room; `None` when there is none.
    pub fn pick(
        &mut self,
        now: clock::Instant,
        want: Want<'_>,
        random: u64,
    ) -> Option<name::Instance> {
        self.judge(now);
        let candidates = self.candidates(now, want);
        let preferred = want.prefix.and_then(|prefix| self.preferred(now, prefix, &candidates));
        let chosen = preferred.or_else(|| balance::choose(&candidates, random))?;
        Some(self.entries[chosen.index].upstream.instance.clone())
    }

    /// Takes in that an attempt was sent.
    pub fn begin(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        attempt: attempt::Identifier,
        cost: u32,
    ) {
        let running = Running { instance: instance.clone(), begun: now, cost };
        self.attempts.insert(attempt, running);
        let Some(entry) = self.entry(instance) else { return };
        if entry.load.own == 0 {
            entry.record.heard(now);
        }
        entry.load.own += 1;
        entry.flying.insert(attempt, Flying { sent: now, cost, begun: false });
    }

    /// Takes in that an attempt's answer has begun.
    pub fn begun(&mut self, now: clock::Instant, attempt: attempt::Identifier) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let instance = running.instance.clone();
        let Some(entry) = self.entry(&instance) else { return };
        let flying = entry.flying.get_mut(&attempt).filter(|flying| !flying.begun);
        let Some(flying) = flying else { return };
        flying.begun = true;
        entry.record.begun(now, now.since(flying.sent), flying.cost);
    }

    /// Takes in that something of an attempt's answer came.
    pub fn heard(&mut self, now: clock::Instant, attempt: attempt::Identifier) {
        let Some(running) = self.attempts.get(&attempt) else { return };
        let instance = running.instance.clone();
        if let Some(entry) = self.entry(&instance) {
            entry.record.heard(now);
        }
    }

    /// Takes in how an attempt ended.
    pub fn end(&mut self, now: clock::Instant, attempt: attempt::Identifier, outcome: Outcome) {
        let Some(running) = self.attempts.remove(&attempt) else { return };
        if let Some(entry) = self.entry(&running.instance) {
            entry.flying.remove(&attempt);
            entry.end(now, &running, outcome);
        }
    }

    fn entry(&mut self, instance: &name::Instance) -> Option<&mut Entry> {
        let index = *self.index.get(instance)?;
        self.entries.get_mut(index)
    }

    /// Work that an upstream may carry now.
    fn bound(&self, now: clock::Instant, entry: &Entry) -> u32 {
        if entry.record.is_ejected(now) || self.evacuation.is_out(&entry.upstream.zone) {
            return 0;
        }
        let ramp = entry.ramp.as_ref().map_or(u32::MAX, ramp::Ramp::limit);
        entry.load.limit(now).min(entry.limit.get()).min(ramp)
    }

    fn candidates(&self, now: clock::Instant, want: Want<'_>) -> Vec<balance::Candidate> {
        let median = ejection::median_pace(self.entries.iter().map(|entry| &entry.record));
        let mut candidates = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            let bound = self.bound(now, entry);
            let excluded = want.excluded.contains(&entry.upstream.instance);
            if excluded || entry.load.free(now, bound) == 0 {
                continue;
            }
            candidates.push(balance::Candidate {
                index,
                share: (f64::from(entry.load.own) + entry.load.others(now)) / f64::from(bound),
                pace: entry.record.pace().zip(median).map_or(1.0, |(own, usual)| own / usual),
                local: entry.upstream.zone == *want.zone,
            });
        }
        candidates
    }

    /// The first in rank for the prefix, known holders ahead, whose load is within the bound.
    fn preferred(
        &self,
        now: clock::Instant,
        prefix: u64,
        candidates: &[balance::Candidate],
    ) -> Option<balance::Candidate> {
        let mean = candidates.iter().map(|candidate| candidate.share).sum::<f64>();
        let mean = mean / candidates.len().max(1) as f64;
        let holders = self.holders.of(now, prefix);
        let mut ranked: Vec<_> = candidates.iter().collect();
        ranked.sort_by_cached_key(|candidate| {
            let instance = &self.entries[candidate.index].upstream.instance;
            (!holders.contains(instance), std::cmp::Reverse(affinity::rank(instance, prefix)))
        });
        let mut first = ranked.into_iter().take(affinity::RANKS);
        first.find(|candidate| affinity::within(candidate.share, mean)).copied()
    }

    fn judge(&mut self, now: clock::Instant) {
        if now.since(self.judged) < JUDGEMENT {
            return;
        }
        self.judged = now;
        let peers = self.entries.iter_mut().map(|entry| {
            let work = entry.work(now);
            (&mut entry.record, work)
        });
        let mut records: Vec<_> = peers.collect();
        for index in ejection::judge(now, &mut records) {
            let entry = &mut self.entries[index];
            entry.ramp = Some(ramp::Ramp::new(now, entry.upstream.concurrency));
        }
    }
}

impl Entry {
    fn work(&self, now: clock::Instant) -> ejection::Work {
        let mut work = ejection::Work::default();
        for flying in self.flying.values() {
            let waited = now.since(flying.sent);
            let each = waited.as_secs_f64() / f64::from(flying.cost.max(1));
            work.late = work.late.max(each);
            if !flying.begun && waited >= ejection::SILENCE_LEAST {
                work.overdue = work.overdue.max(each);
            }
        }
        work
    }

    fn end(&mut self, now: clock::Instant, running: &Running, outcome: Outcome) {
        self.load.own = self.load.own.saturating_sub(1);
        let elapsed = now.since(running.begun);
        let (feedback, ramped) = match outcome {
            Outcome::Answered => {
                self.record.answered(now, elapsed, running.cost);
                (limit::Feedback::Answered, ramp::Outcome::Completed)
            }
            Outcome::Failed => {
                self.record.failed(now, running.begun);
                (limit::Feedback::Overloaded, ramp::Outcome::Failed)
            }
            Outcome::Refused(_) | Outcome::Cancelled => {
                (limit::Feedback::Neutral, ramp::Outcome::Neutral)
            }
        };
        self.limit.end(now, running.begun, running.cost, self.load.own, feedback);
        let Some(ramp) = &mut self.ramp else { return };
        ramp.end(now, running.begun, running.cost, ramped);
        if ramp.is_warm() {
            self.ramp = None;
        }
    }
}
