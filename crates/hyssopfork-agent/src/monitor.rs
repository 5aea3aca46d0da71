//! Back end as this agent knows it: alive, loaded, warm.

use crate::event;
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{clock, configuration, fleet, number, timing};
use std::time::Duration;

/// Time before an order that failed is given again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after an order was answered in which a probe may still tell of the time before it.
const STALE_PROBE_WINDOW: Duration = Duration::from_millis(1_000);

/// Age from which a probe says nothing of the back end any more.
///
/// A process that was paused goes on with what it last knew. Meanwhile the back end may have been
/// replaced by a cold one, which the work that waited for the pause's end would tip over, or have
/// lost the model that a grant vouches for. Five probes: an answer may take half a second.
pub const MAX_PROBE_AGE: Duration = Duration::from_millis(1_000);

/// Time after this process's start in which work that isn't its own counts as left by the process
/// before. A back end that goes on reporting such work for longer has callers of its own, or counts
/// otherwise; heeded for good, that would keep all work from a cold one.
pub const FOREIGN_WORK_TIMEOUT: Duration = timing::STOP_TIMEOUT;

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
    Replaced,
}

/// The back end.
#[derive(Clone, Debug)]
pub struct Monitor {
    alive: bool,
    probed_at: clock::Instant,
    started_at: clock::Instant,
    foreign_running: Option<u32>,
    incarnation: Option<String>,
    /// What the last probe told.
    reported_fence: Option<number::Fence>,
    loaded_fence: Option<number::Fence>,
    loaded_at: clock::Instant,
    pending_order: Option<number::Fence>,
    order_due_at: clock::Instant,
    slow_start: slow_start::SlowStart,
    kind: configuration::Kind,
    /// When work last broke off; until a probe that was sent later has told, the ramp's limit
    /// doesn't hold.
    suspected_at: Option<clock::Instant>,
}

impl Monitor {
    /// A back end that hasn't been heard of yet: down and cold.
    pub fn new(profile: &fleet::Profile, now: clock::Instant) -> Monitor {
        Monitor {
            alive: false,
            probed_at: now,
            started_at: now,
            foreign_running: None,
            incarnation: None,
            reported_fence: None,
            loaded_fence: None,
            loaded_at: now,
            pending_order: None,
            order_due_at: now,
            slow_start: slow_start::SlowStart::new(now, profile.concurrency),
            kind: profile.kind,
            suspected_at: None,
        }
    }

    /// Whether the last probe was answered, and is recent.
    pub fn is_alive(&self, now: clock::Instant) -> bool {
        self.alive && now.since(self.probed_at) < MAX_PROBE_AGE
    }

    /// Fencing number that it is loaded under, while it is alive.
    pub fn loaded_fence(&self, now: clock::Instant) -> Option<number::Fence> {
        self.loaded_fence.filter(|_| self.is_alive(now))
    }

    /// Work that the back end has from before this process started, as far as it says.
    pub fn foreign_running(&self, now: clock::Instant) -> u32 {
        let is_counted = now.since(self.started_at) < FOREIGN_WORK_TIMEOUT;
        self.foreign_running.filter(|_| is_counted).unwrap_or(0)
    }

    /// Limit on concurrent work.
    pub fn slow_start(&mut self) -> &mut slow_start::SlowStart {
        &mut self.slow_start
    }

    /// Attempts that it may bear at once now.
    pub fn limit(&self) -> u32 {
        let limit = self.slow_start.limit();
        match (self.suspected_at, self.kind) {
            (None, _) => limit,
            (Some(_), configuration::Kind::Service) => limit.min(slow_start::INITIAL_LIMIT),
            (Some(_), configuration::Kind::Engine) => 0,
        }
    }

    /// Notes that work broke off. The back end may have died and come back cold within the time
    /// between two probes. Until one tells, a service gets no more than a cold one bears, and an
    /// engine nothing new: it may have lost its model, and its group a member with it.
    pub fn suspect(&mut self, now: clock::Instant) {
        self.suspected_at = Some(now);
    }

    /// Whether it counts as warm.
    pub fn is_warm(&self) -> bool {
        self.slow_start.is_warm()
    }

