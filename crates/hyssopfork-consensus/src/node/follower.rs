//! Follower: accepts entries and snapshots from the leader.

use crate::node::Node;
use crate::{action, log, notice, write};
use hyssopfork_wire::{consensus, name, number};
use std::sync;

/// Append request of a leader.
#[derive(Debug)]
pub struct Append {
    /// Leader's term.
    pub term: number::Term,
    /// Leader's round.
    pub round: u64,
    /// Position before the entries.
    pub previous: log::Position,
    /// Entries.
    pub entries: Vec<consensus::Entry>,
    /// Leader's committed index.
    pub committed: number::Index,
}

/// Part of a snapshot from a leader.
#[derive(Debug)]
pub struct Part {
    /// Leader's term.
    pub term: number::Term,
    /// Leader's round.
    pub round: u64,
    /// Last position that the snapshot covers.
    pub position: log::Position,
    /// Voters at that position.
    pub voters: Vec<consensus::Voter>,
    /// Offset of the part in bytes.
    pub offset: u64,
    /// Bytes of the part.
    pub data: Vec<u8>,
    /// Whether this is the last part.
    pub last: bool,
}

/// Partially received snapshot.
#[derive(Debug)]
pub struct Incoming {
    /// Term of the sender: another leader may encode the same state differently.
    term: number::Term,
    position: log::Position,
    data: Vec<u8>,
}

impl Node {
    pub(super) fn on_append(&mut self, from: consensus::Voter, append: Append) {
        if !self.follow_leader(&from, append.term, append.round) {
            return;
        }
        let (round, committed) = (append.round, append.committed);
        let Some(matched) = self.accept_entries(append.previous, append.entries) else {
            let hint = self.conflict_hint(append.previous.index);
            self.respond(&from.instance, round, false, hint);
            return;
        };
        let committed = committed.min(matched);
        if committed > self.committed {
            self.commit_through(committed);
        }
        self.respond(&from.instance, round, true, matched);
    }

    /// Accepts `from` as leader of `term`; false if `term` is outdated.
    fn follow_leader(&mut self, from: &consensus::Voter, term: number::Term, round: u64) -> bool {
        if term < self.ballot.term {
            self.respond(&from.instance, round, false, number::Index(0));
            return false;
        }
        if term > self.ballot.term {
            self.adopt_term(term);
        }
        if self.leader.as_ref() != Some(from) {
            assert!(self.leader.is_none(), "a term has at most one leader");
            self.become_follower();
            self.leader = Some(from.clone());
            self.push_notice(notice::Notice::Follows(term, from.clone()));
        }
        self.leader_heard_at = Some(self.now);
        self.postpone_election();
        true
    }

    /// Accepts the entries that follow `previous`. Returns the last index that now matches the
    /// leader's log, or `None` if the log does not contain `previous`.
    fn accept_entries(
        &mut self,
        previous: log::Position,
        entries: Vec<consensus::Entry>,
    ) -> Option<number::Index> {
        // Committed entries are equal on all nodes, also if this one has compacted them.
        let matches = previous.index <= self.committed
            || self.log.term_at(previous.index) == Some(previous.term);
        if !matches {
            return None;
        }
        let mut matched = previous.index;
        for entry in entries {
            assert_eq!(entry.index, matched.next(), "the entries of a message are contiguous");
            matched = entry.index;
            self.accept_entry(entry);
        }
        Some(matched)
    }

    /// Accepts one entry. The log is truncated only at an entry of another term: a delayed message
    /// with fewer entries must not remove entries acknowledged since.
    fn accept_entry(&mut self, entry: consensus::Entry) {
        if entry.index <= self.committed {
            let term = self.log.term_at(entry.index);
            assert!(
                term.is_none_or(|term| term == entry.term),
                "committed entries are never replaced"
            );
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.log.append(entry.clone());
        self.pending_write_mut().entries.push(entry);
    }

    fn truncate(&mut self, index: number::Index) {
        assert!(index > self.committed, "committed entries are never dropped");
        assert!(
            self.pending_write.entries.is_empty(),
            "a write truncates the log before it appends entries"
        );
        self.log.truncate(index);
        self.writes.truncate(index);
        self.pending_write_mut().truncate = Some(index);
    }

    /// Highest index at which the logs may match, given that they do not match at `previous`.
    fn conflict_hint(&self, previous: number::Index) -> number::Index {
        let last = self.log.last().index;
        if previous > last {
            return last;
        }
        let before = number::Index(self.log.term_start(previous).0.saturating_sub(1));
        before.max(self.committed)
    }

    /// Responds to a leader. If the message caused a write, or the ballot is not synced yet, the
    /// response is sent after the sync. Any other is sent at once and acknowledges only synced
    /// entries, so that a slow disk does not end the leader's quorum lease.
    fn respond(&mut self, to: &name::Instance, round: u64, accepted: bool, matched: number::Index) {
        let needs_sync = self.pending_write.number != 0 || self.writes.synced() < self.ballot_write;
        let synced = if accepted { matched.min(self.writes.synced_index()) } else { matched };
        let matched = if needs_sync { matched } else { synced };
        let term = self.ballot.term;
        let message = consensus::Message::Appended { term, round, accepted, matched };
        if needs_sync {
            self.send_after_sync(to, message);
        } else {
            self.send(to, message);
        }
    }

    pub(super) fn on_snapshot_part(&mut self, from: consensus::Voter, part: Part) {
        if !self.follow_leader(&from, part.term, part.round) {
            return;
        }
        let round = part.round;
        let index = part.position.index;
        if index <= self.committed {
            let matched = self.committed;
            self.respond(&from.instance, round, true, matched);
            return;
        }
        let (voters, last) = (part.voters.clone(), part.last);
        let accepted = self.accept_part(part);
        if accepted && last {
            self.install_snapshot(voters);
        }
        let matched = self.committed;
        self.respond(&from.instance, round, accepted, matched);
    }

    /// Accepts a part of a snapshot; false if an earlier part is missing.
    fn accept_part(&mut self, part: Part) -> bool {
        let is_current =
            |incoming: &Incoming| incoming.term == part.term && incoming.position == part.position;
        if !self.incoming_snapshot.as_ref().is_some_and(is_current) {
            let (term, position) = (part.term, part.position);
            self.incoming_snapshot = Some(Incoming { term, position, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return false;
        };
        let received = incoming.data.len() as u64;
        if part.offset > received {
            return false;
        }
        if part.offset == received {
            incoming.data.extend(part.data);
        }
        true
    }

    fn install_snapshot(&mut self, voters: Vec<consensus::Voter>) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let log::Position { index, term } = incoming.position;
        let snapshot = write::Snapshot { index, term, voters, data: incoming.data };
        if self.log.term_at(index) != Some(term) {
            self.writes.truncate(self.committed.next());
        }
        self.log.install(sync::Arc::new(snapshot.clone()));
        self.committed = index;
        self.pending_write_mut().snapshot = Some(snapshot.clone());
        self.push_notice(notice::Notice::Installed(index));
        self.actions.push(action::Action::Restore(snapshot));
    }
}
