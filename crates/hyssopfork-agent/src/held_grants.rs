//! Leases that this agent holds as the first member of a group, one from each other member.

use hyssopfork_wire::{clock, name, number, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of a grant request, after which its connection is dropped too.
///
/// A connection may fail silently while new ones work. A third of the grant's duration leaves time
/// to retry over a new connection before the last grant expires, so that the group continues to
/// serve; with the whole duration, each such failure would take the group out of service.
pub const REQUEST_TIMEOUT: Duration =
    Duration::from_micros(timing::GROUP_GRANT.as_micros() as u64 / 3);

#[derive(Clone, Debug)]
struct Request {
    member: name::Instance,
    sent_at: clock::Instant,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    sent_at: clock::Instant,
    expires_at: clock::Instant,
    leaving: bool,
}

/// Grants held under one fencing number.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    fence: number::Fence,
    grants: BTreeMap<name::Instance, Grant>,
    requests: BTreeMap<u64, Request>,
    request_at: clock::Instant,
}

impl Grants {
    /// Fencing number that the grants are for.
    pub fn fence(&self) -> number::Fence {
        self.fence
    }

    /// Switches to `fence`; grants under another number are dropped, since they are not valid for
    /// it.
    pub fn reset(&mut self, fence: number::Fence) {
        if self.fence != fence {
            *self = Grants { fence, ..Grants::default() };
        }
    }

    /// Starts a round of grant requests and drops those that timed out; returns `false` if no round
    /// is due.
    pub fn start_round(&mut self, now: clock::Instant) -> bool {
        if now < self.request_at {
            return false;
        }
        self.request_at = now + timing::GROUP_RENEWAL_INTERVAL;
        self.requests.retain(|_, request| now.since(request.sent_at) < REQUEST_TIMEOUT);
        true
    }

    /// Records the request that `call` sends to `member`.
    pub fn record_request(&mut self, call: u64, member: &name::Instance, now: clock::Instant) {
        self.requests.insert(call, Request { member: member.clone(), sent_at: now });
    }

    /// Handles a grant. Its duration counts from when the request was sent: the member's guard
    /// interval starts later, and so ends later.
    ///
    /// The newest grant tells whether the member is leaving. A member that is no longer leaving is
    /// a new process; if the group kept draining for the previous one, it would never serve again.
    pub fn on_granted(&mut self, call: u64, duration: Duration, leaving: bool) {
        let Some(request) = self.requests.remove(&call) else { return };
        let expires_at = request.sent_at + duration.min(timing::GROUP_GRANT);
        let grant = Grant { sent_at: request.sent_at, expires_at, leaving };
        let newest = self.grants.entry(request.member).or_insert(grant);
        if grant.sent_at >= newest.sent_at {
            *newest = grant;
        }
    }

    /// Handles a rejection: it revokes the member's grant, unless the member granted a request that
    /// was sent later than the rejected one.
    pub fn on_rejected(&mut self, call: u64) {
        let Some(request) = self.requests.remove(&call) else { return };
        if self.grants.get(&request.member).is_some_and(|grant| grant.sent_at <= request.sent_at) {
            self.grants.remove(&request.member);
        }
    }

    /// Drops a request whose call failed.
    pub fn on_failed(&mut self, call: u64) {
        self.requests.remove(&call);
    }

    /// Whether the newest grant of any member says that the member is leaving.
    pub fn is_draining(&self) -> bool {
        self.grants.values().any(|grant| grant.leaving)
    }

    /// First of `others` from which no unexpired grant is held; `None` if all have granted.
    pub fn missing<'a>(
        &self,
        others: &'a [name::Instance],
        now: clock::Instant,
    ) -> Option<&'a name::Instance> {
        let has_granted = |member: &name::Instance| {
            self.grants.get(member).is_some_and(|grant| now < grant.expires_at)
        };
        others.iter().find(|member| !has_granted(member))
    }
}
