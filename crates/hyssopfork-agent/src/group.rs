//! Serving groups: gives grants as a member, collects them as the first member, and orders the
//! engine to load.

use crate::{action, admission, core, held_grants, notice};
use hyssopfork_state::upstream;
use hyssopfork_wire::{change, clock, configuration, fleet, member, name, number, refusal, timing};

/// Placement of this instance, copied from the view.
#[derive(Clone, Debug)]
struct Place {
    group: name::Group,
    placement: fleet::Placement,
    rank: usize,
}

impl Place {
    fn other_members(&self) -> &[name::Instance] {
        &self.placement.members[1..]
    }
}

impl core::Core {
    /// Responds to a grant request of a group's first member.
    pub(crate) fn on_grant_requested(
        &mut self,
        now: clock::Instant,
        call: u64,
        request: &member::Request,
        actions: &mut Vec<action::Action>,
    ) {
        self.watcher.on_version_seen(request.version);
        let version = self.watcher.view().version;
        let response = if self.may_grant(now, request) {
            self.given_grants.give(request.fence, now);
            let leaving = self.stopping_since.is_some();
            member::Response::Granted { duration: timing::GROUP_GRANT, version, leaving }
        } else {
            member::Response::Refused { version }
        };
        actions.push(action::Action::ReplyGrant { call, response });
    }

    /// Handles the response to a grant request.
    pub(crate) fn on_grant_responded(&mut self, call: u64, response: Option<member::Response>) {
        match response {
            Some(member::Response::Granted { duration, version, leaving }) => {
                self.watcher.on_version_seen(version);
                self.held_grants.on_granted(call, duration, leaving);
            }
            Some(member::Response::Refused { version }) => {
                self.watcher.on_version_seen(version);
                self.held_grants.on_rejected(call);
            }
            None => self.held_grants.on_failed(call),
        }
    }

    /// Handles the engine's response to an order.
    pub(crate) fn on_load_finished(
        &mut self,
        now: clock::Instant,
        fence: number::Fence,
        succeeded: bool,
        actions: &mut Vec<action::Action>,
    ) {
        if !self.monitor.finish_order(fence, succeeded, now) {
            return;
        }
        let notice = if succeeded {
            notice::Notice::Loaded(fence)
        } else {
            notice::Notice::LoadFailed(fence)
        };
        actions.push(action::Action::Notice(notice));
    }

    /// Does everything about the group that the passing of time or an event has made due.
    pub(crate) fn update_group(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        if self.announcement.profile.kind != configuration::Kind::Engine {
            return;
        }
        let place = self.place();
        self.update_serving(now, actions);
        self.update_ended_fence(now, place.as_ref());
        let Some(place) = place else { return };
        if place.rank == 0 {
            self.request_grants(now, &place, actions);
        }
        self.order_load(now, &place, actions);
    }

    /// Aborts all attempts as soon as the group is no longer complete. A member may be gone or
    /// assigned to another group: a response that continued would be produced by only a part of the
    /// group.
    fn update_serving(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let is_complete = self.admission(now).is_group_complete();
        if is_complete == self.is_serving {
            return;
        }
        self.is_serving = is_complete;
        let fence = self.held_grants.fence();
        if is_complete {
            actions.push(action::Action::Notice(notice::Notice::GroupWhole(fence)));
            return;
        }
        let missing = self.place().and_then(|place| self.missing_member(now, &place));
        actions.push(action::Action::Notice(notice::Notice::GroupLost(fence, missing)));
        self.abort_all(refusal::Reason::GroupIncomplete, actions);
    }

    fn missing_member(&self, now: clock::Instant, place: &Place) -> Option<name::Instance> {
        self.held_grants.missing(place.other_members(), now).cloned()
    }

    /// Ends older fencing numbers. Control waits for this before it assigns the instance to another
    /// group earlier than the expiry of its lease.
    fn update_ended_fence(&mut self, now: clock::Instant, place: Option<&Place>) {
        if !self.watcher.is_recent(now) {
            return;
        }
        let ended_fence = match place {
            Some(place) => {
                self.newest_fence = self.newest_fence.max(place.placement.fence);
                number::Fence(place.placement.fence.0.saturating_sub(1))
            }
            None => self.newest_fence,
        };
        self.given_grants.end_through(ended_fence, now);
    }

