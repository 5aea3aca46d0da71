//! Lifecycle of groups: moves each one from phase to phase by its members' announcements.

use super::group::{Group, Phase, Presence};
use super::{CLOSE_TIMEOUT, Groups, order, reports};
use crate::{announcement, registry};
use hyssopfork_wire::{clock, name};
use std::time::Duration;

/// Time for which a group without requests stays suspended: by then each entry has reported the requests
/// that it sent there before it knew.
pub(super) const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(300);

impl Groups {
    /// Moves each group on until its members' announcements allow no further phase, and sends the
    /// orders of a new phase at once. Left to the next pass, the order to open alone kept clients
    /// waiting 0.1 s longer.
    pub(super) fn advance_groups(&mut self, now: clock::Instant, registry: &registry::Registry) {
        let names: Vec<name::Group> = self.groups.keys().cloned().collect();
        for name in names {
            let mut phase = None;
            while self.phase_of(&name) != phase {
                phase = self.phase_of(&name);
                self.advance_group(now, &name, registry);
            }
        }
    }

    /// Relation of a member to its group. What is known of a member of an earlier leader's group may
    /// predate its membership until it has called this leader.
    fn presence_of(
        &self,
        name: &name::Group,
        group: &Group,
        member: &name::Instance,
        registry: &registry::Registry,
    ) -> Presence {
        let presence = group.presence_of(name, member, registry);
        let may_be_outdated = group.epoch >> super::EPOCH_COUNTER_BITS != self.term.0
            && registry.get(member).is_some_and(|record| !record.heard_this_term);
        let is_unresponsive = registry.get(member).is_some_and(|record| record.unresponsive);
        match presence {
            Presence::Outside if may_be_outdated && is_unresponsive => Presence::Unresponsive,
            Presence::Outside if may_be_outdated && group.phase.may_have_requests() => {
                Presence::Unheard
            }
            presence => presence,
        }
    }

    fn phase_of(&self, name: &name::Group) -> Option<Phase> {
        self.groups.get(name).map(|group| group.phase)
    }

    fn advance_group(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        let members: Vec<Presence> =
            group.members.iter().map(|it| self.presence_of(name, group, it, registry)).collect();
        let lost = members.contains(&Presence::Lost);
        let departing = members.iter().any(|member| matches!(member, Presence::Departing(_)));
        // An earlier leader may have ordered an engine to open that counts as a reserve here.
        if group.phase.is_reserve() && members.iter().any(Presence::is_open) {
            return self.enter_phase(now, name, Phase::Leaving);
        }
        let is_unresponsive =
            |it: &name::Instance| registry.get(it).is_some_and(|record| record.unresponsive);
        let unresponsive = group.members.iter().any(is_unresponsive);
        let bound_elsewhere = matches!(group.phase, Phase::Preparing | Phase::Joining)
            && group.members.iter().any(|it| self.is_bound_elsewhere(name, it, registry));
        match group.phase {
            // A group that was not ordered to open has no requests, so its members may be used
            // elsewhere at once.
            Phase::Preparing | Phase::Joining
                if lost || departing || unresponsive || bound_elsewhere =>
            {
                self.end_group(name)
            }
            Phase::Preparing => {
                self.wait_for_members(now, name, &members, Phase::Prepared, registry)
            }
            Phase::Prepared
                if lost || departing || unresponsive || members.contains(&Presence::Outside) =>
            {
                self.end_group(name);
            }
            Phase::Prepared => {}
            Phase::Joining => self.wait_for_members(now, name, &members, Phase::Opening, registry),
            Phase::Opening if lost || members.contains(&Presence::Outside) => {
                self.lose_group(now, name);
            }
            Phase::Opening if departing => self.enter_phase(now, name, Phase::Leaving),
            Phase::Opening if unresponsive => self.enter_phase(now, name, Phase::Suspended),
            Phase::Opening => self.wait_for_opening(now, name, members[0], registry),
            Phase::Serving => self.check_serving_group(now, name, &members),
            Phase::Suspended => self.wait_for_unresponsive(now, name, &members, registry),
            Phase::Closing => self.wait_for_closing(now, name, &members, registry),
            Phase::Leaving => self.wait_for_leaving(now, name, &members, registry),
        }
    }

