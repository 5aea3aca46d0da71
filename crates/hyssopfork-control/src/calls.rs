//! Pending proposals, and the calls that wait for them.

use hyssopfork_consensus::proposals;
use hyssopfork_wire::{clock, control, name, number};
use std::collections::BTreeSet;
use std::time::Duration;

/// Most proposals pending at once. Above it, calls are rejected before they are proposed.
pub const MAX_PENDING_PROPOSALS: usize = 8_192;

/// Time after which a call is answered with an unknown outcome. Longer than an election, so that a
/// leader that lost its quorum has stepped down before.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// The reason for a proposal.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// A call of an operator or entry, answered with the reply.
    Call(u64),
    /// A call of an agent, answered with a lease.
    Renew(u64, Box<control::Renewal>),
    /// A change of an instance's presence, proposed by the leader itself.
    Presence(name::Instance),
    /// A change of a group's placement, proposed by the leader itself.
    Group(name::Group),
    /// Aging of the claims, proposed by the leader itself.
    Age,
}

impl Purpose {
    /// Returns the call that waits for the proposal, if any.
    pub fn call(&self) -> Option<u64> {
        match self {
            Purpose::Call(call) | Purpose::Renew(call, _) => Some(*call),
            Purpose::Presence(_) | Purpose::Group(_) | Purpose::Age => None,
        }
    }
}

/// Pending proposals.
#[derive(Debug, Default)]
pub struct Calls {
    proposals: proposals::Proposals<Purpose>,
    /// Calls whose connection closed while their proposal is pending.
    abandoned: BTreeSet<u64>,
}

impl Calls {
    /// Whether the limit of pending proposals leaves room for another one.
    pub fn has_capacity(&self) -> bool {
        self.proposals.contexts().count() < MAX_PENDING_PROPOSALS
    }

    /// Registers a proposal and returns its ticket.
    pub fn register(&mut self, now: clock::Instant, purpose: Purpose) -> u64 {
        self.proposals.register(now, purpose)
    }

    /// Records the position at which the proposal was appended.
    pub fn record_position(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.proposals.record_position(ticket, index, term);
    }

    /// Removes a proposal that was never appended and returns its purpose.
    pub fn take_rejected(&mut self, ticket: u64) -> Option<Purpose> {
        let purpose = self.proposals.take_rejected(ticket)?;
        self.unless_abandoned(purpose)
    }

    /// Removes the proposal that was applied at `index` and returns its purpose; `None` when the
    /// entry there is not one proposed by this instance.
    pub fn take_applied(&mut self, index: number::Index, term: number::Term) -> Option<Purpose> {
        let purpose = self.proposals.take_applied(index, term)?;
        self.unless_abandoned(purpose)
    }

    /// Whether the purpose of a pending proposal `matches`.
    pub fn any(&self, matches: impl Fn(&Purpose) -> bool) -> bool {
        self.proposals.contexts().any(matches)
    }

    /// Instances that have a pending proposal about their presence.
    pub fn pending_presence(&self) -> BTreeSet<name::Instance> {
        let presence = |purpose: &Purpose| match purpose {
            Purpose::Presence(instance) => Some(instance.clone()),
            _ => None,
        };
        self.proposals.contexts().filter_map(presence).collect()
    }

    /// Records that the connection of a call closed, so that its response is dropped.
    pub fn abandon(&mut self, call: u64) {
        if self.any(|purpose| purpose.call() == Some(call)) {
            self.abandoned.insert(call);
        }
    }

    /// Removes the proposals that timed out and returns their calls.
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<u64> {
        let due = self.proposals.take_expired(now, PROPOSAL_TIMEOUT);
        due.into_iter().filter_map(|purpose| self.unless_abandoned(purpose)?.call()).collect()
    }

    /// Removes all proposals and returns their calls, which this leader can no longer answer.
    pub fn take_all(&mut self) -> Vec<u64> {
        let waiting = self.proposals.take_all();
        waiting.into_iter().filter_map(|purpose| self.unless_abandoned(purpose)?.call()).collect()
    }

    /// Returns the purpose, unless its call was abandoned.
    fn unless_abandoned(&mut self, purpose: Purpose) -> Option<Purpose> {
        match purpose.call() {
            Some(call) if self.abandoned.remove(&call) => None,
            _ => Some(purpose),
        }
    }
}