    fn request_grants(
        &mut self,
        now: clock::Instant,
        place: &Place,
        actions: &mut Vec<action::Action>,
    ) {
        self.held_grants.reset(place.placement.fence);
        if !self.held_grants.start_round(now) {
            return;
        }
        let request = self.grant_request(place);
        for instance in place.other_members() {
            let Some(member) = self.watcher.view().members.get(instance) else { continue };
            let to = member.announcement.peer;
            self.last_call += 1;
            self.held_grants.record_request(self.last_call, instance, now);
            actions.push(action::Action::RequestGrant {
                call: self.last_call,
                to,
                request: request.clone(),
                timeout: held_grants::REQUEST_TIMEOUT,
            });
        }
    }

    fn grant_request(&self, place: &Place) -> member::Request {
        member::Request {
            group: place.group.clone(),
            fence: place.placement.fence,
            first: self.announcement.instance.clone(),
            version: self.watcher.view().version,
            running: self.attempts.running_count(),
            draining: self.stopping_since.is_some() || self.held_grants.is_draining(),
        }
    }

    /// Orders the engine to load if that is due: under the fencing number that control placed this
    /// instance under, by a recent view, and not before every grant under another number has
    /// expired, since the order takes the engine away from that group.
    fn order_load(
        &mut self,
        now: clock::Instant,
        place: &Place,
        actions: &mut Vec<action::Action>,
    ) {
        let fence = place.placement.fence;
        let may_order = self.watcher.is_recent(now)
            && admission::is_recorded(self.watcher.view(), &self.announcement)
            && self.given_grants.is_clear(fence, now)
            && fence > self.given_grants.ended_fence()
            && self.stopping_since.is_none();
        if !may_order {
            return;
        }
        self.monitor.adopt_reported(now, Some(fence));
        if !self.monitor.is_order_due(fence, now) {
            return;
        }
        let Some(model) = self.declared_model(&place.group) else { return };
        self.abort_all(refusal::Reason::GroupIncomplete, actions);
        self.monitor.start_order(fence, now);
        actions.push(action::Action::Order(action::Order {
            fence,
            group: place.group.clone(),
            model,
            rank: place.rank as u32,
            members: place.placement.members.clone(),
        }));
        actions.push(action::Action::Notice(notice::Notice::Ordered(fence)));
    }

    fn declared_model(&self, group: &name::Group) -> Option<name::Model> {
        let configuration = &self.watcher.view().configuration;
        configuration.groups.get(group).map(|group| group.model.clone())
    }

    /// Whether to grant the request. A member that is leaving continues to grant, even without a
    /// lease, until the first member is draining and has no attempts in flight: a graceful stop
    /// aborts none of them.
    fn may_grant(&mut self, now: clock::Instant, request: &member::Request) -> bool {
        let is_leaving = self.stopping_since.is_some();
        // Withdrawn permanently: the first member drains because of the grant that this rejection
        // revokes, and would no longer say so in its next request.
        self.grants_withdrawn |= is_leaving && request.draining && request.running == 0;
        let may_use_view = self.watcher.is_recent(now) || is_leaving;
        may_use_view
            && !self.grants_withdrawn
            && is_placed(self.watcher.view(), &self.announcement, request)
            && self.monitor.loaded_fence(now) == Some(request.fence)
            && self.given_grants.may_give(request.fence, now)
    }

    fn place(&self) -> Option<Place> {
        let view = self.watcher.view();
        let (group, placement, rank) = upstream::placement_of(view, &self.announcement.instance)?;
        Some(Place { group: group.clone(), placement: placement.clone(), rank })
    }
}

/// Whether the view places this process as a member of the requested group, and the sender as its
/// first member.
fn is_placed(
    view: &change::View,
    announcement: &fleet::Announcement,
    request: &member::Request,
) -> bool {
    let Some(placement) = view.placements.get(&request.group) else { return false };
    admission::is_recorded(view, announcement)
        && placement.fence == request.fence
        && placement.members.first() == Some(&request.first)
        && placement.members.iter().skip(1).any(|member| *member == announcement.instance)
}
