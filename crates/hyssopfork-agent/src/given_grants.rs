//! Grants that this agent gives as a member: its word that it stands by a group for a term.

use hyssopfork_wire::{clock, number, timing};

#[derive(Clone, Copy, Debug)]
struct Grant {
    fence: number::Fence,
    given_at: clock::Instant,
}

/// Grants given.
///
/// Invariant: at any moment grants of at most one fencing number can be in force, over restarts
/// of this process too; none is given at or below `ended`.
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

    /// Whether no grant under a number other than `fence` can be in force.
    ///
    /// A new process doesn't know what the one before it granted, so it waits the guard too: two
    /// groups would otherwise count on one instance.
    pub fn is_clear(&self, fence: number::Fence, now: clock::Instant) -> bool {
        let is_lapsed = |at: clock::Instant| now.since(at) >= timing::GROUP_GRANT_GUARD;
        is_lapsed(self.started_at)
            && self.last_grant.is_none_or(|last| last.fence == fence || is_lapsed(last.given_at))
    }

    /// Whether a grant may be given under `fence`.
    pub fn may_give(&self, fence: number::Fence, now: clock::Instant) -> bool {
        let is_newest = self.last_grant.is_none_or(|last| fence >= last.fence);
        is_newest && fence > self.ended_fence && self.is_clear(fence, now)
    }

    /// Notes that a grant is given.
    pub fn give(&mut self, fence: number::Fence, now: clock::Instant) {
        assert!(self.may_give(fence, now), "grants of one fencing number at a time");
        self.last_grant = Some(Grant { fence, given_at: now });
    }

    /// Whether any grant that was given can still be in force.
    pub fn has_unexpired(&self, now: clock::Instant) -> bool {
        self.last_grant.is_some_and(|last| now.since(last.given_at) < timing::GROUP_GRANT_GUARD)
    }

    /// Vouches for the end of `fence` and all older numbers, where nothing can be in force.
    pub fn end_through(&mut self, fence: number::Fence, now: clock::Instant) {
        if fence > self.ended_fence && self.is_clear(fence.next(), now) {
            self.ended_fence = fence;
        }
    }

    /// Newest fencing number whose end is vouched for.
    pub fn ended_fence(&self) -> number::Fence {
        self.ended_fence
    }
}
