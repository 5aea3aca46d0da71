//! How many instances each domain had lately: what a plan is made by.

use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a domain's instances count after they were lost: while they come back, the plan
/// for the others stays, in place of breaking up what serves.
const PEAK_MEMORY: Duration = Duration::from_secs(20);

/// Time without a new instance after which the plan is followed before callers send. Instances call
/// for the first time over two seconds; a group that is formed for those of the first second stands
/// where the plan for all wants the reserve, and a domain without one repairs nothing.
const GATHERED: Duration = Duration::from_millis(600);

/// Most instances that each domain had lately.
#[derive(Clone, Debug, Default)]
pub struct Peaks {
    peaks: BTreeMap<(name::Pool, name::Domain), (usize, clock::Instant)>,
    /// When a domain last had more instances than before.
    grew: BTreeMap<name::Pool, clock::Instant>,
}

impl Peaks {
    /// Takes in how many instances each domain of the pool has, and gives the most of late.
    pub fn follow(
        &mut self,
        now: clock::Instant,
        pool: &name::Pool,
        counts: &BTreeMap<name::Domain, usize>,
    ) -> BTreeMap<name::Domain, usize> {
        for (domain, count) in counts {
            let key = (pool.clone(), domain.clone());
            let peak = self.peaks.entry(key).or_insert((0, now));
            if *count > peak.0 {
                self.grew.insert(pool.clone(), now);
            }
            if *count >= peak.0 || now.since(peak.1) >= PEAK_MEMORY {
                *peak = (*count, now);
            }
        }
        self.peaks.retain(|_, peak| now.since(peak.1) < PEAK_MEMORY);
        let of_pool = self.peaks.iter().filter(|((known, _), _)| known == pool);
        of_pool.map(|((_, domain), peak)| (domain.clone(), peak.0)).collect()
    }

    /// Whether new instances still come.
    pub fn grows(&self, now: clock::Instant, pool: &name::Pool) -> bool {
        self.grew.get(pool).is_some_and(|grew| now.since(*grew) < GATHERED)
    }
}
