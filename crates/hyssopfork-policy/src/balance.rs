//! Load balancing by the power of two choices.
//!
//! Several entry processes send to the same upstreams, and each learns of the others' requests
//! late. Round robin sends a slow upstream as much as a fast one; choosing the lowest reported load
//! sends every entry process to the same upstream until its next report.
//!
//! The load of an upstream is the sum of this process's own requests in flight, which is exact, and
//! the other processes' requests from the last report, which decays with age. Two candidates are
//! drawn at random and the less loaded one is taken. An upstream in the entry's own zone wins
//! unless staying in the zone costs more than it saves.

use crate::{random, slow_start};
use hyssopfork_wire::{clock, frame};
use std::time::Duration;

/// Half-life of the other processes' requests in a load report. While the pool is full, the other
/// processes replace the requests that they finish, so a report stays true; the decay only serves
/// to find out that they stopped. With one of sixteen slots taken by others, the slot is tried
/// again after half a second. At a half-life of 0.5 s the agents rejected each request eight times
/// in overload; at 5 s one in five once.
pub const REPORT_HALF_LIFE: Duration = Duration::from_millis(5_000);

/// Other processes' requests below which they no longer keep this process from sending a request to
/// an upstream where it has none in flight. The decay alone never reaches zero: on an upstream with
/// a limit of one request, the remainder of another process's request would exclude this process
/// permanently, since a new report only comes with a response to a request that was sent. With
/// requests in flight the rule isn't needed, and there it would let long jobs of other processes be
/// forgotten while they run.
const MIN_OTHERS_IN_FLIGHT: f64 = 0.5;

/// Time after which an upstream that reported a limit of 0 is tried with one request.
///
/// An agent that suspects its engine reports the limit of 0 with a rejection, and corrects it only
/// with its next response. If the report never expired, no request would be sent there again:
/// clients would wait out their deadlines while the group could serve. An agent probes its engine
/// every 0.2 s.
pub const ZERO_LIMIT_TTL: Duration = Duration::from_millis(250);

/// Utilization, as a share of an upstream's limit, that staying in the own zone may cost. Crossing
/// zones adds about a millisecond to requests of a tenth of a second and more, so the penalty is
/// small.
pub const CROSS_ZONE_PENALTY: f64 = 0.1;

/// Known load of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests of this process in flight.
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
    /// Discards the last report: until the next one the limit is that of a cold upstream.
    pub fn reset_report(&mut self) {
        *self = Load { in_flight: self.in_flight, ..Load::default() };
    }

    /// Applies a load report. Requests beyond this process's own are counted as other processes'.
    pub fn on_report(&mut self, now: clock::Instant, load: frame::Load) {
        self.others_reported = f64::from(load.running.saturating_sub(self.in_flight));
        self.reported_at = now;
        self.limit = load.limit;
    }

    /// Other processes' requests in flight, by the decayed last report.
    pub fn others_in_flight(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        self.others_reported
            * (-age / REPORT_HALF_LIFE.as_secs_f64() * std::f64::consts::LN_2).exp()
    }

    /// Concurrent requests that the upstream accepts, as last reported; 1 if a reported limit of 0
    /// has expired.
    pub fn limit(&self, now: clock::Instant) -> u32 {
        if self.is_zero_limit_expired(now) { 1 } else { self.limit }
    }

    /// Whether the last report has a limit of 0 and is older than [`ZERO_LIMIT_TTL`].
    fn is_zero_limit_expired(&self, now: clock::Instant) -> bool {
        self.limit == 0 && now.since(self.reported_at) >= ZERO_LIMIT_TTL
    }

    /// Further requests that the upstream has capacity for, within `limit`.
    pub fn free_slots(&self, now: clock::Instant, limit: u32) -> u32 {
        let others = self.others_in_flight(now);
        let taken = f64::from(self.in_flight) + others;
        let free = (f64::from(limit) - taken).max(0.0).floor() as u32;
        let may_try_one = self.in_flight == 0
            && (others < MIN_OTHERS_IN_FLIGHT || self.is_zero_limit_expired(now));
        if may_try_one { free.max(limit.min(1)) } else { free }
    }
}

/// A candidate for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the upstream in the chooser's table.
    pub index: usize,
    /// Requests in flight as a share of the limit.
    pub utilization: f64,
    /// Time per token relative to the peers' median; 2 is twice as slow.
    pub relative_latency: f64,
    /// Whether the upstream is in the entry's zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Cost of choosing the candidate: lower is better.
    pub fn score(&self) -> f64 {
        let penalty = if self.same_zone { 0.0 } else { CROSS_ZONE_PENALTY };
        (self.utilization + penalty) * self.relative_latency
    }
}

/// The better of two candidates drawn with `random`; `None` if there is none.
pub fn choose(candidates: &[Candidate], random: u64) -> Option<Candidate> {
    if candidates.is_empty() {
        return None;
    }
    let first = candidates[random::index(random::mix(random, 1), candidates.len())];
    let second = candidates[random::index(random::mix(random, 2), candidates.len())];
    let better = if second.score() < first.score() { second } else { first };
    Some(better)
}
