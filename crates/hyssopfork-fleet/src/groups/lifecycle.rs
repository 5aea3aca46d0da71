//! Each group's way from joining to its end, as far as its members' words allow.

use super::group::{Member, Stage};
use super::{CLOSE_LIMIT, Groups, order, reports};
use crate::{announcement, registry};
use hyssopfork_wire::{clock, name};

impl Groups {
    /// Takes each group as far as its members' words allow: a stage that begins gives its orders at
    /// once. Left to the next look, the order to open alone kept callers waiting 0.1 s longer.
    pub(super) fn advance(&mut self, now: clock::Instant, registry: &registry::Registry) {
        let names: Vec<name::Group> = self.groups.keys().cloned().collect();
        for name in names {
            let mut stage = None;
            while self.stage_of(&name) != stage {
                stage = self.stage_of(&name);
                self.advance_one(now, &name, registry);
            }
        }
    }

    fn stage_of(&self, name: &name::Group) -> Option<Stage> {
        self.groups.get(name).map(|group| group.stage)
    }

    fn advance_one(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        let members: Vec<Member> =
            group.members.iter().map(|member| group.member(name, member, registry)).collect();
        let lost = members.contains(&Member::Lost);
        let departs = members.iter().any(|member| matches!(member, Member::Departing(_)));
        // An earlier leader may have told an engine to open that is taken for a reserve here.
        if group.stage.is_reserve() && members.iter().any(Member::is_open) {
            return self.turn(now, name, Stage::Leaving);
        }
        let bound = matches!(group.stage, Stage::Preparing | Stage::Joining)
            && group.members.iter().any(|it| self.is_bound_elsewhere(name, it, registry));
        match group.stage {
            Stage::Preparing | Stage::Joining if lost || departs || bound => self.end(name),
            Stage::Preparing => {
                self.wait_for_members(now, name, &members, Stage::Prepared, registry)
            }
            Stage::Prepared if lost || departs || members.contains(&Member::Outside) => {
                self.end(name);
            }
            Stage::Prepared => {}
            Stage::Joining => self.wait_for_members(now, name, &members, Stage::Opening, registry),
            Stage::Opening if lost || members.contains(&Member::Outside) => {
                self.turn(now, name, Stage::Leaving);
            }
            Stage::Opening if departs => self.turn(now, name, Stage::Leaving),
            Stage::Opening => self.wait_for_opening(now, name, members[0], registry),
            Stage::Serving => self.watch_over(now, name, &members),
            Stage::Closing => self.wait_for_closing(now, name, &members, registry),
            Stage::Leaving => self.wait_for_leaving(now, name, &members, registry),
        }
    }

    /// Repeats the order to join to those who are not in the group, until all are ready.
    fn wait_for_members(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Member],
        next: Stage,
        registry: &registry::Registry,
    ) {
        use announcement::State;
        let ready = |member: &Member| {
            matches!(member, Member::Inside(State::Ready | State::Open | State::Closing))
        };
        if members.contains(&Member::Inside(State::Broken)) {
            return self.turn(now, name, Stage::Leaving);
        }
        if members.iter().all(ready) {
            return self.turn(now, name, next);
        }
        let Some(group) = self.groups.get(name) else { return };
        let outside: Vec<name::Instance> = group
            .members
            .iter()
            .zip(members)
            .filter(|(_, member)| **member == Member::Outside)
            .map(|(instance, _)| instance.clone())
            .collect();
        let task = order::Task::Join { model: group.model.clone(), members: group.members.clone() };
        for instance in outside {
            self.order(now, name, &instance, task.clone(), registry);
        }
    }

    fn wait_for_opening(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        head: Member,
        registry: &registry::Registry,
    ) {
        match head {
            Member::Inside(announcement::State::Open) => self.turn(now, name, Stage::Serving),
            Member::Inside(announcement::State::Broken) => self.turn(now, name, Stage::Leaving),
            _ => {
                if let Some(head) = self.groups.get(name).map(|group| group.head().clone()) {
                    self.order(now, name, &head, order::Task::Open, registry);
                }
            }
        }
    }

    fn watch_over(&mut self, now: clock::Instant, name: &name::Group, members: &[Member]) {
        use announcement::State;
        let broken = members.contains(&Member::Inside(State::Broken));
        let departs = members.iter().any(|member| matches!(member, Member::Departing(_)));
        if broken || members.contains(&Member::Lost) || members.contains(&Member::Outside) {
            self.turn(now, name, Stage::Leaving);
        } else if departs {
            self.turn(now, name, Stage::Closing);
        } else if members[0] == Member::Inside(State::Ready) {
            self.turn(now, name, Stage::Opening);
        }
    }

    /// A member leaves on request: the head ends what it has, then all are free.
    fn wait_for_closing(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Member],
        registry: &registry::Registry,
    ) {
        use announcement::State;
        let late = self.groups.get(name).is_none_or(|it| now.since(it.since) >= CLOSE_LIMIT);
        match members[0] {
            // An order to open that was held up could still open a head that has only closed.
            Member::Inside(State::Ready) | Member::Departing(State::Ready) | Member::Outside => {
                self.turn(now, name, Stage::Leaving);
            }
            _ if late || members.contains(&Member::Lost) => self.turn(now, name, Stage::Leaving),
            Member::Inside(State::Broken) | Member::Departing(State::Broken) => {
                self.turn(now, name, Stage::Leaving);
            }
            Member::Inside(State::Closing) | Member::Departing(State::Closing) => {}
            _ => {
                if let Some(head) = self.groups.get(name).map(|group| group.head().clone()) {
                    self.order(now, name, &head, order::Task::Close, registry);
                }
            }
        }
    }

    /// Has every member leave; who is out is free at once.
    fn wait_for_leaving(
        &mut self,
        now: clock::Instant,
        name: &name::Group,
        members: &[Member],
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        let own = group.epoch >> super::EPOCH_BITS == self.term.0;
        let named: Vec<(name::Instance, Member)> =
            group.members.iter().cloned().zip(members.iter().copied()).collect();
        for (instance, member) in named {
            match member {
                // One that is only cut off is still a member when it is heard of again.
                Member::Lost => self.drop_member(name, &instance),
                // It was heard inside by this leader before, so this word is a newer one.
                Member::Outside if own => self.leave(name, &instance, registry),
                // Of an earlier leader's group, its call may be older than its membership: the
                // answer to the order tells.
                Member::Outside | Member::Departing(_) | Member::Inside(_) => {
                    self.order(now, name, &instance, order::Task::Leave, registry);
                }
            }
        }
    }

    /// A member is out of a group that ends.
    pub(super) fn leave(
        &mut self,
        name: &name::Group,
        instance: &name::Instance,
        registry: &registry::Registry,
    ) {
        let Some(group) = self.groups.get(name) else { return };
        if group.stage != Stage::Leaving {
            return;
        }
        if let Some(record) = registry.get(instance) {
            let told = &record.announcement;
            let last = reports::Announced::of(told);
            // The engine tells of its leaving with its next announcement at the latest.
            let last = if told.is_in(name, group.epoch) { last.next() } else { last };
            self.left.insert((group.epoch, instance.clone()), last);
        }
        self.drop_member(name, instance);
    }

    fn drop_member(&mut self, name: &name::Group, instance: &name::Instance) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let members = group.members.len();
        group.members.retain(|member| member != instance);
        if group.members.len() == members {
            return;
        }
        self.by_member.remove(instance);
        self.reports.on_freed(instance);
        if group.members.is_empty() {
            self.end(name);
        }
    }
}
