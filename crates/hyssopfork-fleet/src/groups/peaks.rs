//! Recent peak counts of instances per domain, from which layouts are computed.

use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which lost instances of a domain still count. While they are coming back, the layout
/// stays as it is, so that no serving group is broken up.
const PEAK_RETENTION: Duration = Duration::from_secs(20);

/// Time without a new instance before groups are formed while clients send no requests yet. Instances
/// first announce themselves over two seconds. Groups formed of those of the first second would take
/// the place of the reserve in the layout of all, and a domain without a reserve can repair nothing.
const GROWTH_QUIET_PERIOD: Duration = Duration::from_millis(600);

/// Recent peak count of instances of each domain.
#[derive(Clone, Debug, Default)]
pub struct Peaks {
    peaks: BTreeMap<(name::Pool, name::Domain), (usize, clock::Instant)>,
    /// Time at which a domain of the pool last exceeded its peak.
    last_growth: BTreeMap<name::Pool, clock::Instant>,
}

impl Peaks {
    /// Records the counts of the pool's domains and returns their recent peaks.
    pub fn update(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        counts: &BTreeMap<name::Domain, usize>,
    ) -> BTreeMap<name::Domain, usize> {
        for (domain, count) in counts {
            let key = (pool.clone(), domain.clone());
            let peak = self.peaks.entry(key).or_insert((0, now));
            if *count > peak.0 {
                self.last_growth.insert(pool.clone(), now);
            }
            if *count >= peak.0 || now.since(peak.1) >= PEAK_RETENTION {
                *peak = (*count, now);
            }
        }
        self.peaks.retain(|_, peak| now.since(peak.1) < PEAK_RETENTION);
        let of_pool = self.peaks.iter().filter(|((known, _), _)| known == pool);
        of_pool.map(|((_, domain), peak)| (domain.clone(), peak.0)).collect()
    }

    /// Whether the pool has gained instances within [`GROWTH_QUIET_PERIOD`].
    pub fn is_growing(&self, now: clock::Instant, pool: &name::Pool) -> bool {
        self.last_growth.get(pool).is_some_and(|at| now.since(*at) < GROWTH_QUIET_PERIOD)
    }
}