    /// Repeats the order to join to instances that are not in the group, until all members are ready.
    fn wait_for_members(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Presence],
        next: Phase,
        registry: &registry::Registry,
    ) {
        use announcement::State;
        let ready = |member: &Presence| {
            matches!(member, Presence::Inside(State::Ready | State::Open | State::Closing))
        };
        if members.contains(&Presence::Inside(State::Broken)) {
            return self.enter_phase(now, name, Phase::Leaving);
        }
        if members.iter().all(ready) {
            return self.enter_phase(now, name, next);
        }
        let Some(group) = self.groups.get(name) else { return };
        let outside: Vec<name::Instance> = group
            .members
            .iter()
            .zip(members)
            .filter(|(_, member)| **member == Presence::Outside)
            .map(|(instance, _)| instance.clone())
            .collect();
        let task = order::Task::Join { model: group.model.clone(), members: group.members.clone() };
        for instance in outside {
            self.send_order_if_due(now, name, &instance, task.clone(), registry);
        }
    }

    fn wait_for_opening(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        head: Presence,
        registry: &registry::Registry,
    ) {
        match head {
            Presence::Inside(announcement::State::Open) => {
                self.enter_phase(now, name, Phase::Serving)
            }
            Presence::Inside(announcement::State::Broken) => {
                self.enter_phase(now, name, Phase::Leaving)
            }
            _ => {
                if let Some(head) = self.groups.get(name).map(|group| group.head().clone()) {
                    self.send_order_if_due(now, name, &head, order::Task::Open, registry);
                }
            }
        }
    }

    fn check_serving_group(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Presence],
    ) {
        use announcement::State;
        let departing = members.iter().any(|member| matches!(member, Presence::Departing(_)));
        if is_over(members) {
            self.lose_group(now, name);
        } else if departing {
            self.enter_phase(now, name, Phase::Closing);
        } else if members.contains(&Presence::Unresponsive) {
            self.enter_phase(now, name, Phase::Suspended);
        } else if members[0] == Presence::Inside(State::Ready) {
            self.enter_phase(now, name, Phase::Opening);
        }
    }

    /// Waits until the unresponsive members of a suspended group respond or are lost. If no entry has requests
    /// there, the group ends, so that the other members can serve in another one.
    fn wait_for_unresponsive(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Presence],
        registry: &registry::Registry,
    ) {
        use announcement::State;
        if is_over(members) {
            return self.lose_group(now, name);
        }
        if !members.contains(&Presence::Unresponsive) {
            let is_closing = members[0] == Presence::Inside(State::Closing);
            let next = if is_closing { Phase::Closing } else { Phase::Serving };
            return self.enter_phase(now, name, next);
        }
        let Some(group) = self.groups.get(name) else { return };
        let head = group.head().clone();
        let is_idle = now.since(group.phase_since) >= IDLE_CLOSE_DELAY
            && self.failure_detector.is_idle(now, &head);
        match members[0] {
            Presence::Inside(State::Ready) => self.enter_phase(now, name, Phase::Leaving),
            // Nothing runs there, so that its members can be used elsewhere; it leaves itself once it
            // responds.
            Presence::Unresponsive if is_idle => self.enter_phase(now, name, Phase::Leaving),
            Presence::Inside(State::Open) if is_idle => {
                self.send_order_if_due(now, name, &head, order::Task::Close, registry);
            }
            _ => {}
        }
    }

    /// Waits until the head has finished its requests because a member leaves on request; then all
    /// members leave.
    fn wait_for_closing(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Presence],
        registry: &registry::Registry,
    ) {
        use announcement::State;
        let timed_out =
            self.groups.get(name).is_none_or(|it| now.since(it.phase_since) >= CLOSE_TIMEOUT);
        match members[0] {
            // A head that is closed but still a member could be reopened by a delayed order to open.
            Presence::Inside(State::Ready)
            | Presence::Departing(State::Ready)
            | Presence::Outside => {
                self.enter_phase(now, name, Phase::Leaving);
            }
            _ if timed_out || members.contains(&Presence::Lost) => self.lose_group(now, name),
            Presence::Inside(State::Broken) | Presence::Departing(State::Broken) => {
                self.lose_group(now, name);
            }
            Presence::Inside(State::Closing) | Presence::Departing(State::Closing) => {}
            _ => {
                if let Some(head) = self.groups.get(name).map(|group| group.head().clone()) {
                    self.send_order_if_due(now, name, &head, order::Task::Close, registry);
                }
            }
        }
        self.request_report_of_departed_head(now, name, registry);
    }

    /// Asks the head of a closing group for reports if it has departed: it announces nothing any more,
    /// so only its reports show that it has finished its requests. Until it has, no other group can be
    /// formed of the members.
    fn request_report_of_departed_head(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        registry: &registry::Registry,
    ) {
        let closing = self.groups.get(name).filter(|group| group.phase == Phase::Closing);
        let Some(record) = closing.and_then(|group| registry.get(group.head())) else { return };
        let announcement = &record.announcement;
        if record.departed
            && !record.dead
            && self.reports.is_request_due(now, announcement, true)
            && self.report_bucket.try_take(now)
        {
            self.reports.start_request(now, announcement);
            let (instance, address) = (announcement.instance.clone(), announcement.address);
            self.commands.push(super::Command::RequestReport(instance, address));
        }
    }

    /// Orders every member to leave, an unresponsive one once it responds. Each one is free as soon as it
    /// has left.
    fn wait_for_leaving(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Presence],
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        let (epoch, phase_since) = (group.epoch, group.phase_since);
        let has_left_since = |instance: &name::Instance| {
            registry
                .get(instance)
                .is_some_and(|record| record.has_left(epoch) && record.last_heard > phase_since)
        };
        let presences: Vec<(name::Instance, Presence)> =
            group.members.iter().cloned().zip(members.iter().copied()).collect();
        for (instance, member) in presences {
            match member {
                // If it is only cut off, it still announces its membership once it is reachable.
                Presence::Lost => self.remove_member(name, &instance),
                // It was ordered to leave when the phase began, and has announced since that it has.
                Presence::Outside if has_left_since(&instance) => {
                    self.on_member_left(name, &instance, registry);
                }
                Presence::Unresponsive | Presence::Unheard => {}
                // One that seemed to be outside before is ordered to leave too: a call may predate its
                // membership.
                Presence::Outside | Presence::Departing(_) | Presence::Inside(_) => {
                    self.send_order_if_due(now, name, &instance, order::Task::Leave, registry);
                }
            }
        }
    }

    /// Handles that a member has left a group that is in [`Phase::Leaving`].
    pub(super) fn on_member_left(
        &mut self,
        name: &name::Group,
        instance: &name::Instance,
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        if group.phase != Phase::Leaving {
            return;
        }
        if let Some(record) = registry.get(instance) {
            let announcement = &record.announcement;
            let last = reports::Position::of(announcement);
            // The engine's next announcement at the latest shows that it has left.
            let last = if announcement.is_in(name, group.epoch) { last.next() } else { last };
            self.left_members.insert((group.epoch, instance.clone()), last);
        }
        self.remove_member(name, instance);
    }

    fn remove_member(&mut self, name: &name::Group, instance: &name::Instance) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let members = group.members.len();
        group.members.retain(|member| member != instance);
        if group.members.len() == members {
            return;
        }
        self.group_by_member.remove(instance);
        self.reports.on_freed(instance);
        if group.members.is_empty() {
            self.end_group(name);
        }
    }
}

/// Whether the members of a group that was open show that it is over.
fn is_over(members: &[Presence]) -> bool {
    let is_gone = |member: &Presence| {
        matches!(
            member,
            Presence::Lost | Presence::Outside | Presence::Inside(announcement::State::Broken)
        )
    };
    members.iter().any(is_gone)
}
