//! Announcements that an upstream sends when it registers and with each heartbeat.

use hyssopfork_wire::name;
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// Announcement of an upstream's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream; may be reused after a restart.
    pub instance: name::Instance,
    /// Pool of the upstream.
    pub pool: name::Pool,
    /// Address at which it serves requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// Fabric domain; instances that name none share one.
    pub domain: name::Domain,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining before it leaves.
    pub draining: bool,
    /// Remaining time of its slow start.
    pub cold: Duration,
    /// Start time of its process, in milliseconds of its own clock; distinguishes successive
    /// processes of one name.
    pub start_time_ms: u64,
    /// Number of the announcement within its process, so that reordered ones are detected.
    pub sequence: u64,
    /// Model whose weights are loaded, or were loaded in its last group.
    pub loaded: Option<name::Model>,
    /// Models whose weights are staged on its host.
    pub staged: Vec<name::Model>,
    /// Its group membership, if any.
    pub membership: Option<Membership>,
}

/// An engine's membership in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Group.
    pub group: name::Group,
    /// Epoch of the group's membership.
    pub epoch: u64,
    /// Rank among the members; 0 is the head, which accepts the group's requests.
    pub rank: u32,
    /// State of the member.
    pub state: State,
}

/// State of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Loading the weights.
    Joining,
    /// Weights loaded.
    Ready,
    /// Head only: the group accepts requests.
    Open,
    /// Head only: the group completes its requests and accepts no new ones.
    Closing,
    /// A member was lost, and the group no longer serves.
    Broken,
}

impl Announcement {
    /// Whether `other` differs at most in its sequence number and remaining slow-start time.
    pub fn is_equivalent(&self, other: &Announcement) -> bool {
        let Announcement {
            instance,
            pool: _,
            address: _,
            zone: _,
            domain: _,
            slots: _,
            draining,
            cold,
            start_time_ms: _,
            sequence: _,
            loaded,
            staged,
            membership,
        } = self;
        self.has_same_profile(other)
            && *instance == other.instance
            && *membership == other.membership
            && *draining == other.draining
            && cold.is_zero() == other.cold.is_zero()
            && *loaded == other.loaded
            && *staged == other.staged
    }

    /// Whether `other` is of the same process and has the same properties, which don't change while
    /// the process runs.
    pub fn has_same_profile(&self, other: &Announcement) -> bool {
        self.start_time_ms == other.start_time_ms
            && self.address == other.address
            && self.slots == other.slots
            && self.pool == other.pool
            && self.zone == other.zone
            && self.domain == other.domain
    }

    /// Whether this later announcement shows that the process that started at `start_time_ms`, or its group
    /// in this epoch, is gone.
    pub fn shows_end_of(&self, start_time_ms: u64, epoch: u64) -> bool {
        let is_over = |membership: &Membership| {
            membership.epoch > epoch
                || membership.epoch == epoch && membership.state == State::Broken
        };
        self.start_time_ms > start_time_ms || self.membership.as_ref().is_some_and(is_over)
    }

    /// Whether the upstream is a member of the group in this epoch.
    pub fn is_in(&self, group: &name::Group, epoch: u64) -> bool {
        self.membership.as_ref().is_some_and(|it| it.group == *group && it.epoch == epoch)
    }
}
