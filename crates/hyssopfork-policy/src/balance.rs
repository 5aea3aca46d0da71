//! Balance: which of the upstreams that have room takes a piece of work.
//!
//! *Pattern.* Several entries send to the same upstreams; what each knows of the others' work is
//! late.
//!
//! *Without it.* Round robin sends a slow upstream as much as a fast one; the least reported load
//! sends every entry to the same upstream until its next report.
//!
//! *Rule.* The load of an upstream is its own work in flight, which is exact, and the others'
//! work from the last report, which fades with age. Two candidates are drawn at random and the
//! less loaded is taken. One in the entry's own zone wins unless it costs more than it saves.

use crate::{random, slow_start};
use hyssopfork_wire::{clock, frame};
use std::time::Duration;

/// Half-life of what a report says of others' work. While the pool is full others replace what
/// they finish, so that a report stays true; fading is only the way to find out that they went.
/// One of sixteen slots taken by others is tried again after half a second. At a half-life of 0.5 s
/// agents refused each request eight times in overload; at 5 s one in five once.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(5_000);

/// Others' work below which it no longer keeps this process away from an upstream where it has no
/// work itself. What fades never ends by itself: of an upstream that bears one piece of work, the
/// last trace of another's would keep this process away for good, and a new report comes only with
/// an answer to work that was sent. Where work is in flight that isn't needed, and dropping the
/// trace there let long jobs of other entries be forgotten while they ran.
const MIN_OTHERS_IN_FLIGHT: f64 = 0.5;

/// Time after which an upstream that said that it bears nothing is tried with one piece of work.
///
/// An agent that suspects its engine says so with a refusal, and says otherwise only with its next
/// answer to work. Believed for good, no work would ever be sent there again: callers waited out
/// their deadlines before a group that served. An agent learns from a probe, every 0.2 s, whether
/// its engine lives.
pub const ZERO_LIMIT_TTL: Duration = Duration::from_millis(250);

/// Load, as a share of an upstream's limit, that staying in the own zone may cost. Crossing zones
/// costs about a millisecond on requests of a tenth of a second and more, so little.
pub const CROSS_ZONE_PENALTY: f64 = 0.1;

/// What is known of an upstream's load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Work of this process in flight.
    pub in_flight: u32,
    others_reported: f64,
    reported_at: clock::Instant,
    limit: u32,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            in_flight: 0,
            others_reported: 0.0,
            reported_at: clock::Instant::ORIGIN,
            limit: slow_start::INITIAL_LIMIT,
        }
    }
}

impl Load {
    /// Forgets what was reported: the upstream is trusted with what a cold one bears.
    pub fn reset_report(&mut self) {
        *self = Load { in_flight: self.in_flight, ..Load::default() };
    }

    /// Takes in a report. What it counts beyond this process's own work is others'.
    pub fn on_report(&mut self, now: clock::Instant, load: frame::Load) {
        self.others_reported = f64::from(load.running.saturating_sub(self.in_flight));
        self.reported_at = now;
        self.limit = load.limit;
    }

    /// Others' work, as far as the last report still says.
    pub fn others_in_flight(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        self.others_reported
            * (-age / REPORT_HALF_LIFE.as_secs_f64() * std::f64::consts::LN_2).exp()
    }

    /// Work that the upstream bears at once, as last reported; one piece where it is time to ask
    /// again whether it bears anything.
    pub fn limit(&self, now: clock::Instant) -> u32 {
        if self.is_zero_limit_expired(now) { 1 } else { self.limit }
    }

    /// Whether it said that it bears nothing, too long ago to go by that or by what it then had.
    fn is_zero_limit_expired(&self, now: clock::Instant) -> bool {
        self.limit == 0 && now.since(self.reported_at) >= ZERO_LIMIT_TTL
    }

    /// More work that it has room for, within `limit`.
    pub fn free_slots(&self, now: clock::Instant, limit: u32) -> u32 {
        let others = self.others_in_flight(now);
        let taken = f64::from(self.in_flight) + others;
        let free = (f64::from(limit) - taken).max(0.0).floor() as u32;
        let may_try_one = self.in_flight == 0
            && (others < MIN_OTHERS_IN_FLIGHT || self.is_zero_limit_expired(now));
        if may_try_one { free.max(limit.min(1)) } else { free }
    }
}

/// A candidate for a piece of work.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Place of the upstream in the caller's table.
    pub index: usize,
    /// Work in flight as a share of what it bears.
    pub utilization: f64,
    /// Pace relative to its peers; 1 is usual, 2 is twice as slow.
    pub relative_latency: f64,
    /// Whether it stands in the caller's zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Cost of choosing it: lower is better.
    pub fn score(&self) -> f64 {
        let penalty = if self.same_zone { 0.0 } else { CROSS_ZONE_PENALTY };
        (self.utilization + penalty) * self.relative_latency
    }
}

/// The better of two candidates drawn with `random`; `None` when there is none.
pub fn choose(candidates: &[Candidate], random: u64) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[random::index(random::mix(random, 1), candidates.len())];
    let second = candidates[random::index(random::mix(random, 2), candidates.len())];
    let better = if second.score() < first.score() { second } else { first };
    Some(better)
}
