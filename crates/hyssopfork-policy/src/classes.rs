//! Classes: room kept for short work beside long.
//!
//! *Pattern.* Jobs a hundred times the usual length arrive among short ones, and status checks
//! among both.
//!
//! *Without it.* Long jobs come to hold every slot; a status check of a millisecond waits for
//! minutes, however fairly teams take turns.
//!
//! *Rule.* Work is sorted into three lanes by its route's class and its cost. Status goes first.
//! Long work leaves free what short work needs by its arrivals and time in service, since what it
//! holds it holds for minutes; it is sure of [`LONG_LEAST`] of the room, so that each lane always
//! moves.

use crate::demand;
use crate::ewma;
use hyssopfork_wire::{clock, configuration};
use std::time::Duration;

/// Most of the room that long work may hold, however little short work has come of late: what
/// comes next finds a slot.
pub const MAX_LONG_SHARE: f64 = 0.9;

/// Room kept for short work as a multiple of what it needs on average: the rest is for its swings,
/// three standard deviations of a need of a hundred slots.
pub const HEADROOM_FACTOR: f64 = 1.3;

/// Share of the room that waiting long work is sure of before short work.
pub const MIN_LONG_SHARE: f64 = 0.1;

/// Most of the room that only status checks may use; as much of it as they need is kept for them,
/// and nothing when none come.
pub const MAX_STATUS_SHARE: f64 = 0.05;

/// Slots that long work leaves free as a share of what short work needs: they are free to all
/// processes, and hold the swings of each.
pub const FREE_RESERVE_FACTOR: f64 = 1.0;

/// Multiple of the typical interactive cost from which a request counts as long, whatever its
/// class says.
pub const LONG_COST_FACTOR: f64 = 16.0;

/// Samples over which the typical cost is averaged.
const TYPICAL_COST_SPAN: f64 = 512.0;

/// Lane that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, strum::EnumIter)]
pub enum Lane {
    /// Status checks.
    Status,
    /// Short work.
    Short,
    /// Long work.
    Long,
}

/// Number of lanes.
pub const LANE_COUNT: usize = 3;

impl Lane {
    /// Place of the lane in a table.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Pieces of work that the upstreams can take together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// More pieces that can start now.
    pub free: u32,
    /// Pieces that can run at once.
    pub total: u32,
}

/// Sorts work into lanes and shares the room among them.
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
    /// The lane of a request of `class` that costs `cost`.
    pub fn classify(&mut self, class: configuration::Class, cost: u32) -> Lane {
        match class {
            configuration::Class::Status => Lane::Status,
            configuration::Class::Batch => Lane::Long,
            configuration::Class::Interactive => self.classify_interactive(f64::from(cost)),
        }
    }

    /// The lane to serve next, among those that wait; `None` when there is no room for any.
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

    /// Counts work of a lane that arrives.
    pub fn on_arrival(&mut self, now: clock::Instant, lane: Lane) {
        match lane {
            Lane::Status => self.status_demand.on_arrival(now),
            Lane::Short => self.short_demand.on_arrival(now),
            Lane::Long => {}
        }
    }

    /// Counts work of a lane that starts.
    pub fn on_start(&mut self, lane: Lane) {
        self.running[lane.index()] += 1;
    }

    /// Counts work of a lane that ends after `elapsed`.
    pub fn on_end(&mut self, lane: Lane, elapsed: Duration) {
        self.undo_start(lane);
        match lane {
            Lane::Status => self.status_demand.record_service_time(elapsed),
            Lane::Short => self.short_demand.record_service_time(elapsed),
            Lane::Long => {}
        }
    }

    /// Takes back the start of work that was refused before it ran.
    pub fn undo_start(&mut self, lane: Lane) {
        let running = &mut self.running[lane.index()];
        *running = running.saturating_sub(1);
    }

    /// Slots that are kept for status checks.
    fn slots_for_status(&self, now: clock::Instant, total: f64) -> f64 {
        let needed = (self.status_demand.slots(now) * HEADROOM_FACTOR).ceil();
        needed.min((total * MAX_STATUS_SHARE).floor())
    }

    /// Whether long work may take one more of the slots that are free, of which other processes know
    /// as well: what is left must hold what short work lacks now, and its swings.
    fn has_spare_slot(&self, now: clock::Instant, capacity: Capacity) -> bool {
        let needed = self.short_demand.slots(now);
        let held = f64::from(self.running[Lane::Short.index()]);
        f64::from(capacity.free) > (needed - held).max(0.0) + needed * FREE_RESERVE_FACTOR
    }

    /// Slots that long work may hold.
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
