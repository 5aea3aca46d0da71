//! Scheduling of requests that compete for too little capacity.

use super::Core;
use crate::{request, scheduler};

impl Core {
    /// Priority of the request among those that wait at an upstream; `None` for the upstream's
    /// default, if neither ranks nor streams distinguish the requests for its pool.
    pub(super) fn upstream_priority(&self, request: &request::Request) -> Option<u8> {
        let has_ranks = self.table.as_ref().is_some_and(|table| table.has_ranks(&request.pool));
        if !has_ranks && !request.repetition.streams() {
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
