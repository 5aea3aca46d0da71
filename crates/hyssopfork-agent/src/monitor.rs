//! Health monitor of the upstream: liveness from probes, the loaded model, and the concurrency
//! limit.

use crate::event;
use hyssopfork_policy::slow_start;
use hyssopfork_wire::{clock, configuration, fleet, number, timing};
use std::time::Duration;

/// Time before a failed order is retried.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after the response to an order in which a probe may still report the state before it.
const STALE_PROBE_WINDOW: Duration = Duration::from_millis(1_000);

/// Age from which a probe's result is stale.
///
/// A process that was paused continues with what it knew before. Meanwhile the upstream may have
/// been replaced by a cold one, which the requests that waited during the pause would overload, or
/// may have lost the model that a grant guarantees. Five probe intervals, since a response may take
/// half a second.
pub const MAX_PROBE_AGE: Duration = Duration::from_millis(1_000);

/// Time after the start of this process in which running requests that are not its own count as
/// left over from the previous process. An upstream that reports such requests for longer has other
/// clients or counts differently; if they counted forever, a cold upstream would get no requests at
/// all.
pub const FOREIGN_WORK_TIMEOUT: Duration = timing::STOP_TIMEOUT;

/// Change that a probe revealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The upstream stopped responding.
    Down,
    /// The upstream responds, for the first time or again.
    Up,
    /// The upstream is a new process, or lost its model: it is cold and has no model loaded.
    Replaced,
}

/// Monitor.
#[derive(Clone, Debug)]
pub struct Monitor {
    alive: bool,
    probed_at: clock::Instant,
    started_at: clock::Instant,
    foreign_running: Option<u32>,
    incarnation: Option<String>,
    /// Fencing number of the last probe's report.
    reported_fence: Option<number::Fence>,
    loaded_fence: Option<number::Fence>,
    loaded_at: clock::Instant,
    pending_order: Option<number::Fence>,
    order_due_at: clock::Instant,
    slow_start: slow_start::SlowStart,
    kind: configuration::Kind,
    /// When a request last failed; until a probe that was sent later returns, the limit is lower
    /// than the slow start's.
    suspected_at: Option<clock::Instant>,
}

impl Monitor {
    /// Monitor of an upstream that has not been probed yet: down and cold.
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

    /// Whether the upstream responded to the last probe, and the result is not stale.
    pub fn is_alive(&self, now: clock::Instant) -> bool {
        self.alive && now.since(self.probed_at) < MAX_PROBE_AGE
    }

    /// Fencing number that the engine is loaded under, if it is alive.
    pub fn loaded_fence(&self, now: clock::Instant) -> Option<number::Fence> {
        self.loaded_fence.filter(|_| self.is_alive(now))
    }

    /// Number of running requests that are left over from the previous process, as far as the
    /// upstream reports them.
    pub fn foreign_running(&self, now: clock::Instant) -> u32 {
        let is_counted = now.since(self.started_at) < FOREIGN_WORK_TIMEOUT;
        self.foreign_running.filter(|_| is_counted).unwrap_or(0)
    }

    /// Slow start of the concurrency limit.
    pub fn slow_start(&mut self) -> &mut slow_start::SlowStart {
        &mut self.slow_start
    }

    /// Current concurrency limit.
    pub fn limit(&self) -> u32 {
        let limit = self.slow_start.limit();
        match (self.suspected_at, self.kind) {
            (None, _) => limit,
            (Some(_), configuration::Kind::Service) => limit.min(slow_start::INITIAL_LIMIT),
            (Some(_), configuration::Kind::Engine) => 0,
        }
    }

    /// Records that a request failed. The upstream may have crashed and come back cold between two
    /// probes. Until a later probe returns, a service gets no more than a cold upstream can handle,
    /// and an engine no new requests: it may have lost its model, which leaves its group
    /// incomplete.
    pub fn suspect(&mut self, now: clock::Instant) {
        self.suspected_at = Some(now);
    }

    /// Whether the upstream counts as warm.
    pub fn is_warm(&self) -> bool {
        self.slow_start.is_warm()
    }

    /// Handles the result of a probe that was sent at `sent_at`. `own_running` is the number of
    /// running attempts of this process, and `placed_fence` the fencing number that this instance
    /// is placed under.
    pub fn probe(
        &mut self,
        now: clock::Instant,
        sent_at: clock::Instant,
        health: Option<event::Health>,
        own_running: u32,
        placed_fence: Option<number::Fence>,
    ) -> Change {
        // Probes overlap, and a late response may describe an earlier process of the upstream.
        if sent_at < self.probed_at {
            return Change::None;
        }
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
    /// Only one order is pending at a time: an engine that ignores fencing numbers might carry out
    /// overlapping orders in any sequence, and end up with the older group's model under the newer
    /// group's number.
    pub fn is_order_due(&self, fence: number::Fence, now: clock::Instant) -> bool {
        self.is_alive(now)
            && self.loaded_fence != Some(fence)
            && self.pending_order.is_none()
            && now >= self.order_due_at
    }

    /// Records that an order is sent. What was loaded before no longer counts.
    pub fn start_order(&mut self, fence: number::Fence, now: clock::Instant) {
        self.pending_order = Some(fence);
        self.reset(now);
    }

    /// Handles the response to an order; returns `false` if that order is not pending.
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

    /// Counts requests that the previous process left running at an upstream that cannot cancel:
    /// they use up the capacity of a cold upstream. Once none is left, all requests pass this
    /// process.
    fn count_foreign(&mut self, running: Option<u32>, own_running: u32) {
        let Some(running) = running else { return };
        if self.foreign_running != Some(0) {
            self.foreign_running = Some(running.saturating_sub(own_running));
        }
    }

    /// Whether the upstream is a new process. One that reports no incarnation and was down counts
    /// as new: nothing shows that it is not, and full load would crash a cold upstream.
    fn is_replaced(&self, health: &event::Health, was_down: bool) -> bool {
        match (&health.incarnation, &self.incarnation) {
            (Some(now), Some(before)) => now != before,
            (Some(_), None) => true,
            (None, _) => was_down,
        }
    }

    /// Whether the engine reports another fencing number than the one it confirmed, for example
    /// because it carried out a late order of another agent process.
    fn has_lost_model(&self, now: clock::Instant, reported_fence: Option<number::Fence>) -> bool {
        let is_window_over = now.since(self.loaded_at) >= STALE_PROBE_WINDOW;
        is_window_over
            && self.loaded_fence.is_some()
            && reported_fence.is_some()
            && reported_fence != self.loaded_fence
    }

    /// Accepts the reported model as loaded if it is the one that is placed: no order is needed if
    /// this agent process is new, or the response to the order was lost. Must also be called before
    /// an order is sent; otherwise the engine would carry the order out, and be cold, after it
    /// counted as loaded.
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
