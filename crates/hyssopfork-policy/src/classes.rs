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

use crate::average;
use crate::demand;
use hyssopfork_wire::{clock, configuration};
use std::time::Duration;

/// Most of the room that long work may hold, however little short work has come of late: what
/// comes next finds a slot.
pub const LONG_MOST: f64 = 0.9;

/// Room kept for short work as a multiple of what it needs on average: the rest is for its swings,
/// three standard deviations of a need of a hundred slots.
pub const HEADROOM: f64 = 1.3;

/// Share of the room that waiting long work is sure of before short work.
pub const LONG_LEAST: f64 = 0.1;

/// Most of the room that only status checks may use; as much of it as they need is kept for them,
/// and nothing when none come.
pub const STATUS_MOST: f64 = 0.05;

/// Slots that long work leaves free as a share of what short work needs: they are free to all
/// processes, and hold the swings of each.
pub const SWINGS: f64 = 1.0;

/// Multiple of the typical interactive cost from which a request counts as long, whatever its
/// class says.
pub const LONG_FACTOR: f64 = 16.0;

/// Samples over which the typical cost is averaged.
const TYPICAL_SPAN: f64 = 512.0;

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
pub const LANES: usize = 3;

impl Lane {
    /// Place of the lane in a table.
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// Pieces of work that the upstreams can take together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// More pieces that can start now.
    pub free: u32,
    /// Pieces that can run at once.
    pub total: u32,
}

/// Sorts work into lanes and shares the room among them.
#[derive(Clone, Debug)]
pub struct Classes {
    running: [u32; LANES],
    typical: average::Average,
    status: demand::Demand,
    short: demand::Demand,
}

impl Default for Classes {
    fn default() -> Self {
        Classes {
            running: [0; LANES],
            typical: average::Average::new(TYPICAL_SPAN),
            status: demand::Demand::default(),
            short: demand::Demand::default(),
        }
    }
}

impl Classes {
    /// The lane of a request of `class` that costs `cost`.
    pub fn lane(&mut self, class: configuration::Class, cost: u32) -> Lane {
        match class {
            configuration::Class::Status => Lane::Status,
            configuration::Class::Batch => Lane::Long,
            configuration::Class::Interactive => self.interactive(f64::from(cost)),
        }
    }

    /// The lane to serve next, among those that wait; `None` when there is no room for any.
    pub fn choose(&self, now: clock::Instant, room: Room, waiting: [bool; LANES]) -> Option<Lane> {
        if room.free == 0 {
            return None;
        }
        if waiting[Lane::Status.index()] {
            return Some(Lane::Status);
        }
        let total = f64::from(room.total);
        if f64::from(room.free) <= self.status_only(now, total) {
            return None;
        }
        let long = self.running[Lane::Long.index()];
        let long = f64::from(long);
        let long_waits = waiting[Lane::Long.index()];
        if long_waits && long < (total * LONG_LEAST).ceil() {
            return Some(Lane::Long);
        }
        if waiting[Lane::Short.index()] {
            return Some(Lane::Short);
        }
        let most = long < self.long_most(now, total);
        (long_waits && most && self.spares(now, room)).then_some(Lane::Long)
    }

    /// Counts work of a lane that arrives.
    pub fn arrive(&mut self, now: clock::Instant, lane: Lane) {
        match lane {
            Lane::Status => self.status.arrive(now),
            Lane::Short => self.short.arrive(now),
            Lane::Long => {}
        }
    }

    /// Counts work of a lane that starts.
    pub fn start(&mut self, lane: Lane) {
        self.running[lane.index()] += 1;
    }

    /// Counts work of a lane that ends after `elapsed`.
    pub fn end(&mut self, lane: Lane, elapsed: Duration) {
        self.put_back(lane);
        match lane {
            Lane::Status => self.status.serve(elapsed),
            Lane::Short => self.short.serve(elapsed),
            Lane::Long => {}
        }
    }

    /// Takes back the start of work that was refused before it ran.
    pub fn put_back(&mut self, lane: Lane) {
        let running = &mut self.running[lane.index()];
        *running = running.saturating_sub(1);
    }

    /// Slots that are kept for status checks.
    fn status_only(&self, now: clock::Instant, total: f64) -> f64 {
        let needed = (self.status.slots(now) * HEADROOM).ceil();
        needed.min((total * STATUS_MOST).floor())
    }

    /// Whether long work may take one more of the slots that are free, of which other processes know
    /// as well: what is left must hold what short work lacks now, and its swings.
    fn spares(&self, now: clock::Instant, room: Room) -> bool {
        let needed = self.short.slots(now);
        let held = f64::from(self.running[Lane::Short.index()]);
        f64::from(room.free) > (needed - held).max(0.0) + needed * SWINGS
    }

    /// Slots that long work may hold.
    fn long_most(&self, now: clock::Instant, total: f64) -> f64 {
        let left = total - self.short.slots(now) * HEADROOM;
        left.clamp(total * LONG_LEAST, total * LONG_MOST).floor().max(1.0)
    }

    fn interactive(&mut self, cost: f64) -> Lane {
        let bound = self.typical.get().map(|typical| typical * LONG_FACTOR);
        let long = bound.is_some_and(|bound| cost > bound);
        if long {
            return Lane::Long;
        }
        self.typical.add(cost);
        Lane::Short
    }
}
