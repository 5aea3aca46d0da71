//! Back end as this agent knows it: alive, loaded, warm.

use crate::event;
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{clock, configuration, fleet, number, timing};
use std::time::Duration;

/// Time before an order that failed is given again.
const ORDER_RETRY: Duration = Duration::from_millis(1_000);

/// Time after an order was answered in which a probe may still tell of the time before it.
const PROBE_LAG: Duration = Duration::from_millis(1_000);

/// Age from which a probe says nothing of the back end any more.
///
/// A process that was paused goes on with what it last knew. Meanwhile the back end may have been
/// replaced by a cold one, which the work that waited for the pause's end would tip over, or have
/// lost the model that a grant vouches for. Five probes: an answer may take half a second.
pub const PROBE_AGE: Duration = Duration::from_millis(1_000);

/// Time after this process's start in which work that isn't its own counts as left by the process
/// before. A back end that goes on reporting such work for longer has callers of its own, or counts
/// otherwise; heeded for good, that would keep all work from a cold one.
pub const FOREIGN_LIMIT: Duration = timing::STOP_TIMEOUT;

/// What a probe changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// It stopped answering.
    Down,
    /// It answers (again).
    Up,
    /// It is another process than before, or lost its model: cold, not loaded.
    Turned,
}

/// The back end.
#[derive(Clone, Debug)]
pub struct Engine {
    alive: bool,
    probed: clock::Instant,
    started: clock::Instant,
    foreign: Option<u32>,
    incarnation: Option<String>,
    /// What the last probe told.
    told: Option<number::Fence>,
    loaded: Option<number::Fence>,
    loaded_at: clock::Instant,
    order: Option<number::Fence>,
    order_at: clock::Instant,
    ramp: slow_start::SlowStart,
    kind: configuration::Kind,
    /// When work last broke off; until a probe that was sent later has told, the ramp's limit
    /// doesn't hold.
    suspected: Option<clock::Instant>,
}

impl Engine {
    /// A back end that hasn't been heard of yet: down and cold.
    pub fn new(profile: &fleet::Profile, now: clock::Instant) -> Engine {
        Engine {
            alive: false,
            probed: now,
            started: now,
            foreign: None,
            incarnation: None,
            told: None,
            loaded: None,
            loaded_at: now,
            order: None,
            order_at: now,
            ramp: slow_start::SlowStart::new(now, profile.concurrency),
            kind: profile.kind,
            suspected: None,
        }
    }

    /// Whether the last probe was answered, and is recent.
    pub fn is_alive(&self, now: clock::Instant) -> bool {
        self.alive && now.since(self.probed) < PROBE_AGE
    }

    /// Fencing number that it is loaded under, while it is alive.
    pub fn loaded(&self, now: clock::Instant) -> Option<number::Fence> {
        self.loaded.filter(|_| self.is_alive(now))
    }

    /// Work that the back end has from before this process started, as far as it says.
    pub fn foreign(&self, now: clock::Instant) -> u32 {
        let counts = now.since(self.started) < FOREIGN_LIMIT;
        self.foreign.filter(|_| counts).unwrap_or(0)
    }

    /// Limit on concurrent work.
    pub fn ramp(&mut self) -> &mut slow_start::SlowStart {
        &mut self.ramp
    }

    /// Attempts that it may bear at once now.
    pub fn limit(&self) -> u32 {
        let limit = self.ramp.limit();
        match (self.suspected, self.kind) {
            (None, _) => limit,
            (Some(_), configuration::Kind::Service) => limit.min(slow_start::INITIAL_LIMIT),
            (Some(_), configuration::Kind::Engine) => 0,
        }
    }

    /// Notes that work broke off. The back end may have died and come back cold within the time
    /// between two probes. Until one tells, a service gets no more than a cold one bears, and an
    /// engine nothing new: it may have lost its model, and its group a member with it.
    pub fn suspect(&mut self, now: clock::Instant) {
        self.suspected = Some(now);
    }

