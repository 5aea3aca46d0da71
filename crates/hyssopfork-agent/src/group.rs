//! The group: standing by it as a member, leading it as the first member, loading for it.

use crate::{action, core, gate, notice, standing};
use hyssopfork_state::upstream;
use hyssopfork_wire::{change, clock, configuration, fleet, member, name, number, refusal, timing};

/// Where this instance is placed, copied out of the view.
#[derive(Clone, Debug)]
struct Place {
    group: name::Group,
    placement: fleet::Placement,
    rank: usize,
}

impl Place {
    fn others(&self) -> &[name::Instance] {
        &self.placement.members[1..]
    }
}

impl core::Core {
    /// The first member of a group asks for a grant.
    pub(crate) fn asked(
        &mut self,
        now: clock::Instant,
        call: u64,
        request: &member::Request,
        actions: &mut Vec<action::Action>,
    ) {
        self.watcher.on_version_seen(request.version);
        let version = self.watcher.view().version;
        let response = if self.may_grant(now, request) {
            self.grants.give(request.fence, now);
            let leaving = self.stopping.is_some();
            member::Response::Granted { duration: timing::GROUP_GRANT, version, leaving }
        } else {
            member::Response::Refused { version }
        };
        actions.push(action::Action::ReplyStand { call, response });
    }

    /// A member answered.
    pub(crate) fn stood(&mut self, call: u64, response: Option<member::Response>) {
        match response {
            Some(member::Response::Granted { duration: term, version, leaving }) => {
                self.watcher.on_version_seen(version);
                self.standing.grant(call, term, leaving);
            }
            Some(member::Response::Refused { version }) => {
                self.watcher.on_version_seen(version);
                self.standing.refuse(call);
            }
            None => self.standing.fail(call),
        }
    }

    /// The engine answered an order.
    pub(crate) fn ordered(
        &mut self,
        now: clock::Instant,
        fence: number::Fence,
        done: bool,
        actions: &mut Vec<action::Action>,
    ) {
        if !self.engine.ordered(fence, done, now) {
            return;
        }
        let notice =
            if done { notice::Notice::Loaded(fence) } else { notice::Notice::LoadFailed(fence) };
        actions.push(action::Action::Notice(notice));
    }

    /// Everything about the group that time or an event may have made due.
    pub(crate) fn settle_group(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        if self.announcement.profile.kind != configuration::Kind::Engine {
            return;
        }
        let place = self.place();
        self.settle_serving(now, actions);
        self.settle_ended(now, place.as_ref());
        let Some(place) = place else { return };
        if place.rank == 0 {
            self.ask_members(now, &place, actions);
        }
        self.order(now, &place, actions);
    }

    /// Ends what runs as soon as the group stops being whole. A member may have been given to
    /// another group or be gone: an answer that went on would be served by a part of the group.
    fn settle_serving(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let whole = self.gate(now).is_whole();
        if whole == self.serving {
            return;
        }
        self.serving = whole;
        let fence = self.standing.fence();
        if whole {
            actions.push(action::Action::Notice(notice::Notice::GroupWhole(fence)));
            return;
        }
        let missing = self.place().and_then(|place| self.missing(now, &place));
        actions.push(action::Action::Notice(notice::Notice::GroupLost(fence, missing)));
        self.end_all(refusal::Reason::GroupIncomplete, actions);
    }

    fn missing(&self, now: clock::Instant, place: &Place) -> Option<name::Instance> {
        self.standing.missing(place.others(), now).cloned()
    }

    /// Vouches for the end of older numbers: control waits for this before it gives the instance
    /// to another group in less than the lapse of its lease.
    fn settle_ended(&mut self, now: clock::Instant, place: Option<&Place>) {
        if !self.watcher.is_recent(now) {
            return;
        }
        let ended = match place {
            Some(place) => {
                self.newest = self.newest.max(place.placement.fence);
                number::Fence(place.placement.fence.0.saturating_sub(1))
            }
            None => self.newest,
        };
        self.grants.end(ended, now);
    }

