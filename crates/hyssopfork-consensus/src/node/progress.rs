//! What a leader knows of one other voter or learner.

use crate::write;
use hyssopfork_wire::{clock, number};
use std::collections;
use std::sync;

/// Messages with entries that may be on their way to one follower at once.
const MAX_IN_FLIGHT_MESSAGES: usize = 16;

/// Bytes of entries that may be on their way to one follower at once. They queue at the leader's link
/// before its heartbeats, and the heartbeat to each follower waits for those to all.
const MAX_IN_FLIGHT_BYTES: usize = 128 << 10;

/// Unanswered rounds that are remembered; older ones can't extend a lease any more.
const MAX_UNANSWERED_ROUNDS: usize = 256;

/// A message that was sent and may be answered.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    sent: clock::Instant,
}

/// A message with entries that is on its way.
#[derive(Clone, Copy, Debug)]
struct Batch {
    last: number::Index,
    bytes: usize,
}

/// A snapshot on its way to a follower, one part at a time.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// The snapshot.
    pub snapshot: sync::Arc<write::Snapshot>,
    /// Offset of the part that is on its way.
    pub offset: usize,
    /// Round of that part.
    pub round: u64,
    /// When it was sent.
    pub sent: clock::Instant,
}

/// Progress of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Next index to send.
    ///
    /// Invariant: above `matched`.
    pub next: number::Index,
    /// Last index known to be on the follower's disk and equal to the leader's.
    pub matched: number::Index,
    /// Whether one message at a time looks for the place where the logs match.
    pub probing: bool,
    /// When the newest answered round was sent, or else since when the follower is watched. Not
    /// when the answer was read: after a pause old answers are read late, and would make a leader
    /// believe in voters that are gone.
    pub last_contact: clock::Instant,
    /// When the newest answered round was sent.
    pub lease_start: Option<clock::Instant>,
    /// Snapshot that is being sent.
    pub transfer: Option<Transfer>,
    /// Messages with entries that are on their way.
    in_flight: collections::VecDeque<Batch>,
    rounds: collections::VecDeque<Round>,
    /// Newest round sent.
    newest_round: u64,
    /// Refusals of rounds up to this one are settled.
    ///
    /// Each refusal is answered by sending again; refusals that the network doubled would double
    /// the messages each time, without end.
    handled_rejections: u64,
}

impl Progress {
    /// Progress of a follower of which nothing is known; the leader's log ends at `last`.
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
        let bytes: usize = self.in_flight.iter().map(|flight| flight.bytes).sum();
        self.transfer.is_none() && self.in_flight.len() < limit && bytes < MAX_IN_FLIGHT_BYTES
    }

    /// Notes a sent message.
    pub fn record_round(&mut self, number: u64, now: clock::Instant) {
        self.newest_round = number;
        if self.rounds.len() == MAX_UNANSWERED_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round { number, sent: now });
    }

    /// Notes sent entries up to `last`, of `bytes` in all.
    pub fn record_entries(&mut self, last: number::Index, bytes: usize) {
        self.in_flight.push_back(Batch { last, bytes });
        self.next = last.next();
    }

    /// Notes an answer: the quorum lease is measured from when the answered round was sent.
    pub fn on_response(&mut self, number: u64) {
        while let Some(round) = self.rounds.front()
            && round.number <= number
        {
            if round.number == number {
                self.lease_start = self.lease_start.max(Some(round.sent));
                self.last_contact = self.last_contact.max(round.sent);
            }
            self.rounds.pop_front();
        }
    }

    /// The follower has everything up to `matched` on its disk.
    pub fn on_accepted(&mut self, matched: number::Index) {
        self.probing = false;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched.next());
        while self.in_flight.front().is_some_and(|flight| flight.last <= self.matched) {
            self.in_flight.pop_front();
        }
    }

    /// Counts nothing as on its way any more.
    pub fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// The follower lacks what round `number` built on; its log may match up to `hint`. A late
    /// refusal, from before what is known to match, tells nothing.
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
