//! Leader election with pre-vote, and the rules for granting votes.

use crate::node::{self, Node, leader_state};
use crate::{log, notice, quorum, write};
use hyssopfork_wire::{clock, consensus, number};
use rand::RngExt;
use std::collections;
use std::time::Duration;

/// Candidacy in an election or a pre-vote.
#[derive(Debug)]
pub struct Candidacy {
    /// Whether this is a pre-vote, which asks for votes without a new term.
    ///
    /// Without it, a node that was partitioned would return with a higher term and depose a leader
    /// that still has a quorum; each flap of a link would interrupt service.
    pre: bool,
    /// Voters that granted their vote. The candidate's own vote counts at once in a pre-vote, and in
    /// an election once its ballot is synced.
    votes: collections::BTreeSet<consensus::Voter>,
    /// Number of the write that contains the candidate's ballot.
    ballot_write: u64,
    /// Random number of the pre-vote, which ties responses about folders to it.
    nonce: u64,
    /// Voters whose instances responded with another folder during the pre-vote.
    lost: collections::BTreeSet<consensus::Voter>,
}

impl Candidacy {
    pub(super) fn votes(&self) -> &collections::BTreeSet<consensus::Voter> {
        &self.votes
    }

    pub(super) fn lost(&self) -> &collections::BTreeSet<consensus::Voter> {
        &self.lost
    }
}

impl Node {
    /// Restarts the randomized election timeout.
    pub(super) fn postpone_election(&mut self) {
        let spread = self.settings.election_spread.as_micros() as u64;
        let extra = Duration::from_micros(self.rng.random_range(0..=spread));
        let timeout = self.settings.election_timeout;
        // A node without a seat would hand over again, so the voters are given time to elect one of them.
        let wait = if self.is_voter() { timeout } else { timeout * 2 };
        self.election_at = self.now + wait + extra;
    }

    /// Whether this node may become leader: it is a voter, or its removal is not known to be committed.
    ///
    /// The others may need its vote, which it denies them because its log is longer by the entry
    /// of the removal, or by the one that confirms it. It then leads without counting itself until the
    /// removal is committed.
    pub(super) fn is_eligible(&self) -> bool {
        self.log.may_be_voter(&self.identity, self.committed)
    }

    pub(super) fn on_voter_tick(&mut self) {
        if self.now < self.election_at || self.resigned {
            return;
        }
        self.report_failed_candidacy();
        if self.is_ballot_unsynced() {
            return;
        }
        self.start_candidacy(true, collections::BTreeSet::new());
        // The local list of voters may never have been committed: a folder whose admission was lost
        // considers itself a voter, but no leader sends to it. Without a request to join, its seat
        // would stay vacant.
        self.request_join();
    }

    /// Whether this node currently grants no votes.
    ///
    /// The quorum lease of a leader relies on a quorum whose members vote for no other node until
    /// [`node::Settings::election_timeout`] after they last heard from it. A restarted process does
    /// not know when it last heard from a leader, so it withholds its vote for the same time.
    fn is_vote_withheld(&self) -> bool {
        let since = |instant: clock::Instant| self.now.since(instant);
        let timeout = self.settings.election_timeout;
        let has_leader_contact = self.leader_heard_at.is_some_and(|heard| since(heard) < timeout);
        self.is_leader() || has_leader_contact || since(self.started_at) < timeout
    }

    /// Whether this node is a candidate that has not requested votes yet, since its ballot is not
    /// synced. Another election would wait for another ballot: on a disk that is slower than the
    /// election timeout no election would ever end.
    pub(super) fn is_ballot_unsynced(&self) -> bool {
        let node::Role::Candidate(candidacy) = &self.role else { return false };
        !candidacy.pre && candidacy.ballot_write > self.writes.synced()
    }

    /// Starts an election, or a pre-vote if `pre` is set. `lost` are the voters whose folders are known
    /// to be lost.
    fn start_candidacy(&mut self, pre: bool, lost: collections::BTreeSet<consensus::Voter>) {
        self.become_follower();
        self.reporting.on_candidacy(self.now, pre);
        let mut term = self.ballot.term.next();
        let votes = if pre { [self.identity.clone()].into() } else { collections::BTreeSet::new() };
        if !pre {
            let vote = Some(self.identity.clone());
            self.set_ballot(write::Ballot { term, vote });
            self.leader = None;
            self.leader_heard_at = None;
            term = self.ballot.term;
        }
        let (ballot_write, nonce) = (self.newest_write(), self.rng.random());
        self.role = node::Role::Candidate(Candidacy { pre, votes, ballot_write, nonce, lost });
        self.request_votes(pre, term);
        if pre {
            self.request_folders(nonce);
        }
        self.count_votes();
    }

    /// Asks the instances of the other voters for their folders where a lost one changes the quorum.
    fn request_folders(&mut self, nonce: u64) {
        let replaced = self.log.replaced_voters(self.committed);
        if !quorum::is_reducible(self.log.voters()) && !quorum::is_reducible(replaced) {
            return;
        }
        for voter in self.electorate() {
            self.send(&voter.instance, consensus::Message::FolderRequest { nonce });
        }
    }

