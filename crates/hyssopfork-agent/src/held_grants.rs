//! Grants that this agent holds as a group's first member.

use hyssopfork_wire::{clock, name, number, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered request for a grant is given up, and its connection with it.
///
/// A connection may have gone silent for good while new ones work. A third of the grant's term
/// leaves time to ask again over another before the last grant lapses, so that the group goes on
/// serving; the whole term would take it out of service each time.
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

    /// Starts anew under `fence`: grants of another number are worth nothing under it.
    pub fn reset(&mut self, fence: number::Fence) {
        if self.fence != fence {
            *self = Grants { fence, ..Grants::default() };
        }
    }

    /// Whether it is time to ask; notes that it is being done.
    pub fn start_round(&mut self, now: clock::Instant) -> bool {
        if now < self.request_at {
            return false;
        }
        self.request_at = now + timing::GROUP_RENEWAL_INTERVAL;
        self.requests.retain(|_, request| now.since(request.sent_at) < REQUEST_TIMEOUT);
        true
    }

    /// Notes that `member` is being asked by `call`.
    pub fn record_request(&mut self, call: u64, member: &name::Instance, now: clock::Instant) {
        self.requests.insert(call, Request { member: member.clone(), sent_at: now });
    }

    /// Takes a grant. Its term runs from when it was asked for: the member's own guard runs from
    /// a later moment, and so outlasts it.
    ///
    /// Whether the member is leaving is told by its newest grant: one that isn't leaving any more
    /// is another process, and a group that went on draining for the one before would never
    /// serve again.
    pub fn on_granted(&mut self, call: u64, duration: Duration, leaving: bool) {
        let Some(request) = self.requests.remove(&call) else { return };
        let expires_at = request.sent_at + duration.min(timing::GROUP_GRANT);
        let grant = Grant { sent_at: request.sent_at, expires_at, leaving };
        let newest = self.grants.entry(request.member).or_insert(grant);
        if grant.sent_at >= newest.sent_at {
            *newest = grant;
        }
    }

    /// Takes a refusal: the member no longer stands by the group, unless it has granted a request
    /// that was sent later than the refused one.
    pub fn on_rejected(&mut self, call: u64) {
        let Some(request) = self.requests.remove(&call) else { return };
        if self.grants.get(&request.member).is_some_and(|grant| grant.sent_at <= request.sent_at) {
            self.grants.remove(&request.member);
        }
    }

    /// Forgets a call that failed.
    pub fn on_failed(&mut self, call: u64) {
        self.requests.remove(&call);
    }

    /// Whether some member that stands by the group has said that it is leaving.
    pub fn is_draining(&self) -> bool {
        self.grants.values().any(|grant| grant.leaving)
    }

    /// First of `others` from which no unexpired grant is held; `None` when the group is whole.
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
