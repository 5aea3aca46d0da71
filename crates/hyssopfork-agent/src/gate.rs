//! The gate: whether an attempt may start now.

use crate::{engine, standing};
use hyssopfork_state::upstream;
use hyssopfork_watch::watcher;
use hyssopfork_wire::{attempt, clock, configuration, fleet, refusal};
use std::time::Duration;

/// When to try again after a refusal that a renewal or a repair may lift.
const SOON: Duration = Duration::from_millis(500);

/// When to try again after a refusal that operators may lift.
const LATER: Duration = Duration::from_secs(2);

/// What the gate looks at. Everything is read at the moment of the check.
#[derive(Clone, Copy, Debug)]
pub struct Gate<'a> {
    /// The clock, read anew for this check.
    pub now: clock::Instant,
    /// This instance.
    pub announcement: &'a fleet::Announcement,
    /// View and lease.
    pub watcher: &'a watcher::Watcher,
    /// Back end.
    pub engine: &'a engine::Engine,
    /// Grants held as first member.
    pub standing: &'a standing::Standing,
    /// Whether this process was asked to stop.
    pub stopping: bool,
}

impl Gate<'_> {
    /// Whether the attempt, which arrived at `arrived`, may be handed to the upstream now.
    ///
    /// # Errors
    ///
    /// The refusal; the work has not run, but for an offer to another process.
    pub fn check(
        &self,
        offer: &attempt::Offer,
        arrived: clock::Instant,
    ) -> Result<(), refusal::Refusal> {
        self.check_process(offer)?;
        self.check_declared()?;
        self.check_deadline(offer, arrived)?;
        self.check_back_end(offer)
    }

    /// Whether there is room for one more beside `running`.
    ///
    /// # Errors
    ///
    /// The refusal; the work has not run.
    pub fn check_room(&self, running: u32) -> Result<(), refusal::Refusal> {
        if running + self.engine.foreign(self.now) < self.engine.limit() {
            return Ok(());
        }
        let warm = self.engine.is_warm();
        let reason = if warm { refusal::Reason::Overloaded } else { refusal::Reason::Cold };
        refuse(reason, SOON)
    }

    /// Whether this instance is the first member of a group that is whole: its own engine is
    /// loaded and an unexpired grant is held from every other member.
    pub fn is_whole(&self) -> bool {
        let view = self.watcher.view();
        let Some((_, placement, 0)) = upstream::placement_of(view, &self.announcement.instance)
        else {
            return false;
        };
        self.standing.fence() == placement.fence
            && self.engine.loaded(self.now) == Some(placement.fence)
            && self.standing.missing(&placement.members[1..], self.now).is_none()
    }

    fn check_process(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if offer.boot != self.announcement.boot {
            return self.refuse_other_boot(offer);
        }
        if self.stopping {
            return refuse(refusal::Reason::Draining, LATER);
        }
        if !self.watcher.is_recent(self.now) {
            return refuse(refusal::Reason::Stale, SOON);
        }
        Ok(())
    }

    /// The process that was meant is gone. Of an offer that may have reached it on an earlier
    /// connection nobody can say whether it ran.
    fn refuse_other_boot(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if offer.first {
            return refuse(refusal::Reason::Stale, SOON);
        }
        Err(refusal::Refusal::may_have_run(refusal::Reason::Stale, Some(SOON)))
    }

    fn check_declared(&self) -> Result<(), refusal::Refusal> {
        let view = self.watcher.view();
        if !is_recorded(view, self.announcement) {
            return refuse(refusal::Reason::Stale, SOON);
        }
        check_member(view, &self.announcement.instance)
    }

    fn check_deadline(
        &self,
        offer: &attempt::Offer,
        arrived: clock::Instant,
    ) -> Result<(), refusal::Refusal> {
        if self.now.since(arrived) >= offer.deadline {
            return Err(refusal::Refusal::not_run(refusal::Reason::Deadline, None));
        }
        Ok(())
    }

    fn check_back_end(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if !self.engine.is_alive(self.now) {
            return refuse(refusal::Reason::NoUpstream, SOON);
        }
        match self.announcement.profile.kind {
            configuration::Kind::Service if offer.group.is_none() => Ok(()),
            configuration::Kind::Service => refuse(refusal::Reason::NoUpstream, SOON),
            configuration::Kind::Engine => self.check_group(offer),
        }
    }

    fn check_group(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        let view = self.watcher.view();
        let placed = upstream::placement_of(view, &self.announcement.instance);
        let Some((group, placement, 0)) = placed else {
            return refuse(refusal::Reason::GroupIncomplete, SOON);
        };
        let asked = offer.group.as_ref();
        if asked.is_none_or(|(name, fence)| name != group || *fence != placement.fence) {
            return refuse(refusal::Reason::GroupIncomplete, SOON);
        }
        for member in &placement.members {
            check_member(view, member)?;
        }
        if self.standing.is_draining() {
            return refuse(refusal::Reason::Draining, SOON);
        }
        if !self.is_whole() {
            return refuse(refusal::Reason::GroupIncomplete, SOON);
        }
        Ok(())
    }
}

/// Whether control has recorded this very process. Another process's record means that this one
/// was replaced, or is not known yet; two processes before one back end would double its limit.
pub fn is_recorded(
    view: &hyssopfork_wire::change::View,
    announcement: &fleet::Announcement,
) -> bool {
    let member = view.members.get(&announcement.instance);
    member.is_some_and(|member| member.announcement.boot == announcement.boot)
}

fn check_member(
    view: &hyssopfork_wire::change::View,
    instance: &hyssopfork_wire::name::Instance,
) -> Result<(), refusal::Refusal> {
    match upstream::ineligibility(view, instance) {
        // Absence is control's guess from silence; the grants decide whether a member is there.
        None | Some(upstream::Ineligibility::Absent) => Ok(()),
        Some(upstream::Ineligibility::Drained | upstream::Ineligibility::Leaving) => {
            refuse(refusal::Reason::Draining, LATER)
        }
        Some(
            upstream::Ineligibility::ZoneOut
            | upstream::Ineligibility::ZoneUndeclared
            | upstream::Ineligibility::ZoneNotAllowed,
        ) => refuse(refusal::Reason::ZoneOut, LATER),
        Some(
            upstream::Ineligibility::Unrecorded
            | upstream::Ineligibility::PoolUndeclared
            | upstream::Ineligibility::KindDiffers,
        ) => refuse(refusal::Reason::NoUpstream, LATER),
    }
}

fn refuse(reason: refusal::Reason, after: Duration) -> Result<(), refusal::Refusal> {
    Err(refusal::Refusal::not_run(reason, Some(after)))
}
