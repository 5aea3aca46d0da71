//! An upstream that requests can be sent to.

use crate::{cold, health, limit, load, rate_limit};
use hyssopfork_fleet::{rate, view};
use hyssopfork_wire::{clock, name};
use std::net;
use std::time::Duration;

/// Silence on all streams of an upstream, in the middle of them, after which it stands still. A step
/// of a full batch takes 10 ms to 60 ms and an event five of them.
pub const STALL: Duration = Duration::from_millis(500);

/// Silence on all streams of an upstream after which the leader is told, so that it asks whether the
/// upstream lives while its requests still wait; nothing else follows from it. Twice the time between
/// the events of a full batch; long prompts reach it now and then, which costs a few questions.
pub const SUSPECT: Duration = Duration::from_millis(200);

/// Silence after which a request leaves an upstream whose group is known to be lost: an event that
/// was on its way has come by then.
pub const LOST: Duration = Duration::from_millis(150);

/// Time between two looks at a request for which nothing comes.
pub const LOOK: Duration = Duration::from_millis(100);

/// Silence before the first event of any stream after which an upstream stands still: a prompt may
/// wait for a slot and for others' prompts.
pub const FIRST_STALL: Duration = Duration::from_millis(900);

/// Time after which an upstream that stood still is tried again.
const STALL_MEMORY: Duration = Duration::from_millis(1_500);

/// What a target was when its record began: another of these starts without a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Start of its process.
    pub born: u64,
    /// Epoch of its group; 0 for a plain service.
    pub epoch: u64,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Which process and group this record is of.
    pub incarnation: Incarnation,
    /// Pool.
    pub pool: name::Pool,
    /// Model of the group that it heads; `None` for a plain service.
    pub model: Option<name::Model>,
    /// Availability zone.
    pub zone: name::Zone,
    /// How it stands.
    pub standing: view::Status,
    /// How full it is.
    pub load: load::Load,
    /// How full it may be.
    pub limit: limit::Limit,
    /// Whether it answers.
    pub health: health::Health,
    /// Sends in the last second.
    pub recent: cold::Recent,
    /// Place of this entry among all in the upstream's order of them, between 0, the first, and 1.
    pub preference: f64,
    /// Requests in a second that this entry may send while it is cold; `None` for any number.
    pub cold_part: Option<usize>,
    /// Rate that it named last, for all entries together.
    pub named: rate_limit::Named,
    /// The rate as the leader published it last.
    pub published_rate: Option<rate::Rate>,
    /// This entry's part of the rate; `None` where it names none.
    pub limiter: Option<rate_limit::Limiter>,
    /// When bytes last came of any of its streams.
    pub moved: clock::Instant,
    /// Whether it has been silent for [`SUSPECT`].
    pub suspected: bool,
    /// Since when it stands still.
    pub stalled: Option<clock::Instant>,
}

impl Target {
    /// Whether it stood still just now.
    pub fn is_stalled(&self, now: clock::Instant) -> bool {
        self.stalled.is_some_and(|since| now.since(since) < STALL_MEMORY)
    }

    /// Takes the part of the named rate for the entry at `rank` of `entries`.
    pub fn divide_rate(&mut self, rank: usize, entries: usize) {
        let before = self.limiter.take();
        let limiter = self.named.rate.map(|rate| rate_limit::Limiter::new(rate, rank, entries));
        self.limiter = limiter.map(|limiter| limiter.after(before));
    }

    /// Time until this entry may send it another request; zero for now.
    pub fn wait(&self, now: clock::Instant) -> Duration {
        self.limiter.as_ref().map_or(Duration::ZERO, |limiter| limiter.wait(now))
    }

    /// Bytes came of it.
    pub fn moves(&mut self, now: clock::Instant) {
        self.moved = now;
        self.suspected = false;
        self.stalled = None;
    }
}
