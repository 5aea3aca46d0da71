//! Capacity reservation by class: keeps slots for short requests and status checks beside long jobs
//! (bulkheads).
//!
//! When jobs a hundred times the usual length arrive among short requests, they come to hold every
//! slot, and a status check of a millisecond waits for minutes, however fairly teams take turns.
//!
//! Requests are sorted into three lanes by the class of their route and by their cost. Status
//! checks go first. Long jobs leave free the slots that short requests need by their arrival rate
//! and service time, because a long job holds its slot for minutes. Long jobs are guaranteed
//! [`MIN_LONG_SHARE`] of the slots, so that no lane starves.

use crate::demand;
use crate::ewma;
use hyssopfork_wire::{clock, configuration};
use std::time::Duration;

/// Largest share of the slots that long jobs may hold, even if few short requests came lately: the
/// next short request finds a free slot.
pub const MAX_LONG_SHARE: f64 = 0.9;

/// Slots reserved for a lane as a multiple of what it needs on average: the margin covers three
/// standard deviations of a need of a hundred slots.
pub const HEADROOM_FACTOR: f64 = 1.3;

/// Share of the slots that waiting long jobs are guaranteed before short requests.
pub const MIN_LONG_SHARE: f64 = 0.1;

/// Largest share of the slots that is reserved for status checks. As many as they need are
/// reserved, and none while no status checks arrive.
pub const MAX_STATUS_SHARE: f64 = 0.05;

/// Slots that long jobs leave free, as a multiple of what short requests need: the free slots are
/// shared by all entry processes and cover the fluctuations of each.
pub const FREE_RESERVE_FACTOR: f64 = 1.0;

/// Multiple of the typical interactive cost from which a request counts as long, whatever its
/// class.
pub const LONG_COST_FACTOR: f64 = 16.0;

/// Samples over which the typical cost is averaged.
const TYPICAL_COST_SPAN: f64 = 512.0;

/// Lane that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::EnumIter)]
pub enum Lane {
    /// Status checks.
    Status,
    /// Short requests.
    Short,
    /// Long jobs.
    Long,
}

/// Number of lanes.
pub const LANE_COUNT: usize = 3;

impl Lane {
    /// Index of the lane in an array of lanes.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Concurrent requests that the upstreams of a pool can take together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Further requests that can start now.
    pub free: u32,
    /// Requests that can run at once.
    pub total: u32,
}

/// Sorts requests into lanes and shares the slots among them.
#[derive(Clone, Debug)]
pub struct Allocator {
    running: [u32; LANE_COUNT],
    typical_cost: ewma::Ewma,
    status_demand: demand::Demand,
    short_demand: demand::Demand,
}

impl Default for Allocator {
    fn default() -> Self {
        Allocator {
            running: [0; LANE_COUNT],
            typical_cost: ewma::Ewma::new(TYPICAL_COST_SPAN),
            status_demand: demand::Demand::default(),
            short_demand: demand::Demand::default(),
        }
    }
}

impl Allocator {
    /// The lane of a request of `class` and `cost`.
    pub fn classify(&mut self, class: configuration::Class, cost: u32) -> Lane {
        match class {
            configuration::Class::Status => Lane::Status,
            configuration::Class::Batch => Lane::Long,
            configuration::Class::Interactive => self.classify_interactive(f64::from(cost)),
        }
    }

    /// The lane to serve next, among those with waiting requests; `None` if no slot is available to
    /// any.
    pub fn choose_lane(
        &self,
        now: clock::Instant,
        capacity: Capacity,
        waiting: [bool; LANE_COUNT],
    ) -> Option<Lane> {
        if capacity.free == 0 {
            return None;
        }
        if waiting[Lane::Status.index()] {
            return Some(Lane::Status);
        }
        let total = f64::from(capacity.total);
        if f64::from(capacity.free) <= self.slots_for_status(now, total) {
            return None;
        }
        let long = self.running[Lane::Long.index()];
        let long = f64::from(long);
        let long_waits = waiting[Lane::Long.index()];
        if long_waits && long < (total * MIN_LONG_SHARE).ceil() {
            return Some(Lane::Long);
        }
        if waiting[Lane::Short.index()] {
            return Some(Lane::Short);
        }
        let is_within_share = long < self.max_long_slots(now, total);
        (long_waits && is_within_share && self.has_spare_slot(now, capacity)).then_some(Lane::Long)
    }

    /// Counts the arrival of a request.
    pub fn on_arrival(&mut self, now: clock::Instant, lane: Lane) {
        match lane {
            Lane::Status => self.status_demand.on_arrival(now),
            Lane::Short => self.short_demand.on_arrival(now),
            Lane::Long => {}
        }
    }

    /// Counts the start of a request.
    pub fn on_start(&mut self, lane: Lane) {
        self.running[lane.index()] += 1;
    }

    /// Counts the end of a request that ran for `elapsed`.
    pub fn on_end(&mut self, lane: Lane, elapsed: Duration) {
        self.undo_start(lane);
        match lane {
            Lane::Status => self.status_demand.record_service_time(elapsed),
            Lane::Short => self.short_demand.record_service_time(elapsed),
            Lane::Long => {}
        }
    }

    /// Reverts the start of a request that was rejected before it ran.
    pub fn undo_start(&mut self, lane: Lane) {
        let running = &mut self.running[lane.index()];
        *running = running.saturating_sub(1);
    }

    /// Slots that are reserved for status checks.
    fn slots_for_status(&self, now: clock::Instant, total: f64) -> f64 {
        let needed = (self.status_demand.slots(now) * HEADROOM_FACTOR).ceil();
        needed.min((total * MAX_STATUS_SHARE).floor())
    }

    /// Whether a long job may take one of the free slots, which other entry processes see as well:
    /// the rest must cover what short requests lack now, and their fluctuations.
    fn has_spare_slot(&self, now: clock::Instant, capacity: Capacity) -> bool {
        let needed = self.short_demand.slots(now);
        let held = f64::from(self.running[Lane::Short.index()]);
        f64::from(capacity.free) > (needed - held).max(0.0) + needed * FREE_RESERVE_FACTOR
    }

    /// Slots that long jobs may hold.
    fn max_long_slots(&self, now: clock::Instant, total: f64) -> f64 {
        let left = total - self.short_demand.slots(now) * HEADROOM_FACTOR;
        left.clamp(total * MIN_LONG_SHARE, total * MAX_LONG_SHARE).floor().max(1.0)
    }

    fn classify_interactive(&mut self, cost: f64) -> Lane {
        let threshold = self.typical_cost.mean().map(|typical| typical * LONG_COST_FACTOR);
        let is_long = threshold.is_some_and(|threshold| cost > threshold);
        if is_long {
            return Lane::Long;
        }
        self.typical_cost.add(cost);
        Lane::Short
    }
}