    /// Whether it counts as warm.
    pub fn is_warm(&self) -> bool {
        self.ramp.is_warm()
    }

    /// Takes a probe that was sent at `sent`. `own` attempts of this process run, and `wanted` is
    /// the fencing number that this instance is placed under.
    pub fn probe(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        health: Option<event::Health>,
        own: u32,
        wanted: Option<number::Fence>,
    ) -> Change {
        let Some(health) = health else { return self.fall() };
        let returned = !self.alive;
        self.alive = true;
        self.probed = self.probed.max(sent);
        self.suspected.take_if(|since| sent > *since);
        self.count_foreign(health.running, own);
        self.told = health.loaded;
        if self.is_another(&health, returned) {
            self.incarnation = health.incarnation;
            self.order = None;
            self.turn(now);
            self.adopt(now, wanted);
            return Change::Turned;
        }
        if self.has_lost(now, health.loaded) {
            self.turn(now);
            return Change::Turned;
        }
        self.adopt(now, wanted);
        if returned { Change::Up } else { Change::None }
    }

    /// Whether an order under `fence` is due.
    ///
    /// One order at a time: an engine that ignores fencing numbers might take two that overlap in
    /// either order and end up with the older group's model under the newer group's number.
    pub fn is_due(&self, fence: number::Fence, now: clock::Instant) -> bool {
        self.is_alive(now)
            && self.loaded != Some(fence)
            && self.order.is_none()
            && now >= self.order_at
    }

    /// Notes that an order is given. Whatever was loaded before counts no more.
    pub fn order(&mut self, fence: number::Fence, now: clock::Instant) {
        self.order = Some(fence);
        self.turn(now);
    }

    /// Takes the answer to an order; `false` when it isn't the one that is outstanding.
    pub fn ordered(&mut self, fence: number::Fence, done: bool, now: clock::Instant) -> bool {
        if self.order != Some(fence) {
            return false;
        }
        self.order = None;
        if done {
            self.loaded = Some(fence);
            self.loaded_at = now;
        } else {
            self.order_at = now + ORDER_RETRY;
        }
        true
    }

    fn fall(&mut self) -> Change {
        let fell = self.alive;
        self.alive = false;
        if fell { Change::Down } else { Change::None }
    }

    /// The process before this one may have left work at a back end that cannot cancel, which
    /// takes up the room that a cold one has. Once none is left, all work comes through here.
    fn count_foreign(&mut self, running: Option<u32>, own: u32) {
        let Some(running) = running else { return };
        if self.foreign != Some(0) {
            self.foreign = Some(running.saturating_sub(own));
        }
    }

    /// A back end that tells no incarnation and fell silent is taken for a new process: nothing
    /// shows that it isn't, and full load on a cold one would tip it over.
    fn is_another(&self, health: &event::Health, returned: bool) -> bool {
        match (&health.incarnation, &self.incarnation) {
            (Some(now), Some(before)) => now != before,
            (Some(_), None) => true,
            (None, _) => returned,
        }
    }

    /// Whether the engine says that it isn't loaded as its order's answer said, a late order of
    /// another agent's process for example.
    fn has_lost(&self, now: clock::Instant, told: Option<number::Fence>) -> bool {
        let settled = now.since(self.loaded_at) >= PROBE_LAG;
        settled && self.loaded.is_some() && told.is_some() && told != self.loaded
    }

    /// An engine that says that it is loaded as wanted needs no order: this agent's process may
    /// be new, or the order's answer lost. Asked before an order is given too, or the order would
    /// be carried out, and the engine turn cold by it, after it was taken for loaded.
    pub fn adopt(&mut self, now: clock::Instant, wanted: Option<number::Fence>) {
        if self.told.is_none() || self.told != wanted || self.loaded == wanted {
            return;
        }
        self.order.take_if(|order| Some(*order) == wanted);
        if self.order.is_none() {
            self.loaded = wanted;
            self.loaded_at = now;
        }
    }

    fn turn(&mut self, now: clock::Instant) {
        self.loaded = None;
        self.ramp.reset(now);
    }
}
