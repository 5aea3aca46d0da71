//! Reserve by rank: the part of each upstream's limit that less urgent requests leave to more
//! urgent ones.
//!
//! When a burst of an urgent kind arrives beside a steady load that fills the upstreams, both would
//! be rejected alike. The reserve follows the urgent requests that were rejected or late within the
//! last second or so, in relation to all requests that were sent: that part of the capacity was
//! given to the wrong requests.

use hyssopfork_wire::clock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest reserve, as a part of the limit: an urgent kind that is late for another reason than the
/// load takes no more than this from the others.
pub const MAX_RESERVE: f64 = 0.25;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Reserve for each missed request, in relation to the requests sent. Once a reserve keeps urgent
/// requests from being missed, it decays; with a factor of 1, it would balance only where a large
/// part of them is missed.
const MISS_FACTOR: f64 = 4.0;

/// Number of ranks that are distinguished; all further ones count as the last.
const MAX_RANKS: u32 = 16;

/// Recent requests for the upstreams of one pool and model.
#[derive(Clone, Debug, Default)]
pub struct Reserve {
    updated_at: clock::Instant,
    /// Requests that were sent, decayed to `updated_at`.
    sent: f64,
    /// Requests of each rank that were rejected or late, decayed to `updated_at`.
    missed: BTreeMap<u32, f64>,
}

impl Reserve {
    /// Counts a request that was sent to an upstream.
    pub fn on_sent(&mut self, now: clock::Instant) {
        self.decay(now);
        self.sent += 1.0;
    }

    /// Counts a request of this rank that was rejected for lack of capacity, or late.
    pub fn on_missed(&mut self, now: clock::Instant, rank: u32) {
        self.decay(now);
        *self.missed.entry(rank.min(MAX_RANKS - 1)).or_default() += 1.0;
    }

    /// Part of the limit that a request of this rank leaves to more urgent ones.
    pub fn ratio(&self, now: clock::Instant, rank: u32) -> f64 {
        let more_urgent = self.missed.range(..rank.min(MAX_RANKS - 1));
        let missed: f64 = more_urgent.map(|(_, missed)| missed).sum();
        let factor = self.remaining(now);
        let (missed, sent) = (missed * factor, self.sent * factor);
        (missed * MISS_FACTOR / sent.max(1.0)).min(MAX_RESERVE)
    }

    /// Part of the counts that remains at this time.
    fn remaining(&self, now: clock::Instant) -> f64 {
        0.5_f64.powf(now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    fn decay(&mut self, now: clock::Instant) {
        let factor = self.remaining(now);
        self.updated_at = now;
        self.sent *= factor;
        self.missed.values_mut().for_each(|missed| *missed *= factor);
    }
}
