//! Affinity: which upstreams hold a prompt prefix, under late and gappy cache events.
//!
//! *Pattern.* Requests share prompt prefixes, a few of them very often; an upstream that holds a
//! prefix in its cache answers sooner and cheaper.
//!
//! *Without it.* Each prefix is computed on every upstream and pushes others out of every cache;
//! or, with plain hashing, the one upstream of a hot prefix is overrun.
//!
//! *Rule.* Rendezvous hashing ranks the upstreams for each prefix in the same way in every entry,
//! without any exchange. The first in rank whose load is within [`BOUND`] of the mean takes the
//! request, so that a hot prefix spreads to the next in rank, which then hold it as well. Cache
//! events only move known holders ahead among those; a lost event costs a hit, never balance.

use crate::random;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Load of an upstream, as a multiple of the mean, up to which affinity may lead to it.
pub const MAX_LOAD_RATIO: f64 = 1.25;

/// Share of an upstream's room that is never too much for affinity: a batch this small costs the
/// others in it next to nothing.
pub const LOAD_SLACK: f64 = 0.1;

/// Ranks that are looked at before balance alone decides.
pub const MAX_CANDIDATES: usize = 4;

/// Prefixes of which holders are remembered.
pub const MAX_PREFIXES: usize = 4_096;

/// Age at which an event about a prefix is no longer believed.
pub const HOLDER_TTL: Duration = Duration::from_secs(60);

/// Known holders of prefixes, from cache events.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    prefixes: BTreeMap<u64, BTreeMap<name::Instance, clock::Instant>>,
    insertion_order: VecDeque<u64>,
}

impl Holders {
    /// Takes in a cache event: the instance holds the prefix now, or has dropped it.
    pub fn on_cache_event(
        &mut self,
        now: clock::Instant,
        instance: &name::Instance,
        prefix: u64,
        cached: bool,
    ) {
        if !cached {
            if let Some(holders) = self.prefixes.get_mut(&prefix) {
                holders.remove(instance);
            }
            return;
        }
        if !self.prefixes.contains_key(&prefix) {
            self.add_prefix(prefix);
        }
        self.prefixes.entry(prefix).or_default().insert(instance.clone(), now);
    }

    /// Forgets all that is known of an instance: its events had a gap, or it turned cold.
    pub fn forget_instance(&mut self, instance: &name::Instance) {
        for holders in self.prefixes.values_mut() {
            holders.remove(instance);
        }
    }

    /// Instances that are believed to hold the prefix.
    pub fn holders_of(&self, now: clock::Instant, prefix: u64) -> BTreeSet<&name::Instance> {
        let holders = self.prefixes.get(&prefix).into_iter().flatten();
        holders
            .filter(|(_, seen)| now.since(**seen) < HOLDER_TTL)
            .map(|(instance, _)| instance)
            .collect()
    }

    fn add_prefix(&mut self, prefix: u64) {
        self.insertion_order.push_back(prefix);
        if self.insertion_order.len() > MAX_PREFIXES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }
}

/// Whether affinity may lead to an upstream with `share` of its room taken, when the mean is
/// `mean`. The slack lets a first request follow its prefix on an idle pool.
pub fn is_within_bound(utilization: f64, mean: f64) -> bool {
    utilization <= mean * MAX_LOAD_RATIO + LOAD_SLACK
}

/// Rank of an instance for a prefix: higher is first.
pub fn rank(instance: &name::Instance, prefix: u64) -> u64 {
    random::mix(hash_name(instance.as_str()), prefix)
}

/// FNV-1a of a name: the same in every process and release.
fn hash_name(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
