//! Which writes are synced, and messages that wait for them.

use hyssopfork_wire::{consensus, number};
use std::collections;

/// A write that is not known to be synced.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    /// Last index of the log after the write.
    last_index: number::Index,
}

/// Writes and what waits for them.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Mark of the newest write asked for.
    issued: u64,
    /// Mark up to which all is synced.
    synced: u64,
    /// Last index of the log that is synced.
    synced_index: number::Index,
    pending: collections::VecDeque<Pending>,
    held_packets: collections::VecDeque<(u64, consensus::Packet)>,
}

impl Tracker {
    /// A ledger for a log that is synced up to `durable`.
    pub fn new(durable: number::Index) -> Tracker {
        Tracker { synced_index: durable, ..Tracker::default() }
    }

    /// Mark of the newest write.
    pub fn issued(&self) -> u64 {
        self.issued
    }

    /// Mark up to which all is synced.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Last index of the log that is synced.
    pub fn synced_index(&self) -> number::Index {
        self.synced_index
    }

    /// Mark for the next write, after which the log ends at `last`.
    pub fn issue(&mut self, last: number::Index) -> u64 {
        self.issued += 1;
        self.pending.push_back(Pending { number: self.issued, last_index: last });
        self.issued
    }

    /// The log lost `index` and all after it: a write of them that is synced later tells nothing.
    pub fn truncate(&mut self, index: number::Index) {
        let last = number::Index(index.0 - 1);
        self.synced_index = self.synced_index.min(last);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Everything up to `mark` is synced.
    pub fn on_persisted(&mut self, number: u64) {
        assert!(number <= self.issued, "only what was asked for can be synced");
        self.synced = self.synced.max(number);
        while let Some(pending) = self.pending.front()
            && pending.number <= number
        {
            self.synced_index = pending.last_index;
            self.pending.pop_front();
        }
    }

    /// Keeps `packet` until the write with `mark` is synced.
    pub fn hold(&mut self, number: u64, packet: consensus::Packet) {
        self.held_packets.push_back((number, packet));
    }

    /// Next held message whose write is synced.
    pub fn take_released(&mut self) -> Option<consensus::Packet> {
        let synced = self.synced;
        let (_, packet) = self.held_packets.pop_front_if(|(number, _)| *number <= synced)?;
        Some(packet)
    }
}