    /// Takes a probe that was sent at `sent`. `own` attempts of this process run, and `wanted` is
    /// the fencing number that this instance is placed under.
    pub fn probe(
        &mut self,
        now: clock::Instant,
        sent_at: clock::Instant,
        health: Option<event::Health>,
        own_running: u32,
        placed_fence: Option<number::Fence>,
    ) -> Change {
        let Some(health) = health else { return self.mark_down() };
        let was_down = !self.alive;
        self.alive = true;
        self.probed_at = self.probed_at.max(sent_at);
        self.suspected_at.take_if(|since| sent_at > *since);
        self.count_foreign(health.running, own_running);
        self.reported_fence = health.loaded;
        if self.is_replaced(&health, was_down) {
            self.incarnation = health.incarnation;
            self.pending_order = None;
            self.reset(now);
            self.adopt_reported(now, placed_fence);
            return Change::Replaced;
        }
        if self.has_lost_model(now, health.loaded) {
            self.reset(now);
            return Change::Replaced;
        }
        self.adopt_reported(now, placed_fence);
        if was_down { Change::Up } else { Change::None }
    }

    /// Whether an order under `fence` is due.
    ///
    /// One order at a time: an engine that ignores fencing numbers might take two that overlap in
    /// either order and end up with the older group's model under the newer group's number.
    pub fn is_order_due(&self, fence: number::Fence, now: clock::Instant) -> bool {
        self.is_alive(now)
            && self.loaded_fence != Some(fence)
            && self.pending_order.is_none()
            && now >= self.order_due_at
    }

    /// Notes that an order is given. Whatever was loaded before counts no more.
    pub fn start_order(&mut self, fence: number::Fence, now: clock::Instant) {
        self.pending_order = Some(fence);
        self.reset(now);
    }

    /// Takes the answer to an order; `false` when it isn't the one that is outstanding.
    pub fn finish_order(
        &mut self,
        fence: number::Fence,
        succeeded: bool,
        now: clock::Instant,
    ) -> bool {
        if self.pending_order != Some(fence) {
            return false;
        }
        self.pending_order = None;
        if succeeded {
            self.loaded_fence = Some(fence);
            self.loaded_at = now;
        } else {
            self.order_due_at = now + ORDER_RETRY_INTERVAL;
        }
        true
    }

    fn mark_down(&mut self) -> Change {
        let was_alive = self.alive;
        self.alive = false;
        if was_alive { Change::Down } else { Change::None }
    }

    /// The process before this one may have left work at a back end that cannot cancel, which
    /// takes up the room that a cold one has. Once none is left, all work comes through here.
    fn count_foreign(&mut self, running: Option<u32>, own_running: u32) {
        let Some(running) = running else { return };
        if self.foreign_running != Some(0) {
            self.foreign_running = Some(running.saturating_sub(own_running));
        }
    }

    /// A back end that tells no incarnation and fell silent is taken for a new process: nothing
    /// shows that it isn't, and full load on a cold one would tip it over.
    fn is_replaced(&self, health: &event::Health, was_down: bool) -> bool {
        match (&health.incarnation, &self.incarnation) {
            (Some(now), Some(before)) => now != before,
            (Some(_), None) => true,
            (None, _) => was_down,
        }
    }

    /// Whether the engine says that it isn't loaded as its order's answer said, a late order of
    /// another agent's process for example.
    fn has_lost_model(&self, now: clock::Instant, reported_fence: Option<number::Fence>) -> bool {
        let is_window_over = now.since(self.loaded_at) >= STALE_PROBE_WINDOW;
        is_window_over
            && self.loaded_fence.is_some()
            && reported_fence.is_some()
            && reported_fence != self.loaded_fence
    }

    /// An engine that says that it is loaded as wanted needs no order: this agent's process may
    /// be new, or the order's answer lost. Asked before an order is given too, or the order would
    /// be carried out, and the engine turn cold by it, after it was taken for loaded.
    pub fn adopt_reported(&mut self, now: clock::Instant, placed_fence: Option<number::Fence>) {
        if self.reported_fence.is_none()
            || self.reported_fence != placed_fence
            || self.loaded_fence == placed_fence
        {
            return;
        }
        self.pending_order.take_if(|order| Some(*order) == placed_fence);
        if self.pending_order.is_none() {
            self.loaded_fence = placed_fence;
            self.loaded_at = now;
        }
    }

    fn reset(&mut self, now: clock::Instant) {
        self.loaded_fence = None;
        self.slow_start.reset(now);
    }
}
