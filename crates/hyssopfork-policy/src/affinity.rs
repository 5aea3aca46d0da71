//! Prefix affinity: rendezvous hashing with bounded loads, corrected by cache events that may be
//! late or lost.
//!
//! Requests share prompt prefixes, a few of them very often; an upstream that has a prefix in its
//! cache responds sooner and at lower cost. Without affinity each prefix is computed on every
//! upstream and evicts others from every cache; with plain hashing the one upstream of a hot prefix
//! is overloaded.
//!
//! Rendezvous hashing ranks the upstreams for a prefix identically in every entry process, without
//! any exchange. The first in rank whose load is within [`MAX_LOAD_RATIO`] of the mean takes the
//! request, so that a hot prefix spreads to the next in rank, which then caches it as well. Cache
//! events only move known holders ahead in that ranking: a lost event costs a cache hit, never
//! balance.

use crate::random;
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Highest load of an upstream, as a multiple of the mean, at which affinity may choose it.
pub const MAX_LOAD_RATIO: f64 = 1.25;

/// Share of an upstream's capacity that affinity may always use: a batch this small barely slows
/// the other requests in it.
pub const LOAD_SLACK: f64 = 0.1;

/// Highest ranks that are tried before the load balancer decides alone.
pub const MAX_CANDIDATES: usize = 4;

/// Prefixes whose holders are remembered.
pub const MAX_PREFIXES: usize = 4_096;

/// Age at which a cache event is stale.
pub const HOLDER_TTL: Duration = Duration::from_secs(60);

/// Known holders of prefixes, from cache events.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    prefixes: BTreeMap<u64, BTreeMap<name::Instance, clock::Instant>>,
    insertion_order: VecDeque<u64>,
}

impl Holders {
    /// Applies a cache event: the instance has cached the prefix, or has evicted it.
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

    /// Removes an instance from all prefixes: its events had a gap, or it turned cold.
    pub fn forget_instance(&mut self, instance: &name::Instance) {
        for holders in self.prefixes.values_mut() {
            holders.remove(instance);
        }
    }

    /// Instances that are believed to have the prefix cached.
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

/// Whether affinity may choose an upstream at `utilization` when the mean is `mean`. The slack lets
/// a first request follow its prefix on an idle pool.
pub fn is_within_bound(utilization: f64, mean: f64) -> bool {
    utilization <= mean * MAX_LOAD_RATIO + LOAD_SLACK
}

/// Rendezvous weight of an instance for a prefix; the highest is first in rank.
pub fn rank(instance: &name::Instance, prefix: u64) -> u64 {
    random::mix(hash_name(instance.as_str()), prefix)
}

/// FNV-1a hash of a name: the same in every process and release.
fn hash_name(text: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
