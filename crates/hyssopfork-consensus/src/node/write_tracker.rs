//! Tracker of unsynced writes, and of the messages held until a write is synced.

use hyssopfork_wire::{consensus, number};
use std::collections;

/// Write that is not known to be synced.
#[derive(Clone, Copy, Debug)]
struct Pending {
    number: u64,
    /// Last index of the log after the write.
    last_index: number::Index,
}

/// Issued writes and the messages held for them.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Number of the last issued write.
    issued: u64,
    /// Number of the last synced write.
    synced: u64,
    /// Last synced index of the log.
    synced_index: number::Index,
    pending: collections::VecDeque<Pending>,
    held_packets: collections::VecDeque<(u64, consensus::Packet)>,
}

impl Tracker {
    /// Creates a tracker for a log that is synced up to `synced_index`.
    pub fn new(synced_index: number::Index) -> Tracker {
        Tracker { synced_index, ..Tracker::default() }
    }

    /// Number of the last issued write.
    pub fn issued(&self) -> u64 {
        self.issued
    }

    /// Number of the last synced write.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Last synced index of the log.
    pub fn synced_index(&self) -> number::Index {
        self.synced_index
    }

    /// Issues the next write, after which the log ends at `last`, and returns its number.
    pub fn issue(&mut self, last: number::Index) -> u64 {
        self.issued += 1;
        self.pending.push_back(Pending { number: self.issued, last_index: last });
        self.issued
    }

    /// Handles the truncation of the log from `index` on: the later sync of a write does not make
    /// the entries that were removed from it count as synced.
    pub fn truncate(&mut self, index: number::Index) {
        let last = number::Index(index.0 - 1);
        self.synced_index = self.synced_index.min(last);
        for pending in &mut self.pending {
            pending.last_index = pending.last_index.min(last);
        }
    }

    /// Handles the sync of all writes up to `number`.
    pub fn on_persisted(&mut self, number: u64) {
        assert!(number <= self.issued, "only issued writes can be synced");
        self.synced = self.synced.max(number);
        while let Some(pending) = self.pending.front()
            && pending.number <= number
        {
            self.synced_index = pending.last_index;
            self.pending.pop_front();
        }
    }

    /// Holds `packet` until the write with `number` is synced.
    pub fn hold(&mut self, number: u64, packet: consensus::Packet) {
        self.held_packets.push_back((number, packet));
    }

    /// Removes and returns the next held message whose write is synced.
    pub fn take_released(&mut self) -> Option<consensus::Packet> {
        let synced = self.synced;
        let (_, packet) = self.held_packets.pop_front_if(|(number, _)| *number <= synced)?;
        Some(packet)
    }
}
