//! One serving group, or one instance that holds a model's weights in reserve.

use crate::{announcement, registry, view};
use hyssopfork_wire::{clock, name};
use std::collections::BTreeMap;

/// Where a group is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// An instance in reserve takes up the weights.
    Preparing,
    /// An instance in reserve has the weights.
    Prepared,
    /// The members take up their membership.
    Joining,
    /// All members were ready under this epoch; the head is told to open.
    Opening,
    /// The head takes requests.
    Serving,
    /// The head ends what it has: a member leaves on request.
    Closing,
    /// A member was lost; the head must leave before any member may join another group.
    Leaving,
}

impl Stage {
    /// Whether it is an instance in reserve.
    pub fn is_reserve(self) -> bool {
        matches!(self, Stage::Preparing | Stage::Prepared)
    }

    /// Whether the group counts as one that serves or will in a moment.
    pub fn counts(self) -> bool {
        matches!(self, Stage::Joining | Stage::Opening | Stage::Serving)
    }
}

/// A group.
#[derive(Clone, Debug)]
pub struct Group {
    /// Pool of its members.
    pub pool: name::Pool,
    /// Domain of its members.
    pub domain: name::Domain,
    /// Model.
    pub model: name::Model,
    /// Members; the first is the head.
    ///
    /// Invariant: no instance stands in two groups.
    pub members: Vec<name::Instance>,
    /// Epoch of this membership.
    ///
    /// Invariant: no other membership of any group has it, over all leaders.
    pub epoch: u64,
    /// Where it is in its life.
    pub stage: Stage,
    /// Since when.
    pub since: clock::Instant,
    /// When the stage's order last went to each member.
    pub sent: BTreeMap<name::Instance, clock::Instant>,
}

/// How a member stands in its group, by its own newest word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// It is dead, or it was never heard of.
    Lost,
    /// It lives and is not in this epoch of the group: not yet, or not any more.
    Outside,
    /// It is in the group and said that it will leave.
    Departing(announcement::State),
    /// It is in the group.
    Inside(announcement::State),
}

impl Member {
    /// Whether it says that it takes requests, or ends those that it has.
    pub fn is_open(&self) -> bool {
        use announcement::State;
        matches!(
            self,
            Member::Inside(State::Open | State::Closing)
                | Member::Departing(State::Open | State::Closing)
        )
    }
}

impl Group {
    /// The member that takes the requests.
    pub fn head(&self) -> &name::Instance {
        &self.members[0]
    }

    /// Moves on to another stage.
    pub fn turn(&mut self, now: clock::Instant, stage: Stage) {
        self.stage = stage;
        self.since = now;
        self.sent.clear();
    }

    /// How `instance` stands in this group.
    pub fn member(
        &self,
        group: &name::Group,
        instance: &name::Instance,
        registry: &registry::Registry,
    ) -> Member {
        let Some(record) = registry.get(instance).filter(|record| !record.dead) else {
            return Member::Lost;
        };
        let membership = record.announcement.membership.as_ref();
        let inside = membership.filter(|it| it.group == *group && it.epoch == self.epoch);
        match inside {
            None if record.is_leaving() => Member::Lost,
            None => Member::Outside,
            Some(membership) if record.is_leaving() => Member::Departing(membership.state),
            Some(membership) => Member::Inside(membership.state),
        }
    }

    /// The group as followers are told of it.
    pub fn published(&self) -> view::Group {
        view::Group {
            pool: self.pool.clone(),
            model: self.model.clone(),
            members: self.members.clone(),
            epoch: self.epoch,
            serving: self.stage == Stage::Serving,
            lost: self.stage == Stage::Leaving,
        }
    }
}
