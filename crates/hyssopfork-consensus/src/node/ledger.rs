//! Which writes are synced, and messages that wait for them.

use hyssopfork_wire::{consensus, number};
use std::collections;

/// A write that is not known to be synced.
#[derive(Clone, Copy, Debug)]
struct Pending {
    mark: u64,
    /// Last index of the log after the write.
    last: number::Index,
}

/// Writes and what waits for them.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Mark of the newest write asked for.
    written: u64,
    /// Mark up to which all is synced.
    synced: u64,
    /// Last index of the log that is synced.
    durable: number::Index,
    pending: collections::VecDeque<Pending>,
    waiting: collections::VecDeque<(u64, consensus::Packet)>,
}

impl Ledger {
    /// A ledger for a log that is synced up to `durable`.
    pub fn new(durable: number::Index) -> Ledger {
        Ledger { durable, ..Ledger::default() }
    }

    /// Mark of the newest write.
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Mark up to which all is synced.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Last index of the log that is synced.
    pub fn durable(&self) -> number::Index {
        self.durable
    }

    /// Mark for the next write, after which the log ends at `last`.
    pub fn write(&mut self, last: number::Index) -> u64 {
        self.written += 1;
        self.pending.push_back(Pending { mark: self.written, last });
        self.written
    }

    /// The log lost `index` and all after it: a write of them that is synced later tells nothing.
    pub fn truncate(&mut self, index: number::Index) {
        let last = number::Index(index.0 - 1);
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            pending.last = pending.last.min(last);
        }
    }

    /// Everything up to `mark` is synced.
    pub fn persisted(&mut self, mark: u64) {
        assert!(mark <= self.written, "only what was asked for can be synced");
        self.synced = self.synced.max(mark);
        while let Some(pending) = self.pending.front()
            && pending.mark <= mark
        {
            self.durable = pending.last;
            self.pending.pop_front();
        }
    }

    /// Keeps `packet` until the write with `mark` is synced.
    pub fn hold(&mut self, mark: u64, packet: consensus::Packet) {
        self.waiting.push_back((mark, packet));
    }

    /// Next held message whose write is synced.
    pub fn release(&mut self) -> Option<consensus::Packet> {
        let synced = self.synced;
        let (_, packet) = self.waiting.pop_front_if(|(mark, _)| *mark <= synced)?;
        Some(packet)
    }
}
