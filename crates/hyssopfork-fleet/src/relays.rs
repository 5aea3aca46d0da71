//! Announcements that a follower relays to the leader: in batches, one batch at a time.
//!
//! With a call for each announcement, the upstreams of a large fleet, which all call a new leader within
//! one heartbeat interval, took its processor; calls that timed out came again. One unanswered batch
//! for each follower bounds the calls of a busy leader, and the batches grow with its delay.

use crate::announcement;
use hyssopfork_wire::clock;
use std::collections::VecDeque;
use std::net;
use std::time::Duration;

/// Most announcements in one batch; about 32 KB.
const MAX_BATCH: usize = 128;

/// Time after which a queued announcement or an unanswered batch has failed. An upstream waits for
/// one second.
const RELAY_TIMEOUT: Duration = Duration::from_millis(850);

#[derive(Clone, Debug)]
struct Queued {
    call: u64,
    announcement: announcement::Announcement,
    since: clock::Instant,
}

/// The batch that the leader has not answered.
#[derive(Clone, Debug)]
struct Pending {
    number: u64,
    to: net::SocketAddr,
    calls: Vec<u64>,
    sent_at: clock::Instant,
}

/// A batch to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch, for its answer.
    pub number: u64,
    /// The announcements.
    pub announcements: Vec<announcement::Announcement>,
}

/// Queued announcements and the unanswered batch.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    queue: VecDeque<Queued>,
    pending: Option<Pending>,
    last_number: u64,
}

impl Relays {
    /// Queues the announcement of a call.
    pub fn push(
        &mut self,
        now: clock::Instant,
        call: u64,
        announcement: announcement::Announcement,
    ) {
        self.queue.push_back(Queued { call, announcement, since: now });
    }

    /// Removes and returns the calls of an unanswered batch to another process than `leader`. A lost
    /// leader must not hold up the announcements for the next one.
    pub fn take_superseded(&mut self, leader: net::SocketAddr) -> Vec<u64> {
        let superseded = self.pending.take_if(|pending| pending.to != leader);
        superseded.map_or_else(Vec::new, |pending| pending.calls)
    }

    /// Returns the next batch for the leader `to`, if there is one and none is unanswered.
    pub fn next_batch(&mut self, now: clock::Instant, to: net::SocketAddr) -> Option<Batch> {
        if self.pending.is_some() || self.queue.is_empty() {
            return None;
        }
        let batch: Vec<Queued> = self.queue.drain(..self.queue.len().min(MAX_BATCH)).collect();
        self.last_number += 1;
        let number = self.last_number;
        let calls = batch.iter().map(|queued| queued.call).collect();
        self.pending = Some(Pending { number, to, calls, sent_at: now });
        let announcements = batch.into_iter().map(|queued| queued.announcement).collect();
        Some(Batch { number, announcements })
    }

    /// Removes and returns the calls of the batch with this number, which was answered or failed.
    pub fn take_answered(&mut self, number: u64) -> Vec<u64> {
        let answered = self.pending.take_if(|pending| pending.number == number);
        answered.map_or_else(Vec::new, |pending| pending.calls)
    }

    /// Removes and returns the calls that have waited too long.
    pub fn take_expired(&mut self, now: clock::Instant) -> Vec<u64> {
        let is_late = |since: clock::Instant| now.since(since) >= RELAY_TIMEOUT;
        let late = self.pending.take_if(|pending| is_late(pending.sent_at));
        let mut expired = late.map_or_else(Vec::new, |pending| pending.calls);
        while let Some(queued) = self.queue.pop_front_if(|queued| is_late(queued.since)) {
            expired.push(queued.call);
        }
        expired
    }

    /// Removes and returns all queued calls, when there is no leader to relay them to.
    pub fn take_queued(&mut self) -> Vec<u64> {
        self.queue.drain(..).map(|queued| queued.call).collect()
    }

    /// Drops a queued call whose client no longer waits.
    pub fn abandon(&mut self, call: u64) {
        self.queue.retain(|queued| queued.call != call);
    }
}
