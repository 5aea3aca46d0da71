//! A serving group, or a single instance that holds a model's weights in reserve.

use crate::{announcement, registry, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;

/// Phase of a group's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// Reserve instance: it loads the weights.
    Preparing,
    /// Reserve instance: it has the weights.
    Prepared,
    /// The members join and load the weights.
    Joining,
    /// All members were ready under this epoch; the head is ordered to open.
    Opening,
    /// The head accepts requests.
    Serving,
    /// A member is unresponsive: the group gets no new requests, and goes on once the member does.
    Suspended,
    /// A member was asked to leave; the head finishes its requests.
    Closing,
    /// The group is over; the head must leave before any member may join another group.
    Leaving,
}

impl Phase {
    /// Whether the group is a reserve instance.
    pub fn is_reserve(self) -> bool {
        matches!(self, Phase::Preparing | Phase::Prepared)
    }

    /// Whether requests may run in the group.
    pub fn may_have_requests(self) -> bool {
        matches!(self, Phase::Opening | Phase::Serving | Phase::Suspended | Phase::Closing)
    }

    /// Whether the group serves or is about to.
    pub fn is_active(self) -> bool {
        matches!(self, Phase::Joining | Phase::Opening | Phase::Serving)
    }
}

/// A serving group or a reserve instance.
#[derive(Clone, Debug)]
pub struct Group {
    /// Pool of its members.
    pub pool: name::Pool,
    /// Fabric domain of its members.
    pub domain: name::Domain,
    /// Model that it serves.
    pub model: name::Model,
    /// Members; the first is the head.
    ///
    /// Invariant: no instance is a member of two groups.
    pub members: Vec<name::Instance>,
    /// Epoch of this membership.
    ///
    /// Invariant: no other membership of any group has this epoch, whichever leader formed it.
    pub epoch: u64,
    /// Current phase.
    pub phase: Phase,
    /// Start of the current phase.
    pub phase_since: clock::Instant,
    /// Time at which the current phase's order was last sent to each member.
    pub order_sent_at: BTreeMap<name::Instance, clock::Instant>,
    /// Whether a member was lost, so that requests running there will not complete.
    pub is_lost: bool,
}

/// Relation of a member to its group, by its latest announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is dead or unknown, or it is leaving and no longer a member.
    Lost,
    /// It was a member by its last announcement, and is unreachable.
    Unresponsive,
    /// It has not called this leader, and what is known of it may predate its membership.
    Unheard,
    /// It is alive and not a member under the group's epoch: not yet, or no longer.
    Outside,
    /// It is a member and has announced that it will leave.
    Departing(announcement::State),
    /// It is a member.
    Inside(announcement::State),
}

impl Presence {
    /// Whether it announces that it accepts requests or finishes those in flight.
    pub fn is_open(&self) -> bool {
        use announcement::State;
        matches!(
            self,
            Presence::Inside(State::Open | State::Closing)
                | Presence::Departing(State::Open | State::Closing)
        )
    }
}

impl Group {
    /// The member that accepts the requests.
    pub fn head(&self) -> &name::Instance {
        &self.members[0]
    }

    /// Enters a phase, whose orders are then due at once.
    pub fn enter_phase(&mut self, now: clock::Instant, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.order_sent_at.clear();
    }

    /// Relation of `instance` to this group, which is registered under the name `group`.
    pub fn presence_of(
        &self,
        group: &name::Group,
        instance: &name::Instance,
        registry: &registry::Registry,
    ) -> Presence {
        let Some(record) = registry.get(instance).filter(|record| !record.dead) else {
            return Presence::Lost;
        };
        let membership = record.announcement.membership.as_ref();
        let current = membership.filter(|it| it.group == *group && it.epoch == self.epoch);
        match current {
            None if record.is_leaving() => Presence::Lost,
            None => Presence::Outside,
            Some(membership) if record.is_leaving() => Presence::Departing(membership.state),
            Some(_) if record.unresponsive => Presence::Unresponsive,
            Some(membership) => Presence::Inside(membership.state),
        }
    }

    /// Whether any of its members responds, as far as is known.
    pub fn has_responsive_member(&self, registry: &registry::Registry) -> bool {
        let is_responsive = |member: &name::Instance| {
            registry.get(member).is_some_and(|record| !record.unresponsive)
        };
        self.members.iter().any(is_responsive)
    }

    /// The group as it is published to followers.
    pub fn to_view(&self) -> view::Group {
        view::Group {
            pool: self.pool.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
            epoch: self.epoch,
            state: match self.phase {
                Phase::Serving => view::GroupState::Serving,
                Phase::Suspended => view::GroupState::Suspended,
                Phase::Leaving if self.is_lost => view::GroupState::Lost,
                Phase::Opening => view::GroupState::Opening,
                Phase::Closing => view::GroupState::Closing,
                Phase::Preparing | Phase::Prepared | Phase::Joining | Phase::Leaving => {
                    view::GroupState::Inactive
                }
            },
        }
    }
}
