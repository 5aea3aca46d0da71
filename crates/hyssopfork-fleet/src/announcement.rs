//! What an upstream says of itself when it registers, and again with each heartbeat.

use hyssopfork_wire::name;
use serde::{Deserialize, Serialize};
use std::net;
use std::time::Duration;

/// An announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream; may come back after a restart.
    pub instance: name::Instance,
    /// Pool that it belongs to.
    pub pool: name::Pool,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: name::Zone,
    /// Fabric domain; instances without one share one.
    pub domain: name::Domain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it has said that it will leave.
    pub draining: bool,
    /// How much longer it bears little.
    pub cold: Duration,
    /// When its process started, in milliseconds of its own clock; tells one process from the next
    /// under the same name.
    pub start_time_ms: u64,
    /// Counts the announcements of one process: one that overtook another is told from it.
    pub sequence: u64,
    /// Model whose weights it runs, or ran in its last group.
    pub loaded: Option<name::Model>,
    /// Models whose weights its host holds.
    pub staged: Vec<name::Model>,
    /// Its group, if it is in one.
    pub membership: Option<Membership>,
}

/// What an engine says of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Group.
    pub group: name::Group,
    /// Epoch of the group's membership.
    pub epoch: u64,
    /// Place among the members; 0 is the head, which takes the requests.
    pub rank: u32,
    /// State.
    pub state: State,
}

/// State of a member.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It takes up the weights.
    Joining,
    /// It has them.
    Ready,
    /// Head only: the group takes requests.
    Open,
    /// Head only: the group ends what it has.
    Closing,
    /// A member was lost, and the group serves no more.
    Broken,
}

impl Announcement {
    /// Whether `other` says the same but for its number and the time that has passed.
    pub fn is_equivalent(&self, other: &Announcement) -> bool {
        let Announcement {
            instance,
            pool,
            address,
            zone,
            domain,
            slots,
            draining,
            cold,
            start_time_ms,
            sequence: _,
            loaded,
            staged,
            membership,
        } = self;
        *start_time_ms == other.start_time_ms
            && *instance == other.instance
            && *membership == other.membership
            && *draining == other.draining
            && cold.is_zero() == other.cold.is_zero()
            && *loaded == other.loaded
            && *staged == other.staged
            && *address == other.address
            && *slots == other.slots
            && *pool == other.pool
            && *zone == other.zone
            && *domain == other.domain
    }

    /// Whether it is in this epoch of the group.
    pub fn is_in(&self, group: &name::Group, epoch: u64) -> bool {
        self.membership.as_ref().is_some_and(|it| it.group == *group && it.epoch == epoch)
    }
}
