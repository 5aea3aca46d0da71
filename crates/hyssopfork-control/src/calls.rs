//! Proposals that wait to be applied, and the calls that wait for them.

use hyssopfork_consensus::proposals;
use hyssopfork_wire::{clock, control, name, number};
use std::collections::BTreeSet;
use std::time::Duration;

/// Most proposals that wait at once. Above it calls are refused before they are proposed.
pub const LIMIT: usize = 8_192;

/// Time after which a call is told that its end is unknown. Longer than an election, so that a
/// leader that lost its quorum has stepped down before.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// What a proposal is for.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// A call of an operator or entry, answered with the reply.
    Call(u64),
    /// A call of an agent, answered with a lease.
    Renew(u64, Box<control::Renewal>),
    /// The leader's own: a record of the instance's presence.
    Presence(name::Instance),
    /// The leader's own: where a group stands.
    Group(name::Group),
    /// The leader's own: the state ages.
    Age,
}

impl Purpose {
    /// The call that waits, when there is one.
    pub fn call(&self) -> Option<u64> {
        match self {
            Purpose::Call(call) | Purpose::Renew(call, _) => Some(*call),
            Purpose::Presence(_) | Purpose::Group(_) | Purpose::Age => None,
        }
    }
}

/// Proposals that wait.
#[derive(Debug, Default)]
pub struct Calls {
    proposals: proposals::Proposals<Purpose>,
    /// Calls whose connection closed while their proposal waits.
    abandoned: BTreeSet<u64>,
}

impl Calls {
    /// Whether another proposal may wait.
    pub fn has_room(&self) -> bool {
        self.proposals.contexts().count() < LIMIT
    }

    /// Keeps a proposal's purpose and gives its ticket.
    pub fn wait(&mut self, now: clock::Instant, purpose: Purpose) -> u64 {
        self.proposals.register(now, purpose)
    }

    /// Notes where the proposal was appended.
    pub fn append(&mut self, ticket: u64, index: number::Index, term: number::Term) {
        self.proposals.record_position(ticket, index, term);
    }

    /// Takes the purpose of a proposal that was never appended.
    pub fn reject(&mut self, ticket: u64) -> Option<Purpose> {
        let purpose = self.proposals.take_rejected(ticket)?;
        self.heard(purpose)
    }

    /// Takes the purpose of the proposal that was applied at `index`; `None` when another entry
    /// than the one proposed here stands there.
    pub fn apply(&mut self, index: number::Index, term: number::Term) -> Option<Purpose> {
        let purpose = self.proposals.take_applied(index, term)?;
        self.heard(purpose)
    }

    /// Whether a proposal of the leader's own waits that `matches`.
    pub fn any(&self, matches: impl Fn(&Purpose) -> bool) -> bool {
        self.proposals.contexts().any(matches)
    }

    /// Instances whose presence is proposed and not yet applied.
    pub fn instances(&self) -> BTreeSet<name::Instance> {
        let presence = |purpose: &Purpose| match purpose {
            Purpose::Presence(instance) => Some(instance.clone()),
            _ => None,
        };
        self.proposals.contexts().filter_map(presence).collect()
    }

    /// The call's connection closed: nobody waits for its answer.
    pub fn abandon(&mut self, call: u64) {
        if self.any(|purpose| purpose.call() == Some(call)) {
            self.abandoned.insert(call);
        }
    }

    /// Takes the calls that have waited too long.
    pub fn due(&mut self, now: clock::Instant) -> Vec<u64> {
        let due = self.proposals.take_expired(now, PATIENCE);
        due.into_iter().filter_map(|purpose| self.heard(purpose)?.call()).collect()
    }

    /// Takes all calls; whatever waits will not be answered by this leader.
    pub fn drain(&mut self) -> Vec<u64> {
        let waiting = self.proposals.take_all();
        waiting.into_iter().filter_map(|purpose| self.heard(purpose)?.call()).collect()
    }

    /// The purpose, unless its call was abandoned.
    fn heard(&mut self, purpose: Purpose) -> Option<Purpose> {
        match purpose.call() {
            Some(call) if self.abandoned.remove(&call) => None,
            _ => Some(purpose),
        }
    }
}
