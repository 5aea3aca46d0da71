//! Admission control: decides whether an attempt may start now.

use crate::{held_grants, monitor};
use hyssopfork_state::upstream;
use hyssopfork_watch::watcher;
use hyssopfork_wire::{attempt, clock, configuration, fleet, refusal};
use std::time::Duration;

/// Retry delay after a rejection whose cause may end with a renewal or a repair.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay after a rejection whose cause ends only when operators act.
const LONG_RETRY_DELAY: Duration = Duration::from_secs(2);

/// State that admission is checked against, as of the moment of the check.
#[derive(Clone, Copy, Debug)]
pub struct Admission<'a> {
    /// Current time, read anew for this check.
    pub now: clock::Instant,
    /// Announcement of this instance.
    pub announcement: &'a fleet::Announcement,
    /// View and lease.
    pub watcher: &'a watcher::Watcher,
    /// Health monitor of the upstream.
    pub monitor: &'a monitor::Monitor,
    /// Grants that this agent holds as first member.
    pub held_grants: &'a held_grants::Grants,
    /// Whether this process was asked to stop.
    pub is_stopping: bool,
}

impl Admission<'_> {
    /// Checks whether the attempt, which arrived at `arrived_at`, may be forwarded to the upstream
    /// now.
    ///
    /// # Errors
    ///
    /// The rejection. The attempt has not run, except that it may have if it was offered to another
    /// process.
    pub fn check(
        &self,
        offer: &attempt::Offer,
        arrived_at: clock::Instant,
    ) -> Result<(), refusal::Refusal> {
        self.check_process(offer)?;
        self.check_instance()?;
        self.check_deadline(offer, arrived_at)?;
        self.check_upstream(offer)
    }

    /// Checks whether the concurrency limit allows one more attempt than `running`.
    ///
    /// # Errors
    ///
    /// The rejection; the attempt has not run.
    pub fn check_room(&self, running: u32) -> Result<(), refusal::Refusal> {
        if running + self.monitor.foreign_running(self.now) < self.monitor.limit() {
            return Ok(());
        }
        let is_warm = self.monitor.is_warm();
        let reason = if is_warm { refusal::Reason::Overloaded } else { refusal::Reason::Cold };
        reject(reason, SHORT_RETRY_DELAY)
    }

    /// Whether this instance is the first member of a complete group: its own engine is loaded, and
    /// it holds an unexpired grant from every other member.
    pub fn is_group_complete(&self) -> bool {
        let view = self.watcher.view();
        let Some((_, placement, 0)) = upstream::placement_of(view, &self.announcement.instance)
        else {
            return false;
        };
        self.held_grants.fence() == placement.fence
            && self.monitor.loaded_fence(self.now) == Some(placement.fence)
            && self.held_grants.missing(&placement.members[1..], self.now).is_none()
    }

    fn check_process(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if offer.boot != self.announcement.boot {
            return self.reject_other_boot(offer);
        }
        if self.is_stopping {
            return reject(refusal::Reason::Draining, LONG_RETRY_DELAY);
        }
        if !self.watcher.is_recent(self.now) {
            return reject(refusal::Reason::Stale, SHORT_RETRY_DELAY);
        }
        Ok(())
    }

    /// Rejects an offer to a previous process. If the offer may have reached that process on an
    /// earlier connection, it is unknown whether it ran.
    fn reject_other_boot(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if offer.first {
            return reject(refusal::Reason::Stale, SHORT_RETRY_DELAY);
        }
        Err(refusal::Refusal::may_have_run(refusal::Reason::Stale, Some(SHORT_RETRY_DELAY)))
    }

    fn check_instance(&self) -> Result<(), refusal::Refusal> {
        let view = self.watcher.view();
        if !is_recorded(view, self.announcement) {
            return reject(refusal::Reason::Stale, SHORT_RETRY_DELAY);
        }
        check_member(view, &self.announcement.instance)
    }

    fn check_deadline(
        &self,
        offer: &attempt::Offer,
        arrived_at: clock::Instant,
    ) -> Result<(), refusal::Refusal> {
        if self.now.since(arrived_at) >= offer.deadline {
            return Err(refusal::Refusal::not_run(refusal::Reason::Deadline, None));
        }
        Ok(())
    }

    fn check_upstream(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        if !self.monitor.is_alive(self.now) {
            return reject(refusal::Reason::NoUpstream, SHORT_RETRY_DELAY);
        }
        match self.announcement.profile.kind {
            configuration::Kind::Service if offer.group.is_none() => Ok(()),
            configuration::Kind::Service => reject(refusal::Reason::NoUpstream, SHORT_RETRY_DELAY),
            configuration::Kind::Engine => self.check_group(offer),
        }
    }

    fn check_group(&self, offer: &attempt::Offer) -> Result<(), refusal::Refusal> {
        let view = self.watcher.view();
        let placed = upstream::placement_of(view, &self.announcement.instance);
        let Some((group, placement, 0)) = placed else {
            return reject(refusal::Reason::GroupIncomplete, SHORT_RETRY_DELAY);
        };
        let offered = offer.group.as_ref();
        if offered.is_none_or(|(name, fence)| name != group || *fence != placement.fence) {
            return reject(refusal::Reason::GroupIncomplete, SHORT_RETRY_DELAY);
        }
        for member in &placement.members {
            check_member(view, member)?;
        }
        if self.held_grants.is_draining() {
            return reject(refusal::Reason::Draining, SHORT_RETRY_DELAY);
        }
        if !self.is_group_complete() {
            return reject(refusal::Reason::GroupIncomplete, SHORT_RETRY_DELAY);
        }
        Ok(())
    }
}

/// Whether control has recorded this process. If it has recorded another one, this process was
/// superseded or is not known yet; two processes in front of one upstream would double its
/// concurrency limit.
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
        // Control infers absence from missing renewals; whether a member is available is decided by
        // its grants.
        None | Some(upstream::Ineligibility::Absent) => Ok(()),
        Some(upstream::Ineligibility::Drained | upstream::Ineligibility::Leaving) => {
            reject(refusal::Reason::Draining, LONG_RETRY_DELAY)
        }
        Some(
            upstream::Ineligibility::ZoneOut
            | upstream::Ineligibility::ZoneUndeclared
            | upstream::Ineligibility::ZoneNotAllowed,
        ) => reject(refusal::Reason::ZoneOut, LONG_RETRY_DELAY),
        Some(
            upstream::Ineligibility::Unrecorded
            | upstream::Ineligibility::PoolUndeclared
            | upstream::Ineligibility::KindDiffers,
        ) => reject(refusal::Reason::NoUpstream, LONG_RETRY_DELAY),
    }
}

fn reject(reason: refusal::Reason, retry_after: Duration) -> Result<(), refusal::Refusal> {
    Err(refusal::Refusal::not_run(reason, Some(retry_after)))
}
