//! Classes: room kept for short work beside long.
//!
//! *Pattern.* Jobs a hundred times the usual length arrive among short ones, and status checks
//! among both.
//!
//! *Without it.* Long jobs come to hold every slot; a status check of a millisecond waits for
//! minutes, however fairly teams take turns.
//!
//! *Rule.* Work is sorted into three lanes by its route's class and its cost. Status goes first.
//! Long work never holds more than [`LONG_MOST`] of the room while short work has been about, and
//! is sure of [`LONG_LEAST`]; so each lane always moves.

use crate::average;
use hyssopfork_wire::configuration;

/// Most of the room that long work may hold. With continuous batching an upstream at three
/// quarters of its batch still gives about nine tenths of its tokens a second.
pub const LONG_MOST: f64 = 0.75;

/// Share of the room that waiting long work is sure of before short work.
pub const LONG_LEAST: f64 = 0.1;

/// Share of the room that only status checks may use: they are short, so that one slot in twenty
/// answers them all.
pub const STATUS_ONLY: f64 = 0.05;

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
}

impl Default for Classes {
    fn default() -> Self {
        Classes { running: [0; LANES], typical: average::Average::new(TYPICAL_SPAN) }
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
    pub fn choose(&self, room: Room, waiting: [bool; LANES]) -> Option<Lane> {
        if room.free == 0 {
            return None;
        }
        if waiting[Lane::Status.index()] {
            return Some(Lane::Status);
        }
        let total = f64::from(room.total);
        let long = self.running[Lane::Long.index()];
        let both = f64::from(self.running[Lane::Short.index()] + long);
        if both >= total - (total * STATUS_ONLY).floor() {
            return None;
        }
        let long = f64::from(long);
        let long_waits = waiting[Lane::Long.index()];
        if long_waits && long < (total * LONG_LEAST).ceil() {
            return Some(Lane::Long);
        }
        if waiting[Lane::Short.index()] {
            return Some(Lane::Short);
        }
        (long_waits && long < (total * LONG_MOST).floor().max(1.0)).then_some(Lane::Long)
    }

    /// Counts work of a lane that starts.
    pub fn start(&mut self, lane: Lane) {
        self.running[lane.index()] += 1;
    }

    /// Counts work of a lane that ends.
    pub fn end(&mut self, lane: Lane) {
        let running = &mut self.running[lane.index()];
        *running = running.saturating_sub(1);
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
