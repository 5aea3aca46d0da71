//! Leases that this agent grants as a member of a group: it serves the group's first member for the
//! duration of the grant.

use hyssopfork_wire::{clock, number, timing};

#[derive(Clone, Copy, Debug)]
struct Grant {
    fence: number::Fence,
    given_at: clock::Instant,
}

/// Grants given.
///
/// Invariant: at any moment unexpired grants exist under at most one fencing number, restarts of
/// this process included; none is given at or below `ended_fence`.
#[derive(Clone, Debug)]
pub struct Grants {
    started_at: clock::Instant,
    last_grant: Option<Grant>,
    ended_fence: number::Fence,
}

impl Grants {
    /// No grants, in a process that started at `now`.
    pub fn new(now: clock::Instant) -> Grants {
        Grants { started_at: now, last_grant: None, ended_fence: number::Fence::default() }
    }

    /// Whether no grant under a number other than `fence` can be unexpired.
    ///
    /// A new process does not know what the previous one granted, so it waits for
    /// [`timing::GROUP_GRANT_GUARD`] first: otherwise two groups could rely on one instance.
    pub fn is_clear(&self, fence: number::Fence, now: clock::Instant) -> bool {
        let is_expired = |at: clock::Instant| now.since(at) >= timing::GROUP_GRANT_GUARD;
        is_expired(self.started_at)
            && self.last_grant.is_none_or(|last| last.fence == fence || is_expired(last.given_at))
    }

    /// Whether a grant may be given under `fence`.
    pub fn may_give(&self, fence: number::Fence, now: clock::Instant) -> bool {
        let is_newest = self.last_grant.is_none_or(|last| fence >= last.fence);
        is_newest && fence > self.ended_fence && self.is_clear(fence, now)
    }

    /// Records that a grant is given.
    pub fn give(&mut self, fence: number::Fence, now: clock::Instant) {
        assert!(self.may_give(fence, now), "grants of one fencing number at a time");
        self.last_grant = Some(Grant { fence, given_at: now });
    }

    /// Whether any grant that was given can still be unexpired.
    pub fn has_unexpired(&self, now: clock::Instant) -> bool {
        self.last_grant.is_some_and(|last| now.since(last.given_at) < timing::GROUP_GRANT_GUARD)
    }

    /// Ends `fence` and all older numbers if no grant under them can be unexpired: none is given
    /// under them again.
    pub fn end_through(&mut self, fence: number::Fence, now: clock::Instant) {
        if fence > self.ended_fence && self.is_clear(fence.next(), now) {
            self.ended_fence = fence;
        }
    }

    /// Newest fencing number that has ended.
    pub fn ended_fence(&self) -> number::Fence {
        self.ended_fence
    }
}
