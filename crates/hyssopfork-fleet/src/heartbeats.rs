//! Heartbeats of upstreams that followers accept in place of the leader.
//!
//! With thousands of upstreams, their heartbeats alone would take a leader's processor. The leader of a
//! large fleet therefore assigns upstreams to followers. A follower relays each announcement that
//! differs from its view, and reports the others to the leader together, with its next watch.

use crate::{announcement, view};
use hyssopfork_wire::{clock, name, number};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upstreams up to which the leader accepts all heartbeats itself.
const MAX_DIRECT_UPSTREAMS: usize = 400;

/// Longest time since the leader's last answer for which a follower accepts heartbeats.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(1);

/// Whether the upstreams of a fleet of this size are assigned to followers.
pub fn is_assigned(upstreams: usize) -> bool {
    upstreams > MAX_DIRECT_UPSTREAMS
}

/// A heartbeat that repeated what the follower's view contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The upstream.
    pub instance: name::Instance,
    /// Start time of its process.
    pub start_time_ms: u64,
    /// Number of the announcement in the follower's view that the heartbeat repeated.
    pub repeated: u64,
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Time since it arrived.
    pub age: Duration,
}

/// Heartbeats that a follower has accepted and not reported yet.
#[derive(Clone, Debug, Default)]
pub struct Heartbeats {
    accepted: BTreeMap<name::Instance, (Heartbeat, clock::Instant)>,
    /// Upstreams whose announcements this process has relayed, with the leader's term. A leader hears
    /// from each upstream in full once a term.
    relayed: BTreeMap<name::Instance, number::Term>,
    /// Relayed announcements that the leader has not answered, by call.
    relaying: BTreeMap<u64, name::Instance>,
    leader_heard_at: Option<clock::Instant>,
}

impl Heartbeats {
    /// Records an answer of the leader.
    pub fn on_leader_heard(&mut self, now: clock::Instant) {
        self.leader_heard_at = Some(now);
    }

    /// Accepts an announcement that repeats `known` for the leader of `term`; returns whether it is
    /// accepted. Otherwise it is to be relayed.
    pub fn accept(
        &mut self,
        now: clock::Instant,
        term: number::Term,
        announcement: &announcement::Announcement,
        known: Option<&view::Upstream>,
    ) -> bool {
        let Some(known) = known.filter(|known| known.status == view::Status::Present) else {
            return false;
        };
        let is_connected =
            self.leader_heard_at.is_some_and(|heard| now.since(heard) < MAX_LEADER_SILENCE);
        let is_repeated = known.announcement.is_equivalent(announcement)
            && announcement.sequence > known.announcement.sequence;
        if !is_connected || !is_repeated || self.relayed.get(&announcement.instance) != Some(&term)
        {
            return false;
        }
        let heartbeat = Heartbeat {
            instance: announcement.instance.clone(),
            start_time_ms: announcement.start_time_ms,
            repeated: known.announcement.sequence,
            sequence: announcement.sequence,
            age: Duration::ZERO,
        };
        self.accepted.insert(announcement.instance.clone(), (heartbeat, now));
        true
    }

    /// Records that an announcement is relayed as `call`.
    pub fn on_relayed(&mut self, call: u64, instance: &name::Instance) {
        self.relaying.insert(call, instance.clone());
    }

    /// Handles the leader's answer to a relayed announcement, in `term`.
    pub fn on_relay_answered(&mut self, call: u64, accepted: bool, term: number::Term) {
        let Some(instance) = self.relaying.remove(&call) else { return };
        if accepted {
            self.relayed.insert(instance, term);
        } else {
            self.relayed.remove(&instance);
        }
    }

    /// Drops what concerns upstreams that are no longer known.
    pub fn retain(&mut self, upstreams: &BTreeMap<name::Instance, view::Upstream>) {
        self.relayed.retain(|instance, _| upstreams.contains_key(instance));
    }

    /// Removes and returns the accepted heartbeats.
    pub fn take(&mut self, now: clock::Instant) -> Vec<Heartbeat> {
        let accepted = std::mem::take(&mut self.accepted);
        let with_age = |(heartbeat, at)| Heartbeat { age: now.since(at), ..heartbeat };
        accepted.into_values().map(with_age).collect()
    }
}