    pub(super) fn on_folder_response(&mut self, from: consensus::Voter, nonce: u64) {
        let is_lost = |voter: &consensus::Voter| voter.instance == from.instance && *voter != from;
        let lost = self.electorate().into_iter().find(is_lost);
        if let node::Role::Candidate(candidacy) = &mut self.role
            && candidacy.pre
            && candidacy.nonce == nonce
            && let Some(lost) = lost
        {
            candidacy.lost.insert(lost);
            self.count_votes();
        }
    }

    fn request_votes(&mut self, pre: bool, term: number::Term) {
        let last = self.log.last();
        for voter in self.electorate() {
            let message = consensus::Message::Vote {
                pre,
                term,
                last_index: last.index,
                last_term: last.term,
            };
            self.send_after_sync(&voter.instance, message);
        }
    }

    /// All voters except this node and vacant seats.
    pub(super) fn other_voters(&self) -> Vec<consensus::Voter> {
        let other = |voter: &&consensus::Voter| {
            **voter != self.identity && voter.folder != consensus::VACANT
        };
        self.log.voters().iter().filter(other).cloned().collect()
    }

    /// Other voters that an election depends on: also those that an uncommitted change removes.
    fn electorate(&self) -> Vec<consensus::Voter> {
        let mut voters = self.other_voters();
        for voter in self.log.replaced_voters(self.committed) {
            let is_listed = self.find_seat(&voter.instance).is_some();
            if !is_listed && *voter != self.identity && voter.folder != consensus::VACANT {
                voters.push(voter.clone());
            }
        }
        voters
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: consensus::Voter,
        pre: bool,
        term: number::Term,
        last: log::Position,
    ) {
        let granted = !self.is_vote_withheld() && self.try_grant_vote(&from, pre, term, last);
        let response_term = if granted { term } else { self.ballot.term };
        let message = consensus::Message::Voted { pre, term: response_term, granted };
        self.send_after_sync(&from.instance, message);
    }

    /// Decides whether to grant a vote, and writes the ballot unless it is a pre-vote.
    fn try_grant_vote(
        &mut self,
        from: &consensus::Voter,
        pre: bool,
        term: number::Term,
        last: log::Position,
    ) -> bool {
        let own = self.log.last();
        let is_up_to_date = (last.term, last.index) >= (own.term, own.index);
        if pre {
            return is_up_to_date && term > self.ballot.term;
        }
        if term > self.ballot.term {
            self.adopt_term(term);
        }
        let is_vote_free = self.ballot.vote.as_ref().is_none_or(|vote| vote == from);
        if term < self.ballot.term || !is_up_to_date || !is_vote_free {
            return false;
        }
        self.set_ballot(write::Ballot { term, vote: Some(from.clone()) });
        self.postpone_election();
        true
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: consensus::Voter,
        pre: bool,
        term: number::Term,
        granted: bool,
    ) {
        self.reporting.on_response(&from, pre, granted);
        if !granted {
            if term > self.ballot.term {
                self.adopt_term(term);
            }
            return;
        }
        let candidacy_term = if pre { self.ballot.term.next() } else { self.ballot.term };
        let node::Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.pre == pre && term == candidacy_term {
            candidacy.votes.insert(from);
            self.count_votes();
        }
    }

    /// Counts the candidate's vote for itself once its ballot is synced.
    pub(super) fn count_own_vote(&mut self) {
        let synced = self.writes.synced();
        let node::Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        if candidacy.pre || candidacy.ballot_write > synced {
            return;
        }
        if candidacy.votes.insert(self.identity.clone()) {
            // The votes were requested only now.
            self.postpone_election();
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let node::Role::Candidate(candidacy) = &self.role else {
            return;
        };
        // Only listed identities count: a folder that replaced a lost one may respond, but does not
        // know how the lost one voted.
        let is_elected =
            self.quorums(&candidacy.lost).value(|voter| candidacy.votes.contains(voter));
        if !is_elected {
            return;
        }
        let lost = candidacy.lost.clone();
        if candidacy.pre {
            self.start_candidacy(false, lost);
        } else {
            self.become_leader(lost);
        }
    }

    fn become_leader(&mut self, lost: collections::BTreeSet<consensus::Voter>) {
        assert!(self.leader.is_none(), "a term has at most one leader");
        self.leader = Some(self.identity.clone());
        let state = leader_state::State::new(self.context(), lost.clone());
        self.role = node::Role::Leader(Box::new(state));
        self.push_notice(notice::Notice::Leads(self.ballot.term));
        for voter in lost {
            self.push_notice(notice::Notice::FolderLost(voter));
        }
        let first = self.log.last().index.0 == 0;
        let payload = if first {
            // Only the node that formed the log knows the voters; the others learn them from this
            // entry.
            consensus::Payload::Voters(self.log.voters().to_vec())
        } else {
            consensus::Payload::Empty
        };
        self.append(payload);
    }

    /// The leader has given up its quorum lease, so votes need not be withheld any longer.
    pub(super) fn on_release(
        &mut self,
        from: consensus::Voter,
        term: number::Term,
        successor: consensus::Voter,
    ) {
        if term != self.ballot.term || self.leader.as_ref() != Some(&from) {
            return;
        }
        self.leader_heard_at = None;
        if successor == self.identity && self.is_voter() && !self.resigned {
            self.start_candidacy(false, collections::BTreeSet::new());
        }
    }
}
