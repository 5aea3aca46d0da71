//! Scheduling of requests that compete for too little capacity.

use super::Core;
use crate::{request, scheduler};
use hyssopfork_wire::name;

/// Part of its limit from which an upstream's load is taken for the cause of a late response.
const MIN_LOAD_RATIO: f64 = 0.5;

impl Core {
    /// Part of the limit that the request leaves to those of more urgent ranks.
    pub(super) fn rank_reserve(&self, request: &request::Request) -> f64 {
        let reserve = self.rank_reserves.get(&request.kind());
        reserve.map_or(0.0, |reserve| reserve.ratio(self.now, request.rank))
    }

    /// Counts a request that is sent to an upstream.
    pub(super) fn count_sent(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if self.has_ranks(&request.pool) {
            self.rank_reserves.entry(request.kind()).or_default().on_sent(self.now);
        }
    }

    /// Counts a request of this kind and rank that was rejected for lack of capacity, or late.
    pub(super) fn count_missed(&mut self, kind: request::Kind, rank: u32) {
        if self.has_ranks(&kind.0) {
            self.rank_reserves.entry(kind).or_default().on_missed(self.now, rank);
        }
    }

    /// Counts the request as missed if its response begins too late because of the load.
    pub(super) fn count_if_late(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        let Some(attempt) = &request.attempt else { return };
        let Some(target) = self.targets.get(&attempt.instance) else { return };
        let is_loaded = attempt.load_at_start >= target.limit.get() * MIN_LOAD_RATIO;
        if self.now > request.on_time_until && is_loaded {
            self.count_missed(request.kind(), request.rank);
        }
    }

    /// Whether the declaration gives requests for the pool different ranks.
    fn has_ranks(&self, pool: &name::Pool) -> bool {
        self.table.as_ref().is_some_and(|table| table.has_ranks(pool))
    }

    /// Priority of the request among those that wait at an upstream; `None` for the upstream's
    /// default, if neither ranks nor streams distinguish the requests for its pool.
    pub(super) fn upstream_priority(&self, request: &request::Request) -> Option<u8> {
        if !self.has_ranks(&request.pool) && !request.repetition.streams() {
            return None;
        }
        let progress = if request.head_forwarded {
            scheduler::Progress::Continued
        } else if request.repetition.may_repeat() && request.last_event.is_some() {
            scheduler::Progress::Resumed
        } else if self.now < request.on_time_until {
            scheduler::Progress::OnTime
        } else {
            scheduler::Progress::Late
        };
        Some(scheduler::upstream_priority(progress, request.rank))
    }
}
