//! Recovery of orphan groups, which a leader knows only from their members' announcements.
//!
//! After all processes were killed, the announcements arrive in any order, and the slower the larger
//! the fleet is. A group is therefore judged by what its members announce, not by the time for which
//! some of them have not been heard.

use super::Groups;
use super::group::Phase;
use crate::{announcement, declaration, registry, view};
use hyssopfork_wire::{clock, name};
use std::collections::{BTreeMap, BTreeSet};

/// Calls of each known member after which a member that has not called since the first of them counts as
/// gone.
const MAX_CALLS_WITHOUT_MEMBER: u32 = 8;

/// State of a group's head, as far as its members' announcements tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Head {
    /// It has not announced itself.
    Unknown,
    /// It accepts requests.
    Open,
    /// It finishes its requests.
    Closing,
    /// It accepts no requests.
    Idle,
    /// It has lost a member.
    Broken,
}

/// A group that is known only from its members' announcements.
struct Orphan {
    pool: name::Pool,
    model: Option<name::Model>,
    epoch: u64,
    /// Members that announce the group, by rank.
    members: BTreeMap<u32, name::Instance>,
    head: Head,
}

/// Calls of an orphan group's members since the first ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls(BTreeMap<name::Instance, (u32, clock::Instant)>);

impl Calls {
    /// Counts the newest call of a member; returns the number of its calls after the first.
    fn count(&mut self, member: &name::Instance, last_heard: clock::Instant) -> u32 {
        let (calls, counted_at) = self.0.entry(member.clone()).or_insert((0, last_heard));
        *calls += u32::from(*counted_at != last_heard);
        *counted_at = last_heard;
        *calls
    }
}

impl Groups {
    /// Adopts orphan groups whose head has announced itself: an open one goes on serving, whichever of
    /// its members have announced themselves yet. That is safe: the head opened when all members were
    /// ready, and a group that has lost one since serves nothing. The members of a group that is over are
    /// ordered to leave.
    pub(super) fn recover_groups(
        &mut self,
        now: clock::Instant,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
    ) {
        self.end_ambiguous_reserves(now, declaration);
        self.add_late_members(registry, declaration);
        let orphans = self.find_orphans(now, registry);
        let partial_groups = self.partial_groups(declaration);
        self.member_calls
            .retain(|name, _| orphans.contains_key(name) || partial_groups.contains(name));
        self.end_stalled_groups(now, &partial_groups, registry);
        for (name, orphan) in orphans {
            let phase = match orphan.head {
                Head::Broken => Phase::Leaving,
                Head::Open | Head::Closing if self.has_ended(&orphan, declaration) => {
                    Phase::Leaving
                }
                Head::Open => Phase::Serving,
                Head::Closing => Phase::Closing,
                Head::Idle | Head::Unknown if self.is_over(&name, &orphan, registry) => {
                    Phase::Leaving
                }
                Head::Idle | Head::Unknown => continue,
            };
            self.member_calls.remove(&name);
            let state = match phase {
                Phase::Serving => view::GroupState::Serving,
                _ => view::GroupState::Inactive,
            };
            let known = view::Group {
                pool: orphan.pool,
                model: orphan.model.unwrap_or_else(|| name::Model::from("")),
                members: orphan.members.into_values().collect(),
                epoch: orphan.epoch,
                state,
            };
            // The head may be open by a delayed order of an earlier leader, although this leader has
            // ended the group.
            self.ended_epochs.remove(&known.epoch);
            self.adopt(now, &name, known, registry);
            if let Some(group) = self.groups.get_mut(&name).filter(|_| phase != Phase::Serving) {
                group.is_lost = phase == Phase::Leaving;
                group.enter_phase(now, phase);
            }
        }
    }

    /// Ends single instances of an earlier leader that may be either reserves or groups of one member: an
    /// order to open such a group may have been accepted without being announced yet.
    fn end_ambiguous_reserves(
        &mut self,
        now: clock::Instant,
        declaration: &declaration::Declaration,
    ) {
        let is_ambiguous = |(_, group): &(&name::Group, &super::Group)| {
            group.phase.is_reserve()
                && group.epoch >> super::EPOCH_COUNTER_BITS != self.term.0
                && declaration.group_size(&group.pool, &group.model) == Some(1)
        };
        let ambiguous: Vec<name::Group> =
            self.groups.iter().filter(is_ambiguous).map(|(name, _)| name.clone()).collect();
        for name in ambiguous {
            self.enter_phase(now, &name, Phase::Leaving);
        }
    }

    /// Adds engines to recovered groups that they announce and that lack members.
    fn add_late_members(
        &mut self,
        registry: &registry::Registry,
        declaration: &declaration::Declaration,
    ) {
        for (instance, record) in registry.iter() {
            let announcement = &record.announcement;
            let Some(membership) = &announcement.membership else { continue };
            let lacks_members = |group: &super::Group| {
                let size = declaration.group_size(&group.pool, &group.model);
                group.epoch == membership.epoch
                    && size.is_some_and(|size| group.members.len() < size)
            };
            if self.group_of(instance).is_some()
                || record.dead
                || !self.groups.get(&membership.group).is_some_and(lacks_members)
                || self.is_membership_over(announcement, membership)
            {
                continue;
            }
            let rank_of = |member: &name::Instance| {
                let membership = registry.get(member)?.announcement.membership.as_ref()?;
                Some(membership.rank)
            };
            let Some(group) = self.groups.get_mut(&membership.group) else { continue };
            let precedes =
                |member: &&name::Instance| rank_of(member).is_some_and(|it| it < membership.rank);
            let position = group.members.iter().take_while(precedes).count();
            group.members.insert(position, instance.clone());
            self.group_by_member.insert(instance.clone(), membership.group.clone());
        }
    }

