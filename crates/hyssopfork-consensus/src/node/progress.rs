//! Replication progress of one follower (voter or learner), as tracked by the leader.

use crate::write;
use hyssopfork_wire::{clock, number};
use std::collections;
use std::sync;

/// Messages with entries in flight to one follower.
const MAX_IN_FLIGHT_MESSAGES: usize = 16;

/// Bytes of entries in flight to one follower. They queue on the leader's link ahead of its
/// heartbeats, so the heartbeat to each follower is delayed by the entries in flight to all.
const MAX_IN_FLIGHT_BYTES: usize = 128 << 10;

/// Unanswered rounds tracked per follower. Older ones cannot extend the quorum lease any more.
const MAX_UNANSWERED_ROUNDS: usize = 256;

/// Sent message that may still be answered.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent_at: clock::Instant,
}

/// Message with entries in flight.
#[derive(Clone, Copy, Debug)]
struct Batch {
    last: number::Index,
    bytes: usize,
}

/// Transfer of a snapshot to a follower, one part at a time.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Snapshot that is transferred.
    pub snapshot: sync::Arc<write::Snapshot>,
    /// Offset of the part in flight, in bytes.
    pub offset: usize,
    /// Round of that part; 0 if none is in flight.
    pub round: u64,
    /// When that part was sent.
    pub sent_at: clock::Instant,
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Next index to send.
    ///
    /// Invariant: above `matched`.
    pub next: number::Index,
    /// Last index up to which the follower's synced log is known to match the leader's.
    pub matched: number::Index,
    /// Whether the leader is still searching for the last matching index, with one message in
    /// flight at a time.
    pub probing: bool,
    /// When the newest answered round was sent or, before the first response, when tracking
    /// started. The time of the response is not used: after a pause of the process, old responses
    /// are read late and would make voters that are gone look alive.
    pub last_contact: clock::Instant,
    /// When the newest answered round was sent; the quorum lease is measured from here.
    pub lease_start: Option<clock::Instant>,
    /// Snapshot transfer in progress.
    pub transfer: Option<Transfer>,
    /// Messages with entries in flight.
    in_flight: collections::VecDeque<Batch>,
    rounds: collections::VecDeque<Round>,
    /// Last round sent.
    newest_round: u64,
    /// Round up to which rejections have been handled.
    ///
    /// Each rejection causes a retry. If the network duplicates a rejection, and both copies caused
    /// retries, the number of messages would double each time, without end.
    handled_rejections: u64,
}

impl Progress {
    /// Creates the progress of a follower whose log is unknown; the leader's log ends at `last`.
    pub fn new(last: number::Index, now: clock::Instant) -> Progress {
        Progress {
            next: last.next(),
            matched: number::Index(0),
            probing: true,
            last_contact: now,
            lease_start: None,
            transfer: None,
            in_flight: collections::VecDeque::new(),
            rounds: collections::VecDeque::new(),
            newest_round: 0,
            handled_rejections: 0,
        }
    }

    /// Whether another message with entries may be sent.
    pub fn has_capacity(&self) -> bool {
        let limit = if self.probing { 1 } else { MAX_IN_FLIGHT_MESSAGES };
        let bytes: usize = self.in_flight.iter().map(|batch| batch.bytes).sum();
        self.transfer.is_none() && self.in_flight.len() < limit && bytes < MAX_IN_FLIGHT_BYTES
    }

    /// Records a sent message.
    pub fn record_round(&mut self, number: u64, now: clock::Instant) {
        self.newest_round = number;
        if self.rounds.len() == MAX_UNANSWERED_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round { number, sent_at: now });
    }

    /// Records sent entries up to `last`, with a total of `bytes`.
    pub fn record_entries(&mut self, last: number::Index, bytes: usize) {
        self.in_flight.push_back(Batch { last, bytes });
        self.next = last.next();
    }

    /// Records the response to a round. The quorum lease is measured from the send time of the
    /// round.
    pub fn on_response(&mut self, number: u64) {
        while let Some(round) = self.rounds.front()
            && round.number <= number
        {
            if round.number == number {
                self.lease_start = self.lease_start.max(Some(round.sent_at));
                self.last_contact = self.last_contact.max(round.sent_at);
            }
            self.rounds.pop_front();
        }
    }

    /// Handles an acknowledgement: the follower has synced everything up to `matched`.
    pub fn on_accepted(&mut self, matched: number::Index) {
        self.probing = false;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|batch| batch.last <= self.matched) {
            self.in_flight.pop_front();
        }
    }

    /// Treats all messages with entries as lost.
    pub fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Handles a rejection: the follower lacks the entry before those of round `number`, and its
    /// log may match up to `hint`. Rejections already handled, and delayed ones with a hint below
    /// the last index known to match, are ignored.
    pub fn on_rejected(&mut self, number: u64, hint: number::Index) {
        if number <= self.handled_rejections || hint < self.matched {
            return;
        }
        self.handled_rejections = self.newest_round;
        self.probing = true;
        self.clear_in_flight();
        let before = number::Index(self.next.0 - 1);
        self.next = hint.min(before).max(self.matched).next();
    }
}
