//! Grants that this agent holds as a group's first member.

use hyssopfork_wire::{clock, name, number, timing};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered request for a grant is given up, and its connection with it.
///
/// A connection may have gone silent for good while new ones work. A third of the grant's term
/// leaves time to ask again over another before the last grant lapses, so that the group goes on
/// serving; the whole term would take it out of service each time.
pub const ASK_TIMEOUT: Duration = Duration::from_micros(timing::GROUP_GRANT.as_micros() as u64 / 3);

#[derive(Clone, Debug)]
struct Asked {
    member: name::Instance,
    sent: clock::Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    sent: clock::Instant,
    until: clock::Instant,
    leaving: bool,
}

/// Grants held under one fencing number.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    fence: number::Fence,
    held: BTreeMap<name::Instance, Held>,
    asked: BTreeMap<u64, Asked>,
    ask_at: clock::Instant,
}

impl Standing {
    /// Fencing number that the grants are for.
    pub fn fence(&self) -> number::Fence {
        self.fence
    }

    /// Starts anew under `fence`: grants of another number are worth nothing under it.
    pub fn turn(&mut self, fence: number::Fence) {
        if self.fence != fence {
            *self = Standing { fence, ..Standing::default() };
        }
    }

    /// Whether it is time to ask; notes that it is being done.
    pub fn is_due(&mut self, now: clock::Instant) -> bool {
        if now < self.ask_at {
            return false;
        }
        self.ask_at = now + timing::GROUP_RENEWAL_INTERVAL;
        self.asked.retain(|_, asked| now.since(asked.sent) < ASK_TIMEOUT);
        true
    }

    /// Notes that `member` is being asked by `call`.
    pub fn ask(&mut self, call: u64, member: &name::Instance, now: clock::Instant) {
        self.asked.insert(call, Asked { member: member.clone(), sent: now });
    }

    /// Takes a grant. Its term runs from when it was asked for: the member's own guard runs from
    /// a later moment, and so outlasts it.
    ///
    /// Whether the member is leaving is told by its newest grant: one that isn't leaving any more
    /// is another process, and a group that went on draining for the one before would never
    /// serve again.
    pub fn grant(&mut self, call: u64, term: Duration, leaving: bool) {
        let Some(asked) = self.asked.remove(&call) else { return };
        let until = asked.sent + term.min(timing::GROUP_GRANT);
        let held = Held { sent: asked.sent, until, leaving };
        let known = self.held.entry(asked.member).or_insert(held);
        if held.sent >= known.sent {
            *known = held;
        }
    }

    /// Takes a refusal: the member no longer stands by the group, unless it has granted a request
    /// that was sent later than the refused one.
    pub fn refuse(&mut self, call: u64) {
        let Some(asked) = self.asked.remove(&call) else { return };
        if self.held.get(&asked.member).is_some_and(|held| held.sent <= asked.sent) {
            self.held.remove(&asked.member);
        }
    }

    /// Forgets a call that failed.
    pub fn fail(&mut self, call: u64) {
        self.asked.remove(&call);
    }

    /// Whether some member that stands by the group has said that it is leaving.
    pub fn is_draining(&self) -> bool {
        self.held.values().any(|held| held.leaving)
    }

    /// First of `others` from which no unexpired grant is held; `None` when the group is whole.
    pub fn missing<'a>(
        &self,
        others: &'a [name::Instance],
        now: clock::Instant,
    ) -> Option<&'a name::Instance> {
        let stands =
            |member: &name::Instance| self.held.get(member).is_some_and(|held| now < held.until);
        others.iter().find(|member| !stands(member))
    }
}
