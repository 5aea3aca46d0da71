//! Leader: proposals, commitment, heartbeats and leadership handover.

use crate::node::{self, Node, leader_state};
use crate::{action, notice};
use hyssopfork_wire::{clock, consensus, number};

/// Uncommitted entries above which proposals are rejected. A leader partitioned from its quorum
/// would otherwise accumulate them without bound.
const MAX_UNCOMMITTED_ENTRIES: u64 = 4_096;

/// Bytes of uncommitted commands above which proposals are rejected.
const MAX_UNCOMMITTED_BYTES: usize = 16 << 20;

impl Node {
    pub(super) fn context(&self) -> leader_state::Context<'_> {
        leader_state::Context {
            identity: &self.identity,
            log: &self.log,
            term: self.ballot.term,
            committed: self.committed,
            now: self.now,
        }
    }

    /// Leader state and the context that it works with; `None` unless this node leads.
    pub(super) fn leader_state(
        &mut self,
    ) -> Option<(&mut leader_state::State, leader_state::Context<'_>)> {
        let context = leader_state::Context {
            identity: &self.identity,
            log: &self.log,
            term: self.ballot.term,
            committed: self.committed,
            now: self.now,
        };
        match &mut self.role {
            node::Role::Leader(state) => Some((state, context)),
            node::Role::Candidate(_) | node::Role::Follower => None,
        }
    }

    /// Runs `work` on the leader state and sends the resulting messages.
    fn send_as_leader(
        &mut self,
        work: impl FnOnce(
            &mut leader_state::State,
            leader_state::Context<'_>,
        ) -> Vec<leader_state::Outgoing>,
    ) {
        let Some((state, context)) = self.leader_state() else {
            return;
        };
        for outgoing in work(state, context) {
            self.send(&outgoing.to, outgoing.message);
        }
    }

    pub(super) fn replicate(&mut self) {
        self.send_as_leader(|state, context| state.replicate(context));
    }

    /// Steps down if no quorum responds. Runs before each event, since the first event after a
    /// pause of the process may be a proposal.
    pub(super) fn check_quorum(&mut self) {
        if self.is_leader() && !self.has_quorum_contact() {
            self.push_notice(notice::Notice::QuorumLost(self.ballot.term));
            self.become_follower();
        }
    }

    pub(super) fn on_leader_tick(&mut self) {
        let interval = self.settings.heartbeat;
        self.send_as_leader(|state, context| {
            if context.now < state.next_heartbeat_at {
                return Vec::new();
            }
            state.next_heartbeat_at = context.now + interval;
            state.heartbeats(context)
        });
        self.replicate();
        self.vacate_lost_seats();
        self.admit_ready_learner();
        self.confirm_voters();
        self.forget_superseded();
        self.probe_former_voters();
        self.try_hand_over();
    }

    /// Whether a quorum responded within the election timeout.
    ///
    /// A leader partitioned from its quorum would otherwise continue to accept proposals that
    /// cannot be committed, and its clients would wait instead of asking the next leader.
    fn has_quorum_contact(&self) -> bool {
        let node::Role::Leader(state) = &self.role else {
            return false;
        };
        let contact = state.quorum_contact(self.context());
        let timeout = self.settings.election_timeout;
        contact.is_some_and(|contact| self.now.since(contact) < timeout)
    }

    pub(super) fn on_propose(&mut self, ticket: u64, command: Vec<u8>) {
        let entries = self.log.last().index.0 - self.committed.0;
        let node::Role::Leader(state) = &mut self.role else {
            self.reject_proposal(ticket);
            return;
        };
        let bytes = state.uncommitted_bytes + command.len();
        let is_full = entries >= MAX_UNCOMMITTED_ENTRIES || bytes > MAX_UNCOMMITTED_BYTES;
        if self.resigned || is_full || command.len() > node::MAX_COMMAND_BYTES {
            self.reject_proposal(ticket);
            return;
        }
        state.uncommitted_bytes = bytes;
        self.append_proposal(ticket, consensus::Payload::Command(command));
    }

    /// Appends an entry for a proposal and reports its position.
    pub(super) fn append_proposal(&mut self, ticket: u64, payload: consensus::Payload) {
        let index = self.append(payload);
        let term = self.ballot.term;
        self.actions.push(action::Action::Proposed { ticket, index, term });
    }

    /// Appends an entry of this term and replicates it.
    pub(super) fn append(&mut self, payload: consensus::Payload) -> number::Index {
        let index = self.log.last().index.next();
        let entry = consensus::Entry { index, term: self.ballot.term, payload };
        self.log.append(entry.clone());
        self.pending_write_mut().entries.push(entry);
        self.replicate();
        index
    }

    pub(super) fn on_append_response(
        &mut self,
        from: consensus::Voter,
        term: number::Term,
        response: leader_state::Response,
    ) {
        if term > self.ballot.term {
            self.adopt_term(term);
            return;
        }
        if term < self.ballot.term {
            return;
        }
        if let node::Role::Leader(state) = &mut self.role {
            state.on_response(&from, response);
        }
        self.advance_commit();
        self.replicate();
        self.admit_ready_learner();
        self.try_hand_over();
    }

    /// Commits the entries stored by a quorum, if the last of them is of this term.
    ///
    /// An entry of an earlier term that a quorum stores may still be overwritten by a leader that
    /// lacks it; a later entry of this term stored by a quorum rules that out.
    pub(super) fn advance_commit(&mut self) {
        let node::Role::Leader(state) = &self.role else {
            return;
        };
        let quorum_index = state.quorum_index(self.context(), self.writes.synced_index());
        if quorum_index <= self.committed
            || self.log.term_at(quorum_index) != Some(self.ballot.term)
        {
            return;
        }
        self.commit_through(quorum_index);
        if !self.is_voter() && self.log.voters_changed_at() <= self.committed {
            self.start_handover();
        }
    }

    fn start_handover(&mut self) {
        if let node::Role::Leader(state) = &mut self.role {
            state.handover_since.get_or_insert(self.now);
        }
        self.try_hand_over();
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.committed) == Some(self.ballot.term)
    }

    pub(super) fn on_resign(&mut self) {
        self.resigned = true;
        self.start_handover();
    }

    /// Hands leadership over to a voter that has the whole log or, after an election timeout, to
    /// the one with the longest log.
    fn try_hand_over(&mut self) {
        let node::Role::Leader(state) = &self.role else {
            return;
        };
        let Some(since) = state.handover_since else {
            return;
        };
        let Some(successor) = self.choose_successor(state) else {
            self.become_follower();
            return;
        };
        let matched = state.progress[&successor].matched;
        let expired = self.now.since(since) >= self.settings.election_timeout;
        if matched < self.log.last().index && !expired {
            return;
        }
        self.hand_over_to(successor);
    }

    /// Voter with the longest log that is not leaving; among equals, the one with the latest contact.
    fn choose_successor(&self, state: &leader_state::State) -> Option<consensus::Voter> {
        let rank = |voter: &consensus::Voter| -> (bool, number::Index, clock::Instant) {
            let progress = &state.progress[voter];
            let stays = !state.is_leaving(voter, self.now);
            (stays, progress.matched, progress.last_contact)
        };
        self.other_voters().into_iter().max_by_key(rank)
    }

    /// Gives up the quorum lease, notifies all voters and steps down. A heartbeat after this would
    /// make the voters withhold their votes again.
    fn hand_over_to(&mut self, successor: consensus::Voter) {
        let term = self.ballot.term;
        for voter in self.other_voters() {
            let successor = successor.clone();
            self.send(&voter.instance, consensus::Message::Release { term, successor });
        }
        self.push_notice(notice::Notice::HandedOver(term, successor));
        self.become_follower();
    }
}