    /// Serving groups that lack members.
    fn partial_groups(&self, declaration: &declaration::Declaration) -> BTreeSet<name::Group> {
        let is_partial = |group: &super::Group| {
            let size = declaration.group_size(&group.pool, &group.model);
            group.phase == Phase::Serving && size.is_some_and(|size| group.members.len() < size)
        };
        self.groups
            .iter()
            .filter(|(_, group)| is_partial(group))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Ends serving groups that have been stalled for the stall timeout and whose missing members don't
    /// call. Their heads are open,
    /// but the members may have left for another group while this leader was not in office.
    fn end_stalled_groups(
        &mut self,
        now: clock::Instant,
        partial_groups: &BTreeSet<name::Group>,
        registry: &registry::Registry,
    ) {
        for name in partial_groups {
            let Some(group) = self.groups.get(name) else { continue };
            let is_stalled = self.failure_detector.is_stalled_out(now, group.head());
            let members = group.members.clone();
            let counts = self.count_calls(name, &members, registry);
            if is_stalled && self.is_conclusive(&counts) {
                self.lose_group(now, name);
            }
        }
    }

    /// Numbers of calls of the members after their first ones.
    fn count_calls(
        &mut self,
        name: &name::Group,
        members: &[name::Instance],
        registry: &registry::Registry,
    ) -> Vec<u32> {
        let calls = self.member_calls.entry(name.clone()).or_default();
        members
            .iter()
            .filter_map(|member| Some((member, registry.get(member)?)))
            .map(|(member, record)| calls.count(member, record.last_heard))
            .collect()
    }

    /// Whether this leader has ended the orphan group, so that members have left it or were lost.
    fn has_ended(&self, orphan: &Orphan, declaration: &declaration::Declaration) -> bool {
        let size = orphan.model.as_ref().and_then(|it| declaration.group_size(&orphan.pool, it));
        let is_complete = size == Some(orphan.members.len());
        let has_left = self.left_members.keys().any(|(epoch, _)| *epoch == orphan.epoch);
        self.is_ended_epoch(orphan.epoch) && !is_complete && has_left
    }

    fn is_ended_epoch(&self, epoch: u64) -> bool {
        self.left_epochs.contains(&epoch) || self.ended_epochs.contains(&epoch)
    }

    /// Whether an orphan group without an open head is over: this leader has ended it, its head has
    /// called again and is not open, or each known member has called several times and the head has
    /// not. A first call may predate an order to open.
    fn is_over(
        &mut self,
        name: &name::Group,
        orphan: &Orphan,
        registry: &registry::Registry,
    ) -> bool {
        if self.is_ended_epoch(orphan.epoch) {
            return true;
        }
        let members: Vec<name::Instance> = orphan.members.values().cloned().collect();
        let counts = self.count_calls(name, &members, registry);
        match orphan.head {
            Head::Idle => counts.first().is_some_and(|calls| *calls > 0),
            _ => self.is_conclusive(&counts),
        }
    }

    /// Whether members with these numbers of calls would have been joined by the missing ones.
    fn is_conclusive(&self, counts: &[u32]) -> bool {
        self.is_fleet_known && counts.iter().all(|calls| *calls >= MAX_CALLS_WITHOUT_MEMBER)
    }

    /// Groups that members announce and that this leader neither has nor knows to have ended.
    fn find_orphans(
        &self,
        now: clock::Instant,
        registry: &registry::Registry,
    ) -> BTreeMap<name::Group, Orphan> {
        let mut orphans: BTreeMap<name::Group, Orphan> = BTreeMap::new();
        for (instance, record) in registry.iter() {
            let Some(membership) = &record.announcement.membership else { continue };
            let heard = !record.dead && !registry.is_silent(now, record);
            let known = self.group_of(instance).is_some()
                || self.groups.contains_key(&membership.group)
                || self.is_membership_over(&record.announcement, membership);
            if known || !heard {
                continue;
            }
            let orphan = orphans.entry(membership.group.clone()).or_insert_with(|| Orphan {
                pool: record.announcement.pool.clone(),
                model: record.announcement.loaded.clone(),
                epoch: membership.epoch,
                members: BTreeMap::new(),
                head: Head::Unknown,
            });
            if membership.epoch != orphan.epoch {
                continue;
            }
            if let Some(head) = head_state(membership) {
                orphan.head = head;
            }
            // A broken member is free.
            if membership.state != announcement::State::Broken {
                orphan.members.insert(membership.rank, instance.clone());
            }
        }
        orphans.retain(|_, orphan| !orphan.members.is_empty());
        orphans
    }
}

/// State of the group's head that a member announces; `None` if it is not the head.
fn head_state(membership: &announcement::Membership) -> Option<Head> {
    use announcement::State;
    match membership.state {
        State::Broken => Some(Head::Broken),
        State::Open => Some(Head::Open),
        State::Closing => Some(Head::Closing),
        State::Joining | State::Ready if membership.rank == 0 => Some(Head::Idle),
        State::Joining | State::Ready => None,
    }
}
