//! Upstreams that requests can be sent to.

use crate::{concurrency_limit, fleet_limit, health, load, occupancy, rate_limit, slow_start};
use hyssopfork_fleet::{rate, view};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Time without bytes on any stream of an upstream, with streams in progress, after which it counts
/// as stalled. One step of a full batch takes 10 ms to 60 ms, and an event takes five steps.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without bytes on any stream of an upstream after which the leader is notified, so that it
/// checks the upstream while its requests still wait. New requests prefer other upstreams
/// meanwhile; requests in flight stay. Twice the interval between the events of a full batch; long
/// prompts exceed it now and then, which costs a few checks.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without bytes after which a request moves away from a group that is known to be lost: an
/// event in transit has arrived by then.
pub const LOST_GROUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks of a request that receives no bytes.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without bytes before the first event of any stream after which an upstream counts as
/// stalled: a prompt may wait for a slot and for other prompts.
pub const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which a stalled upstream is tried again.
const STALL_BACKOFF: Duration = Duration::from_millis(1_500);

/// Process and group that a target's state belongs to. If one of the fields changes, the target
/// starts without state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Start of its process.
    pub born: u64,
    /// Epoch of its group; 0 for a plain service.
    pub epoch: u64,
    /// Address.
    pub address: net::SocketAddr,
}

/// An upstream that requests can be sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Process and group that this state belongs to.
    pub incarnation: Incarnation,
    /// Key of the group at all entries, made from instance and incarnation.
    pub key: occupancy::Key,
    /// Pool.
    pub pool: name::Pool,
    /// Model of the group that it leads as head; `None` for a plain service.
    pub model: Option<name::Model>,
    /// Availability zone.
    pub zone: name::Zone,
    /// Whether its group is suspended, so that it gets no new requests.
    pub is_suspended: bool,
    /// Presence as the leader published it.
    pub standing: view::Status,
    /// Estimated load.
    pub load: load::Load,
    /// Concurrency limit.
    pub limit: concurrency_limit::Limit,
    /// Failure ratio and connection backoff.
    pub health: health::Health,
    /// When the process of this entry started.
    pub entry_started_at: clock::Instant,
    /// Requests of this entry in the last second.
    pub recent_sends: slow_start::Sends,
    /// Relative rank of this entry in the upstream's order of entries, from 0 for the first towards
    /// 1.
    pub preference: f64,
    /// Requests per second that this entry may send while the upstream is cold; `None` for no
    /// limit.
    pub slow_start_share: Option<usize>,
    /// Rate that it last named, for all entries together.
    pub named_rate: rate_limit::NamedRate,
    /// Rate that the leader last published.
    pub published_rate: Option<rate::Rate>,
    /// Limiter of this entry's share of the rate; `None` if no rate is named.
    pub rate_limiter: Option<rate_limit::Limiter>,
    /// When bytes last arrived on any of its streams.
    pub last_bytes_at: clock::Instant,
    /// Whether no bytes have arrived for [`SUSPECT_TIMEOUT`].
    pub suspected: bool,
    /// Since when it has been stalled.
    pub stalled_since: Option<clock::Instant>,
}

impl Target {
    /// Whether it stalled within the last `STALL_BACKOFF`.
    pub fn is_stalled(&self, now: clock::Instant) -> bool {
        self.stalled_since.is_some_and(|since| now.since(since) < STALL_BACKOFF)
    }

    /// Takes the share of the named rate for the entry at `rank` of `members`.
    pub fn update_rate_share(
        &mut self,
        now: clock::Instant,
        rank: usize,
        members: &fleet_limit::Members,
    ) {
        let previous = self.rate_limiter.take();
        self.rate_limiter = self.named_rate.rate.map(|rate| {
            let entries = members.divisor(now, rate_limit::window_of(rate));
            let limiter = rate_limit::Limiter::new(rate, rank, entries);
            limiter.with_start(self.entry_started_at).with_history_of(previous)
        });
    }

    /// Whether slow start allows another request of this entry.
    pub fn is_within_slow_start(&self, now: clock::Instant) -> bool {
        let has_room = |share| self.recent_sends.has_room(now, share, self.entry_started_at);
        self.slow_start_share.is_none_or(has_room)
    }

    /// Time until the rate limit allows another request of this entry; zero for now.
    pub fn rate_limit_delay(&self, now: clock::Instant) -> Duration {
        self.rate_limiter.as_ref().map_or(Duration::ZERO, |limiter| limiter.delay(now))
    }

    /// Records whether the leader has suspended its group. When it goes on, what was held against it during
    /// the suspension no longer counts.
    pub fn set_suspended(&mut self, is_suspended: bool) {
        if std::mem::replace(&mut self.is_suspended, is_suspended) && !is_suspended {
            self.suspected = false;
            self.stalled_since = None;
            self.health = health::Health::default();
        }
    }

    /// Records that a request of this entry has ended. Without another one, no bytes would ever end the
    /// suspicion.
    pub fn on_request_ended(&mut self) {
        self.load.own_requests = self.load.own_requests.saturating_sub(1);
        self.suspected &= self.load.own_requests > 0;
    }

    /// Records that bytes arrived.
    pub fn on_bytes(&mut self, now: clock::Instant) {
        self.last_bytes_at = now;
        self.suspected = false;
        self.stalled_since = None;
    }
}