    fn ask_members(
        &mut self,
        now: clock::Instant,
        place: &Place,
        actions: &mut Vec<action::Action>,
    ) {
        self.standing.turn(place.placement.fence);
        if !self.standing.is_due(now) {
            return;
        }
        let request = self.request(place);
        for instance in place.others() {
            let Some(member) = self.watcher.view().members.get(instance) else { continue };
            let to = member.announcement.peer;
            self.calls += 1;
            self.standing.ask(self.calls, instance, now);
            actions.push(action::Action::Stand {
                call: self.calls,
                to,
                request: request.clone(),
                timeout: standing::ASK_TIMEOUT,
            });
        }
    }

    fn request(&self, place: &Place) -> member::Request {
        member::Request {
            group: place.group.clone(),
            fence: place.placement.fence,
            first: self.announcement.instance.clone(),
            version: self.watcher.view().version,
            running: self.attempts.running(),
            draining: self.stopping.is_some() || self.standing.is_draining(),
        }
    }

    /// Orders the engine to load where that is due: under the number that control placed this
    /// instance under, by a view that is recent, and not before every grant under another number
    /// has lapsed, since the order takes the engine away from that group.
    fn order(&mut self, now: clock::Instant, place: &Place, actions: &mut Vec<action::Action>) {
        let fence = place.placement.fence;
        let may = self.watcher.is_recent(now)
            && gate::is_recorded(self.watcher.view(), &self.announcement)
            && self.grants.is_clear(fence, now)
            && fence > self.grants.ended()
            && self.stopping.is_none();
        if !may {
            return;
        }
        self.engine.adopt(now, Some(fence));
        if !self.engine.is_due(fence, now) {
            return;
        }
        let Some(model) = self.model(&place.group) else { return };
        self.end_all(refusal::Reason::GroupIncomplete, actions);
        self.engine.order(fence, now);
        actions.push(action::Action::Order(action::Order {
            fence,
            group: place.group.clone(),
            model,
            rank: place.rank as u32,
            members: place.placement.members.clone(),
        }));
        actions.push(action::Action::Notice(notice::Notice::Ordered(fence)));
    }

    fn model(&self, group: &name::Group) -> Option<name::Model> {
        let configuration = &self.watcher.view().configuration;
        configuration.groups.get(group).map(|group| group.model.clone())
    }

    /// A member that is leaving goes on standing by what runs, also without a lease, until the
    /// first member takes no new work and nothing runs: a graceful stop cuts nothing off.
    fn may_grant(&mut self, now: clock::Instant, request: &member::Request) -> bool {
        let leaving = self.stopping.is_some();
        // For good: the asker drains because of the grant that this refusal ends, and would not
        // say so in its next request.
        self.released |= leaving && request.draining && request.running == 0;
        let recent = self.watcher.is_recent(now) || leaving;
        recent
            && !self.released
            && is_placed(self.watcher.view(), &self.announcement, request)
            && self.engine.loaded(now) == Some(request.fence)
            && self.grants.may_give(request.fence, now)
    }

    fn place(&self) -> Option<Place> {
        let view = self.watcher.view();
        let (group, placement, rank) = upstream::placement_of(view, &self.announcement.instance)?;
        Some(Place { group: group.clone(), placement: placement.clone(), rank })
    }
}

/// Whether the view places this very process as a member of the asker's group, and the asker as
/// its first member.
fn is_placed(
    view: &change::View,
    announcement: &fleet::Announcement,
    request: &member::Request,
) -> bool {
    let Some(placement) = view.placements.get(&request.group) else { return false };
    gate::is_recorded(view, announcement)
        && placement.fence == request.fence
        && placement.members.first() == Some(&request.first)
        && placement.members.iter().skip(1).any(|member| *member == announcement.instance)
}
