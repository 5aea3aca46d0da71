//! Leading: proposals, commitment, heartbeats and handing over.

use crate::node::{self, Node, lead};
use crate::{action, notice};
use hyssopfork_wire::{clock, consensus, number};

/// Entries that may wait to be committed; proposals over it are rejected, since a leader cut off
/// from its quorum would otherwise gather them without bound.
const UNCOMMITTED_LIMIT: u64 = 4_096;

/// Bytes of commands that may wait to be committed.
const UNCOMMITTED_BYTES: usize = 16 << 20;

impl Node {
    pub(super) fn context(&self) -> lead::Context<'_> {
        lead::Context {
            identity: &self.identity,
            log: &self.log,
            term: self.ballot.term,
            committed: self.committed,
            now: self.now,
        }
    }

    /// The leader's state beside what it reads of its node; `None` unless this node leads.
    pub(super) fn leading(&mut self) -> Option<(&mut lead::Lead, lead::Context<'_>)> {
        let context = lead::Context {
            identity: &self.identity,
            log: &self.log,
            term: self.ballot.term,
            committed: self.committed,
            now: self.now,
        };
        match &mut self.role {
            node::Role::Leader(lead) => Some((lead, context)),
            node::Role::Candidate(_) | node::Role::Follower => None,
        }
    }

    /// Runs `work` on the leader's state and sends what it gives.
    fn with_lead(
        &mut self,
        work: impl FnOnce(&mut lead::Lead, lead::Context<'_>) -> Vec<lead::Parcel>,
    ) {
        let Some((lead, context)) = self.leading() else {
            return;
        };
        for parcel in work(lead, context) {
            self.send(&parcel.to, parcel.message);
        }
    }

    pub(super) fn replicate(&mut self) {
        self.with_lead(|lead, context| lead.replicate(context));
    }

    /// Steps down when no quorum answers: before each event, since after a pause the first one may
    /// be a proposal.
    pub(super) fn check_quorum(&mut self) {
        if self.is_leader() && !self.hears_quorum() {
            self.notice(notice::Notice::QuorumLost(self.ballot.term));
            self.become_follower();
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let interval = self.settings.heartbeat;
        self.with_lead(|lead, context| {
            if context.now < lead.heartbeat_at {
                return Vec::new();
            }
            lead.heartbeat_at = context.now + interval;
            lead.heartbeat(context)
        });
        self.replicate();
        self.admit();
        self.hand_over();
    }

    /// Whether a quorum answered within an election timeout.
    ///
    /// A leader that is cut off from its quorum would otherwise go on taking proposals that can't
    /// be committed, and its callers would wait in place of asking the next leader.
    fn hears_quorum(&self) -> bool {
        let node::Role::Leader(lead) = &self.role else {
            return false;
        };
        let contact = lead.contact(self.context());
        let timeout = self.settings.election_timeout;
        contact.is_some_and(|contact| self.now.since(contact) < timeout)
    }

    pub(super) fn propose(&mut self, ticket: u64, command: Vec<u8>) {
        let entries = self.log.last().index.0 - self.committed.0;
        let node::Role::Leader(lead) = &mut self.role else {
            self.reject(ticket);
            return;
        };
        let bytes = lead.waiting + command.len();
        let full = entries >= UNCOMMITTED_LIMIT || bytes > UNCOMMITTED_BYTES;
        if self.resigned || full || command.len() > node::COMMAND_LIMIT {
            self.reject(ticket);
            return;
        }
        lead.waiting = bytes;
        self.append_for(ticket, consensus::Payload::Command(command));
    }

    /// Appends for an owner's ticket.
    pub(super) fn append_for(&mut self, ticket: u64, payload: consensus::Payload) {
        let index = self.append(payload);
        let term = self.ballot.term;
        self.actions.push(action::Action::Proposed { ticket, index, term });
    }

    /// Appends an entry of this term and sends it.
    pub(super) fn append(&mut self, payload: consensus::Payload) -> number::Index {
        let index = self.log.last().index.next();
        let entry = consensus::Entry { index, term: self.ballot.term, payload };
        self.log.append(entry.clone());
        self.writing().entries.push(entry);
        self.replicate();
        index
    }

    pub(super) fn appended(
        &mut self,
        from: consensus::Voter,
        term: number::Term,
        answer: lead::Answer,
    ) {
        if term > self.ballot.term {
            self.adopt(term);
            return;
        }
        if term < self.ballot.term {
            return;
        }
        if let node::Role::Leader(lead) = &mut self.role {
            lead.answered(&from, answer);
        }
        self.advance_commit();
        self.replicate();
        self.admit();
        self.hand_over();
    }

    /// Commits what a quorum has, if it ends with an entry of this term.
    ///
    /// An entry of an earlier term that a quorum has may still be replaced by a leader that lacks
    /// it; one of this term after it rules that out.
    pub(super) fn advance_commit(&mut self) {
        let node::Role::Leader(lead) = &self.role else {
            return;
        };
        let agreed = lead.agreed(self.context(), self.ledger.durable());
        if agreed <= self.committed || self.log.term_at(agreed) != Some(self.ballot.term) {
            return;
        }
        self.commit(agreed);
        if !self.is_voter() && self.log.voters_since() <= self.committed {
            self.become_follower();
        }
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.committed) == Some(self.ballot.term)
    }

    pub(super) fn resign(&mut self) {
        self.resigned = true;
        if let node::Role::Leader(lead) = &mut self.role {
            lead.resigning = Some(self.now);
        }
        self.hand_over();
    }

    /// Hands leadership to a voter that has the whole log, or to the best one after an election
    /// timeout.
    fn hand_over(&mut self) {
        let node::Role::Leader(lead) = &self.role else {
            return;
        };
        let Some(since) = lead.resigning else {
            return;
        };
        let Some(successor) = self.successor(lead) else {
            self.become_follower();
            return;
        };
        let matched = lead.progress[&successor].matched;
        let late = self.now.since(since) >= self.settings.election_timeout;
        if matched < self.log.last().index && !late {
            return;
        }
        self.release(successor);
    }

    /// Voter with the longest log, the one heard from last among equals.
    fn successor(&self, lead: &lead::Lead) -> Option<consensus::Voter> {
        let rank = |voter: &consensus::Voter| -> (number::Index, clock::Instant) {
            let progress = &lead.progress[voter];
            (progress.matched, progress.contact)
        };
        self.others().into_iter().max_by_key(rank)
    }

    /// Gives up the lease for good, tells everyone, and leads no more: a heartbeat after this would
    /// bind the voters again.
    fn release(&mut self, successor: consensus::Voter) {
        let term = self.ballot.term;
        for voter in self.others() {
            let successor = successor.clone();
            self.send(&voter.instance, consensus::Message::Release { term, successor });
        }
        self.notice(notice::Notice::HandedOver(term, successor));
        self.become_follower();
    }
}
